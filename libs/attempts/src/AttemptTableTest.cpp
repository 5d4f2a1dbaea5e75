//===- AttemptTableTest.cpp - Tests of AttemptTable.h ---------------------===//
#include "ragwort/attempts/AttemptTable.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace ragwort::attempts {

class AttemptTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptTableTest);
  CPPUNIT_TEST(attemptWhenDeliveredTwiceStartsOnce);
  CPPUNIT_TEST(attemptWhenQueriedBeforeItArrivesNeverStarts);
  CPPUNIT_TEST(attemptWhenAddressedToAnEarlierIncarnationIsRefused);
  CPPUNIT_TEST(queryWhenAboutAnotherIncarnationReturnsNothing);
  CPPUNIT_TEST(queryWhenCompletedReturnsTheAnswer);
  CPPUNIT_TEST(tableWhenFullRefusesNewAttemptsUntilEntriesExpire);
  CPPUNIT_TEST(attemptWhenReportedNeverStartedStaysSoInRandomRuns);
  CPPUNIT_TEST_SUITE_END();

  const Incarnation Self{9};
  VirtualClock Clock;
  AttemptTable Table{Self, TableLimits()};
  const AttemptId Id{1, 1};

public:
  void attemptWhenDeliveredTwiceStartsOnce() {
    CPPUNIT_ASSERT(Table.admit(Id, Self, Clock.now()) == Admission::Admitted);
    CPPUNIT_ASSERT(Table.admit(Id, Self, Clock.now()) == Admission::Duplicate);
    CPPUNIT_ASSERT(Table.start(Id));
    CPPUNIT_ASSERT(!Table.start(Id));
  }

  void attemptWhenQueriedBeforeItArrivesNeverStarts() {
    CPPUNIT_ASSERT(Table.query(Id, Self, Clock.now())->CurrentState ==
                   State::Forbidden);
    CPPUNIT_ASSERT(Table.admit(Id, Self, Clock.now()) == Admission::Forbidden);
    CPPUNIT_ASSERT(!Table.start(Id));
  }

  void attemptWhenAddressedToAnEarlierIncarnationIsRefused() {
    CPPUNIT_ASSERT(Table.admit(Id, Incarnation{8}, Clock.now()) ==
                   Admission::WrongIncarnation);
    CPPUNIT_ASSERT(!Table.start(Id));
  }

  void queryWhenAboutAnotherIncarnationReturnsNothing() {
    CPPUNIT_ASSERT(!Table.query(Id, Incarnation{8}, Clock.now()));
  }

  void queryWhenCompletedReturnsTheAnswer() {
    Table.admit(Id, Self, Clock.now());
    Table.start(Id);
    CPPUNIT_ASSERT(Table.query(Id, Self, Clock.now())->CurrentState ==
                   State::Running);
    Table.complete(Id, {201, "text/plain", "serial 7"}, Clock.now());
    std::optional<Report> Found = Table.query(Id, Self, Clock.now());
    CPPUNIT_ASSERT(Found->CurrentState == State::Completed);
    CPPUNIT_ASSERT_EQUAL(std::string("serial 7"), Found->Answer->Body);
  }

  void tableWhenFullRefusesNewAttemptsUntilEntriesExpire() {
    TableLimits Small;
    Small.MaxAttempts = 2;
    AttemptTable SmallTable(Self, Small);
    SmallTable.cancel({1, 1}, Clock.now());
    SmallTable.cancel({1, 2}, Clock.now());
    CPPUNIT_ASSERT(SmallTable.admit({1, 3}, Self, Clock.now()) ==
                   Admission::Full);
    Clock.advance(std::chrono::hours(2));
    CPPUNIT_ASSERT(SmallTable.admit({1, 3}, Self, Clock.now()) ==
                   Admission::Admitted);
  }

  void attemptWhenReportedNeverStartedStaysSoInRandomRuns() {
    for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
      std::mt19937_64 Random(Seed);
      AttemptTable Run(Self, TableLimits());
      std::set<uint64_t> Started, Denied;
      for (int Step = 0; Step < 400; ++Step) {
        uint64_t Number = Random() % 20;
        AttemptId Any{1, Number};
        switch (Random() % 4) {
        case 0:
          Run.admit(Any, Self, Clock.now());
          break;
        case 1:
          if (Run.start(Any)) {
            bool IsFirst = Started.insert(Number).second;
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed), IsFirst);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                                   !Denied.contains(Number));
          }
          break;
        case 2:
          if (Run.cancel(Any, Clock.now()))
            Denied.insert(Number);
          break;
        case 3:
          if (Run.query(Any, Self, Clock.now())->CurrentState ==
              State::Forbidden)
            Denied.insert(Number);
          break;
        }
      }
      for (uint64_t Number : Denied)
        CPPUNIT_ASSERT(!Started.contains(Number));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTableTest);

} // namespace ragwort::attempts
