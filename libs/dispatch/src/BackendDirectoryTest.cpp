//===- BackendDirectoryTest.cpp - Tests of BackendDirectory.h -------------===//
#include "ragwort/dispatch/BackendDirectory.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class BackendDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendDirectoryTest);
  CPPUNIT_TEST(listWhenOlderChangesNothing);
  CPPUNIT_TEST(entryWhenMissingWithoutGraceIsRemoved);
  CPPUNIT_TEST(entryWhenExpiredDuringAnOutageStaysUntilGraceEnds);
  CPPUNIT_TEST(entryWhenListedAgainWithinGraceStays);
  CPPUNIT_TEST(entryWhenDrainingStaysListed);
  CPPUNIT_TEST(listWhenFromALaterEraReplacesOneWithAHigherNumber);
  CPPUNIT_TEST(listWhenFromAnEarlierEraChangesNothing);
  CPPUNIT_TEST(entryWhenDrainingBeforeARestoreStaysDraining);
  CPPUNIT_TEST(entryWhenLostWithARestoreStaysUntilGraceEnds);
  CPPUNIT_TEST(entryWhenRemovedBeforeARestoreIsDoubtedUntilWrittenAgain);
  CPPUNIT_TEST(entryWhenDoubtedForLongIsUsed);
  CPPUNIT_TEST(entryWhenRestartedBeforeARestoreIsUsed);
  CPPUNIT_TEST(entriesWhenManyWereRemovedAreForgottenOldestFirst);
  CPPUNIT_TEST_SUITE_END();

  static BackendInstance instance(const char *Id) {
    BackendInstance B;
    B.Id = Id;
    B.Service = "s";
    B.Address = "127.0.0.1:1";
    return B;
  }
  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis));
  }

public:
  void listWhenOlderChangesNothing() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, {0, 9}, std::nullopt);
    CPPUNIT_ASSERT(!D.replaceAll({instance("c")}, {0, 8}, std::nullopt));
    D.apply({{"a", std::nullopt}}, {0, 7}, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    CPPUNIT_ASSERT(D.version() == StoreVersion({0, 9}));
  }

  void entryWhenMissingWithoutGraceIsRemoved() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, {0, 1}, std::nullopt);
    D.replaceAll({instance("b")}, {0, 2}, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
    D.apply({{"b", std::nullopt}}, {0, 3}, std::nullopt);
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenExpiredDuringAnOutageStaysUntilGraceEnds() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, {0, 1}, std::nullopt);
    // Both grace periods end at the same time, whenever the entries were
    // removed: an entry removed after the store's recovery is a server that is
    // shutting down.
    D.replaceAll({instance("b")}, {0, 2}, at(3000));
    D.apply({{"b", std::nullopt}}, {0, 3}, at(3000));
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(2900)));
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    // Entries that the store no longer lists are not sent to peers.
    CPPUNIT_ASSERT(D.snapshot().empty());
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.expire(at(3000)));
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenListedAgainWithinGraceStays() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, {0, 1}, std::nullopt);
    D.replaceAll({}, {0, 2}, at(3000));
    D.apply({{"a", instance("a")}}, {0, 3}, at(3000));
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(9000)));
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
  }

  void entryWhenDrainingStaysListed() {
    BackendDirectory D;
    BackendInstance Leaving = instance("a");
    Leaving.IsDraining = true;
    D.replaceAll({instance("a")}, {0, 1}, std::nullopt);
    D.apply({{"a", Leaving}}, {0, 2}, std::nullopt);
    CPPUNIT_ASSERT(D.instances().at("a").IsDraining);
  }

  void listWhenFromALaterEraReplacesOneWithAHigherNumber() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, {1, 90}, std::nullopt);
    CPPUNIT_ASSERT(
        D.replaceAll({instance("a"), instance("b")}, {2, 40}, at(3000)));
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    D.apply({{"c", instance("c")}}, {2, 41}, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t(3), D.instances().size());
  }

  void listWhenFromAnEarlierEraChangesNothing() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, {2, 40}, std::nullopt);
    CPPUNIT_ASSERT(!D.replaceAll({}, {1, 90}, std::nullopt));
    D.apply({{"a", std::nullopt}}, {1, 91}, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
  }

  void entryWhenDrainingBeforeARestoreStaysDraining() {
    BackendDirectory D;
    BackendInstance Leaving = instance("a");
    Leaving.IsDraining = true;
    D.replaceAll({Leaving}, {1, 90}, std::nullopt);
    D.replaceAll({instance("a")}, {2, 40}, at(3000));
    CPPUNIT_ASSERT(D.instances().at("a").IsDraining);
  }

  void entryWhenLostWithARestoreStaysUntilGraceEnds() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, {1, 90}, std::nullopt);
    D.replaceAll({}, {2, 40}, at(3000));
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(2900)));
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.expire(at(3000)));
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenRemovedBeforeARestoreIsDoubtedUntilWrittenAgain() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, {1, 80}, std::nullopt);
    D.apply({{"a", std::nullopt}, {"b", std::nullopt}}, {1, 90}, std::nullopt);
    // The backup still contains both.
    D.replaceAll({instance("a"), instance("b")}, {2, 40}, at(3000));
    CPPUNIT_ASSERT(D.instances().empty());
    CPPUNIT_ASSERT(D.snapshot().empty());
    D.apply({{"a", instance("a")}, {"b", std::nullopt}}, {2, 41}, at(3000));
    CPPUNIT_ASSERT(D.instances().contains("a"));
    D.expire(at(60'000));
    CPPUNIT_ASSERT(!D.instances().contains("b"));
  }

  void entryWhenDoubtedForLongIsUsed() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, {1, 80}, std::nullopt);
    D.apply({{"a", std::nullopt}}, {1, 90}, std::nullopt);
    D.replaceAll({instance("a")}, {2, 40}, at(3000));
    TimePoint Due = at(3000) + BackendDirectory::RestoredEntryDoubt;
    D.expire(Due - std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(D.instances().empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.expire(Due));
    CPPUNIT_ASSERT(D.instances().contains("a"));
  }

  void entryWhenRestartedBeforeARestoreIsUsed() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, {1, 80}, std::nullopt);
    D.apply({{"a", std::nullopt}}, {1, 90}, std::nullopt);
    BackendInstance Restarted = instance("a");
    Restarted.BornMillis = 7;
    D.replaceAll({Restarted}, {2, 40}, at(3000));
    CPPUNIT_ASSERT(D.instances().contains("a"));
  }

  void entriesWhenManyWereRemovedAreForgottenOldestFirst() {
    BackendDirectory D;
    uint64_t Number = 1;
    D.replaceAll({instance("first")}, {1, Number}, std::nullopt);
    D.apply({{"first", std::nullopt}}, {1, ++Number}, std::nullopt);
    for (size_t I = 0; I < BackendDirectory::MaxRemembered; ++I) {
      std::string Id = "i" + std::to_string(I);
      D.apply({{Id, instance(Id.c_str())}}, {1, ++Number}, std::nullopt);
      D.apply({{Id, std::nullopt}}, {1, ++Number}, std::nullopt);
    }
    D.replaceAll({instance("first"), instance("i0")}, {2, 1}, at(3000));
    CPPUNIT_ASSERT(D.instances().contains("first"));
    CPPUNIT_ASSERT(!D.instances().contains("i0"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BackendDirectoryTest);

} // namespace ragwort::dispatch
