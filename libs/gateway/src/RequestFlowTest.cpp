//===- RequestFlowTest.cpp - Tests of RequestFlow.h -----------------------===//
#include "ragwort/gateway/RequestFlow.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::gateway {

class RequestFlowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFlowTest);
  CPPUNIT_TEST(requestWhenNothingWasSentIsRefusedAsNotRun);
  CPPUNIT_TEST(connectFailureWhenTimeIsLeftTriesAnother);
  CPPUNIT_TEST(declineWhenAttemptsAreLeftTriesAnother);
  CPPUNIT_TEST(declineWhenAttemptsAreUsedIsRefusedAsNotRun);
  CPPUNIT_TEST(connectFailuresWhenManyAreGivenUp);
  CPPUNIT_TEST(misdirectionWhenRepeatedIsBounded);
  CPPUNIT_TEST(misdirectionWhenUncountedAsSendIsAnArrival);
  CPPUNIT_TEST(breakWhenAtMostOnceIsUnknownAndNeverSentAgain);
  CPPUNIT_TEST(breakWhenIdempotentTriesAnotherThenIsUnknown);
  CPPUNIT_TEST(declineWhenAnEarlierSendBrokeIsStillUnknown);
  CPPUNIT_TEST(breakWhenAnswerHasBegunIsCut);
  CPPUNIT_TEST(breakWhenStreamIsResumableTriesAnother);
  CPPUNIT_TEST(failureAnswerWhenAtMostOnceIsRelayed);
  CPPUNIT_TEST(failureAnswerWhenIdempotentIsRepeatedOnce);
  CPPUNIT_TEST(wholeAnswerWhenStreamHasBegunIsNeverRelayed);
  CPPUNIT_TEST(breakWhenPositionInTheStreamIsUnknownIsCut);
  CPPUNIT_TEST(streamEndWhenAnEventIsMissingIsNoEnd);
  CPPUNIT_TEST(timeUpWhenSentIsUnknownOtherwiseNotRun);
  CPPUNIT_TEST(repeatWhenBudgetIsSpentIsNotMade);
  CPPUNIT_TEST(stepsWhenEventsAreRandomMatchWhatHasRun);
  CPPUNIT_TEST_SUITE_END();

  static constexpr RetryConditions Conditions{true, true};

  static void checkStep(Step Expected, Step Actual) {
    CPPUNIT_ASSERT_EQUAL(std::string(toString(Expected)),
                         std::string(toString(Actual)));
  }

