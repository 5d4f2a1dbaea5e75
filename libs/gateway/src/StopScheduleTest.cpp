//===- StopScheduleTest.cpp - Tests of StopSchedule.h, RouteDurations.h ---===//
#include "ragwort/gateway/StopSchedule.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class StopScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopScheduleTest);
  CPPUNIT_TEST(requestWhenItsDeadlineIsBeforeTheEndIsTaken);
  CPPUNIT_TEST(requestWhenLateAndItsDeadlineIsBeyondTheEndIsRefused);
  CPPUNIT_TEST(requestWhenEarlyIsTakenIfItIsAssumedToEndInTime);
  CPPUNIT_TEST(requestWhenItsTurnComesLateIsNotSent);
  CPPUNIT_TEST(refusalWhenNewCallersStillArriveAsksForAShortPause);
  CPPUNIT_TEST(durationWhenFewRequestsAreKnownIsUnknown);
  CPPUNIT_TEST(durationWhenTokensAreStatedIsInProportion);
  CPPUNIT_TEST(durationWhenFewRequestsAreLongIsThatOfTheLongest);
  CPPUNIT_TEST(durationWhenRequestsAreOldIsForgotten);
  CPPUNIT_TEST(assumptionWhenNothingIsKnownDependsOnWhatMayRunAgain);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration Second = std::chrono::seconds(1);
  const TimePoint Begun{std::chrono::hours(1)};
  const StopSchedule Stop{Begun, 8 * Second};

  bool admits(Duration At, Duration Deadline,
              Duration Assumed = Duration(0)) const {
    return Stop.admits(Begun + At, Begun + Deadline, Assumed);
  }

public:
  void requestWhenItsDeadlineIsBeforeTheEndIsTaken() {
    for (Duration At : {0 * Second, 2 * Second, 3 * Second, 5 * Second})
      CPPUNIT_ASSERT(admits(At, 7 * Second, 9 * Second));
    CPPUNIT_ASSERT(admits(0 * Second, 7 * Second, Duration::max()));
  }

  void requestWhenLateAndItsDeadlineIsBeyondTheEndIsRefused() {
    CPPUNIT_ASSERT(!admits(3 * Second, 11 * Second));
    CPPUNIT_ASSERT(!admits(3 * Second, 11 * Second, Second));
    CPPUNIT_ASSERT(!admits(3 * Second, 8 * Second, Second));
  }

  void requestWhenEarlyIsTakenIfItIsAssumedToEndInTime() {
    CPPUNIT_ASSERT(admits(2 * Second, 10 * Second));
    CPPUNIT_ASSERT(admits(2 * Second, 10 * Second, 5 * Second));
    CPPUNIT_ASSERT(!admits(2 * Second, 10 * Second, 6 * Second));
    CPPUNIT_ASSERT(!admits(0 * Second, 10 * Second, Duration::max()));
  }

  // Guards against sending a request that has waited while the node stops.
  void requestWhenItsTurnComesLateIsNotSent() {
    auto Latest = [this](Duration Deadline, Duration Assumed) {
      return Stop.latestSend(Begun + Deadline, Assumed);
    };
    CPPUNIT_ASSERT(Latest(7 * Second, Duration::max()) == TimePoint::max());
    CPPUNIT_ASSERT(Latest(9 * Second, 2 * Second) < Begun + 6 * Second);
    CPPUNIT_ASSERT(Latest(9 * Second, 2 * Second) > Begun + 5 * Second);
    CPPUNIT_ASSERT(Latest(9 * Second, Duration::max()) < Begun);
  }

  void refusalWhenNewCallersStillArriveAsksForAShortPause() {
    CPPUNIT_ASSERT(Stop.retryAfter(Begun) <= Second / 5);
    CPPUNIT_ASSERT(Stop.retryAfter(Begun + 4 * Second) == Duration(0));
  }

  void durationWhenFewRequestsAreKnownIsUnknown() {
    RouteDurations Known;
    uint64_t Count = 1;
    for (; Count < RouteDurations::MinRequests; ++Count)
      Known.add("r", 1, Second);
    CPPUNIT_ASSERT(!Known.ofMost("r", 1));
    for (; Count < RouteDurations::MinRequestsOfNearlyAll; ++Count)
      Known.add("r", 1, Second);
    CPPUNIT_ASSERT(!Known.ofNearlyAll("r", 1));
    Known.add("r", 1, Second);
    CPPUNIT_ASSERT(*Known.ofMost("r", 0) >= Second);
    CPPUNIT_ASSERT(*Known.ofNearlyAll("r", 0) >= Second);
    CPPUNIT_ASSERT(!Known.ofMost("other", 1));
  }

  void durationWhenTokensAreStatedIsInProportion() {
    RouteDurations Known;
    for (int I = 0; I < 20; ++I)
      Known.add("r", 100, 2 * Second);
    // The bins are about 12% wide.
    CPPUNIT_ASSERT(*Known.ofMost("r", 250) >= 5 * Second);
    CPPUNIT_ASSERT(*Known.ofMost("r", 250) < 5700 * Second / 1000);
  }

  // Guards against a request that is cut because its route's mean is short.
  void durationWhenFewRequestsAreLongIsThatOfTheLongest() {
    RouteDurations Known;
    for (int I = 0; I < 200; ++I)
      Known.add("r", 1, I % 100 == 0 ? 6 * Second : Second / 50);
    CPPUNIT_ASSERT(*Known.ofMost("r", 1) < Second);
    CPPUNIT_ASSERT(*Known.ofNearlyAll("r", 1) >= 6 * Second);
  }

  void durationWhenRequestsAreOldIsForgotten() {
    RouteDurations Known;
    for (int I = 0; I < 10; ++I)
      Known.add("r", 1, 6 * Second);
    for (uint64_t I = 0; I < RouteDurations::MaxCounted + 64; ++I)
      Known.add("r", 1, Second);
    CPPUNIT_ASSERT(*Known.ofNearlyAll("r", 1) >= 6 * Second);
    for (uint64_t I = 0; I < RouteDurations::MaxCounted; ++I)
      Known.add("r", 1, Second);
    CPPUNIT_ASSERT(*Known.ofNearlyAll("r", 1) < 2 * Second);
  }

  void assumptionWhenNothingIsKnownDependsOnWhatMayRunAgain() {
    RouteDurations Known;
    Route Target;
    Target.Name = "r";
    Target.Repeat = Repeatability::AtMostOnce;
    CPPUNIT_ASSERT(assumedDuration(Known, Target, 1) == Duration::max());
    for (Repeatability Repeat :
         {Repeatability::Idempotent, Repeatability::Resumable}) {
      Target.Repeat = Repeat;
      CPPUNIT_ASSERT(assumedDuration(Known, Target, 1) == Duration(0));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopScheduleTest);

} // namespace ragwort::gateway
