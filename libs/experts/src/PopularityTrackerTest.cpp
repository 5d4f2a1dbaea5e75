//===- PopularityTrackerTest.cpp - Tests of PopularityTracker.h -----------===//
#include "ragwort/experts/PopularityTracker.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::experts {

class PopularityTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PopularityTrackerTest);
  CPPUNIT_TEST(popularityWhenNoisyIsSmoothed);
  CPPUNIT_TEST(popularityWhenItShiftsIsAdoptedImmediately);
  CPPUNIT_TEST(periodWhenEmptyChangesNothing);
  CPPUNIT_TEST_SUITE_END();

  PopularityTracker Tracker;

  void period(double A, double B) {
    std::vector<double> Counts = {A, B};
    Tracker.onPeriod(Counts);
  }

public:
  void popularityWhenNoisyIsSmoothed() {
    period(50, 50);
    period(52, 48);
    CPPUNIT_ASSERT(!Tracker.hasShifted());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.51, Tracker.popularity()[0], 1e-9);
  }
  void popularityWhenItShiftsIsAdoptedImmediately() {
    period(50, 50);
    period(90, 10);
    CPPUNIT_ASSERT(Tracker.hasShifted());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, Tracker.popularity()[0], 1e-9);
  }
  void periodWhenEmptyChangesNothing() {
    period(50, 50);
    period(0, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Tracker.popularity()[0], 1e-9);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PopularityTrackerTest);

} // namespace ragwort::experts
