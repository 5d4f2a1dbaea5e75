//===- HeartbeatScheduleTest.cpp - Tests of HeartbeatSchedule.h -----------===//
#include "ragwort/rankgroup/HeartbeatSchedule.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

class HeartbeatScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeartbeatScheduleTest);
  CPPUNIT_TEST(heartbeatsWhenNothingChangesAreSentAtTheUsualInterval);
  CPPUNIT_TEST(heartbeatsWhenAGroupHasOpenedAreSentOften);
  CPPUNIT_TEST(heartbeatWhenAMapIsCopiedIsSentAtOnceAndOnlyOnce);
  CPPUNIT_TEST(heartbeatWhenAnArmedEngineSwitchesIsSentAtOnceAndOnlyOnce);
  CPPUNIT_TEST(copyWhenItNeverEndsTimesOut);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 10'000));
  }

  static EngineReport report(uint64_t Epoch) {
    EngineReport R;
    R.Epoch = Epoch;
    R.IsOpen = true;
    return R;
  }

  /// Number of heartbeats sent between two times, with the engine read at
  /// the intervals of the schedule.
  static int countSent(HeartbeatSchedule &Schedule, const EngineReport &R,
                       int64_t From, int64_t To) {
    int Sent = 0;
    for (int64_t Millis = From; Millis < To;) {
      Sent += Schedule.onReport(R, at(Millis));
      Millis += Schedule.interval(at(Millis)).count() / 1000;
    }
    return Sent;
  }

public:
  void heartbeatsWhenNothingChangesAreSentAtTheUsualInterval() {
    HeartbeatSchedule Schedule;
    countSent(Schedule, report(1), 0, 1000);
    int Sent = countSent(Schedule, report(1), 1000, 16'000);
    CPPUNIT_ASSERT(Sent >= 99 && Sent <= 101);
  }

  void heartbeatsWhenAGroupHasOpenedAreSentOften() {
    HeartbeatSchedule Schedule;
    countSent(Schedule, report(1), 0, 3000);
    CPPUNIT_ASSERT(countSent(Schedule, report(2), 3000, 3800) >= 10);
    CPPUNIT_ASSERT(countSent(Schedule, report(2), 3900, 4500) <= 5);
  }

  void heartbeatWhenAMapIsCopiedIsSentAtOnceAndOnlyOnce() {
    HeartbeatSchedule Schedule;
    EngineReport R = report(1);
    countSent(Schedule, R, 0, 3000);
    CPPUNIT_ASSERT(Schedule.onReport(R, at(3200)));
    Schedule.onPrepareAccepted(7, at(3200));
    CPPUNIT_ASSERT(Schedule.interval(at(3200)) ==
                   HeartbeatSchedule::CopyInterval);
    CPPUNIT_ASSERT(!Schedule.onReport(R, at(3240)));
    R.Prepared = 7;
    CPPUNIT_ASSERT(Schedule.onReport(R, at(3280)));
    CPPUNIT_ASSERT(!Schedule.onReport(R, at(3320)));
    CPPUNIT_ASSERT(Schedule.interval(at(3320)) ==
                   HeartbeatSchedule::UsualInterval);
  }

  void heartbeatWhenAnArmedEngineSwitchesIsSentAtOnceAndOnlyOnce() {
    HeartbeatSchedule Schedule;
    EngineReport R = report(1);
    countSent(Schedule, R, 0, 3000);
    CPPUNIT_ASSERT(Schedule.onReport(R, at(3200)));
    Schedule.onArmAccepted();
    CPPUNIT_ASSERT(Schedule.interval(at(3200)) ==
                   HeartbeatSchedule::CopyInterval);
    R.Armed = ArmedMap{7, 100};
    CPPUNIT_ASSERT(!Schedule.onReport(R, at(3240)));
    R.Armed.reset();
    R.MapVersion = 7;
    CPPUNIT_ASSERT(Schedule.onReport(R, at(3280)));
    CPPUNIT_ASSERT(!Schedule.onReport(R, at(3320)));
    CPPUNIT_ASSERT(Schedule.interval(at(3320)) ==
                   HeartbeatSchedule::UsualInterval);
  }

  void copyWhenItNeverEndsTimesOut() {
    HeartbeatSchedule Schedule;
    countSent(Schedule, report(1), 0, 3000);
    Schedule.onPrepareAccepted(7, at(3000));
    countSent(Schedule, report(1), 3000, 5100);
    CPPUNIT_ASSERT(Schedule.interval(at(5100)) ==
                   HeartbeatSchedule::UsualInterval);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeartbeatScheduleTest);

} // namespace ragwort::rankgroup
