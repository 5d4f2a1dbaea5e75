//===- CallerPaceTest.cpp - Tests of CallerPace.h in virtual time ---------===//
#include "ragwort/dispatch/CallerPace.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class CallerPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerPaceTest);
  CPPUNIT_TEST(callerWhenItTakesNothingIsGivenUpWithinTwoSeconds);
  CPPUNIT_TEST(callerWhenItIsSlowButTakingIsReadForOnceASecond);
  CPPUNIT_TEST(callerWhenItHasTakenHalfIsReadForAtOnce);
  CPPUNIT_TEST(callerWhenMemoryStaysExhaustedIsGivenUp);
  CPPUNIT_TEST(finishedAnswerWhenItsCallerReadsNowAndThenIsKept);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t Limit = 100;
  VirtualClock Clock;
  CallerPace Pace;
  uint64_t Taken = 0;

  /// Time until the first step other than Keep, at most ten seconds. The caller
  /// takes \p Rate bytes each tenth of a second.
  std::pair<PausedStep, Duration> untilStep(uint64_t Rate, bool IsExhausted) {
    TimePoint Begun = Clock.now();
    Pace.update(Taken, 2 * Limit, Begun);
    Pace.onPaused(Begun);
    while (Clock.now() - Begun < std::chrono::seconds(10)) {
      Clock.advance(std::chrono::milliseconds(100));
      Taken += Rate;
      Pace.update(Taken, 2 * Limit, Clock.now());
      PausedStep Step = Pace.whilePaused(Limit, IsExhausted, Clock.now());
      if (Step != PausedStep::Keep)
        return {Step, Clock.now() - Begun};
    }
    return {PausedStep::Keep, Clock.now() - Begun};
  }

public:
  void setUp() override { Clock.advance(std::chrono::hours(1)); }

  void callerWhenItTakesNothingIsGivenUpWithinTwoSeconds() {
    auto [Step, After] = untilStep(0, false);
    CPPUNIT_ASSERT(Step == PausedStep::GiveUp);
    CPPUNIT_ASSERT(After == std::chrono::seconds(2));
  }

  void callerWhenItIsSlowButTakingIsReadForOnceASecond() {
    for (int I = 0; I < 5; ++I) {
      auto [Step, After] = untilStep(1, false);
      CPPUNIT_ASSERT(Step == PausedStep::Resume);
      CPPUNIT_ASSERT(After == std::chrono::seconds(1));
    }
  }

  void callerWhenItHasTakenHalfIsReadForAtOnce() {
    Pace.update(0, 2 * Limit, Clock.now());
    Pace.onPaused(Clock.now());
    Pace.update(150, Limit / 2, Clock.now());
    CPPUNIT_ASSERT(Pace.whilePaused(Limit, true, Clock.now()) ==
                   PausedStep::Resume);
  }

  void callerWhenMemoryStaysExhaustedIsGivenUp() {
    auto [Step, After] = untilStep(1, true);
    CPPUNIT_ASSERT(Step == PausedStep::GiveUp);
    CPPUNIT_ASSERT(After == std::chrono::seconds(2));
    // An answer of which the caller has nothing yet is read on now and then.
    Pace.onPaused(Clock.now());
    CPPUNIT_ASSERT(Pace.whileAnswerPaused(true, Clock.now()) ==
                   PausedStep::Keep);
    Clock.advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT(Pace.whileAnswerPaused(true, Clock.now()) ==
                   PausedStep::Resume);
  }

  void finishedAnswerWhenItsCallerReadsNowAndThenIsKept() {
    size_t Unread = 500;
    for (int I = 0; I < 5; ++I) {
      Pace.update(++Taken, --Unread, Clock.now());
      Clock.advance(std::chrono::milliseconds(9900));
      Pace.update(Taken, Unread, Clock.now());
      CPPUNIT_ASSERT(!Pace.hasStopped(Clock.now()));
    }
    Clock.advance(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(Pace.hasStopped(Clock.now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerPaceTest);

} // namespace ragwort::dispatch