public:
  void requestWhenNothingWasSentIsRefusedAsNotRun() {
    for (Repeatability R :
         {Repeatability::Idempotent, Repeatability::AtMostOnce,
          Repeatability::Resumable})
      checkStep(Step::RefuseNotRun, RequestFlow(R, 2).onNoBackend());
  }

  void connectFailureWhenTimeIsLeftTriesAnother() {
    RequestFlow Flow(Repeatability::AtMostOnce, 1);
    checkStep(Step::TryAnother, Flow.onConnectFailed(Conditions));
    checkStep(Step::RefuseNotRun, Flow.onConnectFailed({false, true}));
  }

  void connectFailuresWhenManyAreGivenUp() {
    RequestFlow Flow(Repeatability::Idempotent, 2);
    for (uint32_t I = 1; I < RequestFlow::MaxConnectFailures; ++I)
      checkStep(Step::TryAnother, Flow.onConnectFailed(Conditions));
    checkStep(Step::RefuseNotRun, Flow.onConnectFailed(Conditions));
  }

  // Each of them loads some server, so each but the first is a retry.
  void misdirectionWhenUncountedAsSendIsAnArrival() {
    RequestFlow Flow(Repeatability::AtMostOnce, 1);
    Flow.onSent();
    checkStep(Step::RefuseNotRun, Flow.onMisdirected({true, false}));
    CPPUNIT_ASSERT_EQUAL(uint32_t(0), Flow.sends());
    CPPUNIT_ASSERT_EQUAL(uint32_t(1), Flow.arrivals());
  }

  void declineWhenAttemptsAreLeftTriesAnother() {
    RequestFlow Flow(Repeatability::AtMostOnce, 2);
    Flow.onSent();
    checkStep(Step::TryAnother, Flow.onDeclined(Conditions));
  }

  void declineWhenAttemptsAreUsedIsRefusedAsNotRun() {
    RequestFlow Flow(Repeatability::AtMostOnce, 1);
    Flow.onSent();
    checkStep(Step::RefuseNotRun, Flow.onDeclined(Conditions));
  }

  void misdirectionWhenRepeatedIsBounded() {
    RequestFlow Flow(Repeatability::AtMostOnce, 1);
    for (uint32_t I = 0; I < RequestFlow::MaxMisdirected; ++I) {
      Flow.onSent();
      checkStep(Step::TryAnother, Flow.onMisdirected(Conditions));
    }
    Flow.onSent();
    checkStep(Step::RefuseNotRun, Flow.onMisdirected(Conditions));
  }

  void breakWhenAtMostOnceIsUnknownAndNeverSentAgain() {
    RequestFlow Flow(Repeatability::AtMostOnce, 3);
    Flow.onSent();
    checkStep(Step::FailUnknown, Flow.onBroken(Conditions));
  }

  void breakWhenIdempotentTriesAnotherThenIsUnknown() {
    RequestFlow Flow(Repeatability::Idempotent, 2);
    Flow.onSent();
    checkStep(Step::TryAnother, Flow.onBroken(Conditions));
    Flow.onSent();
    checkStep(Step::FailUnknown, Flow.onBroken(Conditions));
  }

  void declineWhenAnEarlierSendBrokeIsStillUnknown() {
    // The decline of the second send does not rule out that the first, broken
    // one has run.
    RequestFlow Flow(Repeatability::Idempotent, 2);
    Flow.onSent();
    Flow.onBroken(Conditions);
    Flow.onSent();
    checkStep(Step::FailUnknown, Flow.onDeclined(Conditions));
  }

  void breakWhenAnswerHasBegunIsCut() {
    RequestFlow Flow(Repeatability::Idempotent, 3);
    Flow.onSent();
    Flow.onAnswerBegun();
    checkStep(Step::CutAnswer, Flow.onBroken(Conditions));
  }

  void breakWhenStreamIsResumableTriesAnother() {
    RequestFlow Flow(Repeatability::Resumable, 2);
    Flow.onSent();
    Flow.onAnswerBegun();
    checkStep(Step::TryAnother, Flow.onBroken(Conditions));
    Flow.onSent();
    checkStep(Step::CutAnswer, Flow.onBroken(Conditions));
  }

  void failureAnswerWhenAtMostOnceIsRelayed() {
    RequestFlow Flow(Repeatability::AtMostOnce, 3);
    Flow.onSent();
    checkStep(Step::RelayAnswer, Flow.onFailureAnswer(Conditions));
  }

  void failureAnswerWhenIdempotentIsRepeatedOnce() {
    RequestFlow Flow(Repeatability::Idempotent, 2);
    Flow.onSent();
    checkStep(Step::TryAnother, Flow.onFailureAnswer(Conditions));
    Flow.onSent();
    checkStep(Step::RelayAnswer, Flow.onFailureAnswer(Conditions));
  }

  void wholeAnswerWhenStreamHasBegunIsNeverRelayed() {
    struct Row {
      Repeatability Repeat;
      bool HasBegun;
      bool IsFailure;
      Step First; // With an attempt left.
      Step Last;  // Without.
    };
    constexpr auto Once = Repeatability::AtMostOnce;
    constexpr auto Safe = Repeatability::Idempotent;
    constexpr auto Stream = Repeatability::Resumable;
    const Row Rows[] = {
        {Once, false, false, Step::RelayAnswer, Step::RelayAnswer},
        {Once, false, true, Step::RelayAnswer, Step::RelayAnswer},
        {Once, true, false, Step::CutAnswer, Step::CutAnswer},
        {Once, true, true, Step::CutAnswer, Step::CutAnswer},
        {Safe, false, false, Step::RelayAnswer, Step::RelayAnswer},
        {Safe, false, true, Step::TryAnother, Step::RelayAnswer},
        {Stream, false, false, Step::RelayAnswer, Step::RelayAnswer},
        {Stream, false, true, Step::TryAnother, Step::RelayAnswer},
        {Stream, true, false, Step::TryAnother, Step::CutAnswer},
        {Stream, true, true, Step::TryAnother, Step::CutAnswer}};
    for (const Row &R : Rows) {
      RequestFlow Flow(R.Repeat, 2);
      Flow.onSent();
      if (R.HasBegun)
        Flow.onAnswerBegun();
      checkStep(R.First, Flow.onWholeAnswer(R.IsFailure, Conditions));
      checkStep(R.Last, Flow.onWholeAnswer(R.IsFailure, {false, true}));
    }
  }

  void breakWhenPositionInTheStreamIsUnknownIsCut() {
    RequestFlow Flow(Repeatability::Resumable, 3);
    Flow.onSent();
    Flow.onAnswerBegun();
    checkStep(Step::CutAnswer, Flow.onBroken({true, true, false}));
  }

  // Guards against a continuation without events that completes a stream whose
  // last event was spoiled.
  void streamEndWhenAnEventIsMissingIsNoEnd() {
    struct Row {
      Repeatability Repeat;
      bool IsEventMissing;
      RetryConditions Conditions;
      Step Expected;
    };
    constexpr auto Once = Repeatability::AtMostOnce;
    constexpr auto Stream = Repeatability::Resumable;
    constexpr RetryConditions NoTime{false, true};
    constexpr RetryConditions NoPosition{true, true, false};
    const Row Rows[] = {{Once, false, Conditions, Step::RelayAnswer},
                        {Once, true, Conditions, Step::CutAnswer},
                        {Stream, false, Conditions, Step::RelayAnswer},
                        {Stream, false, NoTime, Step::RelayAnswer},
                        {Stream, false, NoPosition, Step::RelayAnswer},
                        {Stream, true, Conditions, Step::TryAnother},
                        {Stream, true, NoTime, Step::CutAnswer},
                        {Stream, true, NoPosition, Step::CutAnswer}};
    for (const Row &R : Rows) {
      RequestFlow Flow(R.Repeat, 2);
      Flow.onSent();
      Flow.onAnswerBegun();
      checkStep(R.Expected, Flow.onStreamEnd(R.IsEventMissing, R.Conditions));
    }
  }

  void timeUpWhenSentIsUnknownOtherwiseNotRun() {
    RequestFlow Waiting(Repeatability::AtMostOnce, 1);
    checkStep(Step::RefuseNotRun, Waiting.onTimeUp());
    RequestFlow Sent(Repeatability::AtMostOnce, 1);
    Sent.onSent();
    checkStep(Step::FailTimeout, Sent.onTimeUp());
    RequestFlow Begun(Repeatability::Resumable, 2);
    Begun.onSent();
    Begun.onAnswerBegun();
    checkStep(Step::CutAnswer, Begun.onTimeUp());
  }

  void repeatWhenBudgetIsSpentIsNotMade() {
    RequestFlow Flow(Repeatability::Idempotent, 5);
    Flow.onSent();
    checkStep(Step::FailUnknown, Flow.onBroken({true, false}));
  }

  void stepsWhenEventsAreRandomMatchWhatHasRun() {
    for (uint64_t Seed = 1; Seed <= 20000; ++Seed)
      feedRandomEvents(Seed);
  }

