//===- SelfReportsTest.cpp - Tests of SelfReports.h -----------------------===//
#include "ragwort/dispatch/SelfReports.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class SelfReportsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SelfReportsTest);
  CPPUNIT_TEST(leavingWhenTheServerRestartsIsForgotten);
  CPPUNIT_TEST(leavingWhenReportedForAnEarlierRunIsIgnored);
  CPPUNIT_TEST(leavingWhenToldByAPeerIsNotForwarded);
  CPPUNIT_TEST(leavingWhenToldByTheServerIsForwardedForATime);
  CPPUNIT_TEST(pauseWhenAShorterOneFollowsKeepsItsEnd);
  CPPUNIT_TEST(reportsWhenTooManyDropTheOldest);
  CPPUNIT_TEST(pauseWhenValidIsParsed);
  CPPUNIT_TEST(pauseWhenMalformedIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis));
  }

public:
  void leavingWhenTheServerRestartsIsForgotten() {
    SelfReports R;
    CPPUNIT_ASSERT(R.setLeaving({1, 10}, at(1), true));
    CPPUNIT_ASSERT(!R.setLeaving({1, 10}, at(2), true));
    CPPUNIT_ASSERT(R.isLeaving({1, 10}));
    CPPUNIT_ASSERT(!R.isLeaving({1, 11}));
    R.setPaused({1, 11}, at(100), at(3));
    CPPUNIT_ASSERT(!R.isLeaving({1, 10}));
    CPPUNIT_ASSERT(R.toForward(at(3)).empty());
  }

  void leavingWhenReportedForAnEarlierRunIsIgnored() {
    SelfReports R;
    R.setPaused({1, 11}, at(100), at(1));
    CPPUNIT_ASSERT(!R.setLeaving({1, 10}, at(2), false));
    CPPUNIT_ASSERT(!R.isLeaving({1, 11}));
    CPPUNIT_ASSERT(R.pausedUntil({1, 11}) == at(100));
  }

  void leavingWhenToldByAPeerIsNotForwarded() {
    SelfReports R;
    R.setLeaving({1, 10}, at(1), false);
    CPPUNIT_ASSERT(R.isLeaving({1, 10}));
    CPPUNIT_ASSERT(R.toForward(at(2)).empty());
  }

  void leavingWhenToldByTheServerIsForwardedForATime() {
    SelfReports R;
    R.setLeaving({1, 10}, at(0), true);
    // Further answers of the server do not extend the time.
    R.setLeaving({1, 10}, at(1500), true);
    CPPUNIT_ASSERT(R.toForward(at(1900)) ==
                   std::vector<ServerRun>({ServerRun{1, 10}}));
    CPPUNIT_ASSERT(R.toForward(at(2000)).empty());
    CPPUNIT_ASSERT(R.isLeaving({1, 10}));
  }

  void pauseWhenAShorterOneFollowsKeepsItsEnd() {
    SelfReports R;
    R.setPaused({1, 10}, at(5000), at(0));
    R.setPaused({1, 10}, at(3000), at(1000));
    CPPUNIT_ASSERT(R.pausedUntil({1, 10}) == at(5000));
    CPPUNIT_ASSERT(R.pausedUntil({1, 11}) == TimePoint());
  }

  void reportsWhenTooManyDropTheOldest() {
    SelfReports R;
    for (size_t I = 0; I <= SelfReports::MaxRuns; ++I)
      R.setLeaving({I, 10}, at(static_cast<int64_t>(I)), false);
    CPPUNIT_ASSERT_EQUAL(SelfReports::MaxRuns, R.size());
    CPPUNIT_ASSERT(!R.isLeaving({0, 10}));
    CPPUNIT_ASSERT(R.isLeaving({1, 10}));
  }

  void pauseWhenValidIsParsed() {
    CPPUNIT_ASSERT(parsePause("3") == std::chrono::seconds(3));
    CPPUNIT_ASSERT(parsePause("0.25") == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(parsePause("0") == Duration(0));
    CPPUNIT_ASSERT(parsePause("999999999999") == MaxPause);
  }

  void pauseWhenMalformedIsIgnored() {
    for (const char *Text : {"", " ", "-1", "soon", "nan", "inf", "3s", "1e3",
                             "0x10", "Fri, 04 Dec 2026 08:41:18 GMT"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parsePause(Text));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SelfReportsTest);

} // namespace ragwort::dispatch
