//===- StopScheduleTest.cpp - Tests of StopSchedule.h, RouteDurations.h ---===//
#include "ragwort/gateway/StopSchedule.h"
#include "ragwort/gateway/RouteDurations.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class StopScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopScheduleTest);
  CPPUNIT_TEST(requestWhenItsDeadlineIsBeforeTheEndIsTaken);
  CPPUNIT_TEST(requestWhenLateAndItsDeadlineIsBeyondTheEndIsRefused);
  CPPUNIT_TEST(requestWhenEarlyIsTakenIfItUsuallyEndsInTime);
  CPPUNIT_TEST(refusalWhenNewCallersStillArriveAsksForAShortPause);
  CPPUNIT_TEST(durationWhenFewRequestsAreKnownIsUnknown);
  CPPUNIT_TEST(durationWhenTokensAreStatedIsInProportion);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration Second = std::chrono::seconds(1);
  const TimePoint Begun{std::chrono::hours(1)};
  const StopSchedule Stop{Begun, 8 * Second};

  bool admits(Duration At, Duration Deadline,
              std::optional<Duration> Usual = std::nullopt) const {
    return Stop.admits(Begun + At, Begun + Deadline, Usual);
  }

public:
  void requestWhenItsDeadlineIsBeforeTheEndIsTaken() {
    for (Duration At : {0 * Second, 2 * Second, 3 * Second, 5 * Second})
      CPPUNIT_ASSERT(admits(At, 7 * Second, 9 * Second));
  }

  void requestWhenLateAndItsDeadlineIsBeyondTheEndIsRefused() {
    CPPUNIT_ASSERT(!admits(3 * Second, 11 * Second));
    CPPUNIT_ASSERT(!admits(3 * Second, 11 * Second, Second));
    CPPUNIT_ASSERT(!admits(3 * Second, 8 * Second, Second));
  }

  void requestWhenEarlyIsTakenIfItUsuallyEndsInTime() {
    CPPUNIT_ASSERT(admits(2 * Second, 10 * Second));
    CPPUNIT_ASSERT(admits(2 * Second, 10 * Second, 5 * Second));
    CPPUNIT_ASSERT(!admits(2 * Second, 10 * Second, 6 * Second));
  }

  void refusalWhenNewCallersStillArriveAsksForAShortPause() {
    CPPUNIT_ASSERT(Stop.retryAfter(Begun) <= Second / 5);
    CPPUNIT_ASSERT(Stop.retryAfter(Begun + 4 * Second) == Duration(0));
  }

  void durationWhenFewRequestsAreKnownIsUnknown() {
    RouteDurations Known;
    for (uint32_t I = 1; I < RouteDurations::MinRequests; ++I)
      Known.add("r", 1, Second);
    CPPUNIT_ASSERT(!Known.usual("r", 1));
    Known.add("r", 1, Second);
    CPPUNIT_ASSERT(Known.usual("r", 0) == Second);
    CPPUNIT_ASSERT(!Known.usual("other", 1));
  }

  void durationWhenTokensAreStatedIsInProportion() {
    RouteDurations Known;
    for (int I = 0; I < 20; ++I)
      Known.add("r", 100, 2 * Second);
    CPPUNIT_ASSERT(*Known.usual("r", 250) > 4900 * Second / 1000);
    CPPUNIT_ASSERT(*Known.usual("r", 250) < 5100 * Second / 1000);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopScheduleTest);

} // namespace ragwort::gateway