private:
  /// Feeds random events to a RequestFlow, counts the sends that have run, and
  /// compares the count with the steps that it returns.
  static void feedRandomEvents(uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    auto Kind = static_cast<Repeatability>(Random() % 3);
    auto MaxAttempts = static_cast<uint32_t>(1 + Random() % 3);
    RequestFlow Flow(Kind, MaxAttempts);
    std::string Name = "seed " + std::to_string(Seed);
    uint32_t MayHaveRun = 0;
    Step Next = Step::TryAnother;
    while (Next == Step::TryAnother) {
      RetryConditions Current{Random() % 5 != 0, Random() % 5 != 0};
      if (Random() % 8 == 0) {
        Next =
            Random() % 2 ? Flow.onNoBackend() : Flow.onConnectFailed(Current);
        if (Next == Step::TryAnother)
          continue;
        break;
      }
      Flow.onSent();
      bool HasRun = Random() % 2;
      if (Kind == Repeatability::AtMostOnce)
        CPPUNIT_ASSERT_MESSAGE(Name, MayHaveRun == 0);
      if (Kind != Repeatability::AtMostOnce && HasRun && Random() % 3 == 0)
        Flow.onAnswerBegun();
      MayHaveRun += HasRun;
      if (!HasRun)
        Next = Random() % 2 ? Flow.onDeclined(Current)
                            : Flow.onMisdirected(Current);
      else
        Next = Random() % 2 ? Flow.onBroken(Current)
                            : Flow.onFailureAnswer(Current);
      CPPUNIT_ASSERT_MESSAGE(Name, MayHaveRun <= MaxAttempts);
    }
    if (Next == Step::RefuseNotRun)
      CPPUNIT_ASSERT_MESSAGE(Name, MayHaveRun == 0);
    if (Flow.hasAnswerBegun())
      CPPUNIT_ASSERT_MESSAGE(Name, Next == Step::CutAnswer);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestFlowTest);

} // namespace ragwort::gateway
