//===- MemoryBudgetTest.cpp - Tests of MemoryBudget.h ---------------------===//
#include "ragwort/dispatch/MemoryBudget.h"
#include "ragwort/base/Bytes.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(chargesWhenChangedMovedAndEndedAreCountedOnce);
  CPPUNIT_TEST(levelWhenTheBudgetFillsRisesInStepsAndFallsLater);
  CPPUNIT_TEST(requestWhenItsBodyWouldExceedTheRoomIsNotAdmitted);
  CPPUNIT_TEST(budgetWhenUnknownBoundsNothing);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<MemoryBudget> budgetOf(size_t Bytes) {
    return std::make_shared<MemoryBudget>(Bytes);
  }

public:
  void chargesWhenChangedMovedAndEndedAreCountedOnce() {
    auto Budget = budgetOf(1000);
    {
      MemoryCharge Answer(Budget, Held::CallerAnswers);
      MemoryCharge Request(Budget, Held::CallerRequests);
      Answer.set(100);
      Answer.set(40);
      Request.set(7);
      MemoryCharge Moved(std::move(Answer));
      Request = std::move(Moved);
      CPPUNIT_ASSERT_EQUAL(size_t(40), Budget->held());
      CPPUNIT_ASSERT_EQUAL(size_t(40), Budget->held(Held::CallerAnswers));
      CPPUNIT_ASSERT_EQUAL(size_t(0), Budget->held(Held::CallerRequests));
    }
    CPPUNIT_ASSERT_EQUAL(size_t(0), Budget->held());
    CPPUNIT_ASSERT_EQUAL(size_t(100), Budget->peak());
  }

  void levelWhenTheBudgetFillsRisesInStepsAndFallsLater() {
    auto Budget = budgetOf(1000);
    MemoryCharge Charge(Budget, Held::Servers);
    auto LevelAt = [&](size_t Bytes) {
      Charge.set(Bytes);
      return Budget->level();
    };
    CPPUNIT_ASSERT(LevelAt(499) == MemoryLevel::Normal);
    CPPUNIT_ASSERT(LevelAt(500) == MemoryLevel::Tight);
    CPPUNIT_ASSERT(Budget->unreadLimit() == 16 * KiB);
    CPPUNIT_ASSERT(LevelAt(800) == MemoryLevel::Full);
    CPPUNIT_ASSERT(LevelAt(1000) == MemoryLevel::Exhausted);
    CPPUNIT_ASSERT(LevelAt(900) == MemoryLevel::Exhausted);
    CPPUNIT_ASSERT(LevelAt(899) == MemoryLevel::Full);
    CPPUNIT_ASSERT(LevelAt(700) == MemoryLevel::Full);
    CPPUNIT_ASSERT(LevelAt(400) == MemoryLevel::Tight);
    CPPUNIT_ASSERT(LevelAt(399) == MemoryLevel::Normal);
    CPPUNIT_ASSERT(Budget->unreadLimit() == 256 * KiB);
  }

  void requestWhenItsBodyWouldExceedTheRoomIsNotAdmitted() {
    auto Budget = budgetOf(1000);
    MemoryCharge Charge(Budget, Held::CallerRequests);
    Charge.set(300);
    CPPUNIT_ASSERT(Budget->admits(499));
    CPPUNIT_ASSERT(!Budget->admits(500));
    Charge.set(850);
    CPPUNIT_ASSERT(!Budget->admits(0));
    // Refusing ends only with the level, or each freed byte would admit one.
    Charge.set(750);
    CPPUNIT_ASSERT(!Budget->admits(0));
    Charge.set(690);
    CPPUNIT_ASSERT(Budget->admits(0));
  }

  void budgetWhenUnknownBoundsNothing() {
    auto Budget = budgetOf(0);
    MemoryCharge Charge(Budget, Held::Servers);
    Charge.set(1024 * MiB);
    CPPUNIT_ASSERT(Budget->level() == MemoryLevel::Normal);
    CPPUNIT_ASSERT(Budget->admits(1024 * MiB));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace ragwort::dispatch
