//===- RequestFlow.cpp - Retry decisions for one request ------------------===//
#include "ragwort/gateway/RequestFlow.h"
#include <cstdlib>

namespace ragwort::gateway {

std::string_view toString(Step Value) {
  switch (Value) {
  case Step::Continue:
    return "continue";
  case Step::TryAnother:
    return "try-another";
  case Step::RelayAnswer:
    return "relay";
  case Step::RefuseNotRun:
    return "refuse-not-run";
  case Step::FailUnknown:
    return "fail-unknown";
  case Step::FailTimeout:
    return "fail-timeout";
  case Step::CutAnswer:
    return "cut";
  case Step::Abandon:
    return "abandon";
  }
  return "invalid";
}

Step RequestFlow::giveUp() const {
  if (IsAnswerBegun)
    return Step::CutAnswer;
  return mayHaveRun() ? Step::FailUnknown : Step::RefuseNotRun;
}

bool RequestFlow::canSendAgain(RetryConditions Conditions) const {
  if (Sends >= MaxAttempts || !Conditions.IsTimeLeft ||
      !Conditions.IsBudgetLeft)
    return false;
  // A partly sent answer can be continued only if the stream is resumable.
  return !IsAnswerBegun ||
         (Repeat == Repeatability::Resumable && Conditions.IsPositionKnown);
}

Step RequestFlow::onNoBackend() { return giveUp(); }

Step RequestFlow::onConnectFailed(RetryConditions Conditions) {
  // A failed connect is not a send: it uses neither attempts nor retry budget.
  if (++ConnectFailures >= MaxConnectFailures || !Conditions.IsTimeLeft)
    return giveUp();
  return Step::TryAnother;
}

void RequestFlow::onSent() {
  // An at-most-once request must never run twice; aborting the process does
  // less harm.
  if (Repeat == Repeatability::AtMostOnce && UnknownSends > 0)
    std::abort();
  ++Sends;
  ++Arrivals;
  ++UnknownSends;
}

Step RequestFlow::onDeclined(RetryConditions Conditions) {
  --UnknownSends;
  return canSendAgain(Conditions) ? Step::TryAnother : giveUp();
}

Step RequestFlow::onMisdirected(RetryConditions Conditions) {
  if (++Misdirected <= MaxMisdirected)
    --Sends;
  return onDeclined(Conditions);
}

Step RequestFlow::onFailureAnswer(RetryConditions Conditions) {
  if (IsAnswerBegun)
    return canSendAgain(Conditions) ? Step::TryAnother : Step::CutAnswer;
  if (isRepeatable() && canSendAgain(Conditions))
    return Step::TryAnother;
  return Step::RelayAnswer;
}

Step RequestFlow::onWholeAnswer(bool IsFailure, RetryConditions Conditions) {
  return IsFailure || IsAnswerBegun ? onFailureAnswer(Conditions)
                                    : Step::RelayAnswer;
}

Step RequestFlow::onStreamEnd(bool IsEventMissing, RetryConditions Conditions) {
  return IsEventMissing ? onBroken(Conditions) : Step::RelayAnswer;
}

Step RequestFlow::onBroken(RetryConditions Conditions) {
  if (isRepeatable() && canSendAgain(Conditions))
    return Step::TryAnother;
  return giveUp();
}

Step RequestFlow::onTimeUp() {
  if (IsAnswerBegun)
    return Step::CutAnswer;
  return mayHaveRun() ? Step::FailTimeout : Step::RefuseNotRun;
}

Step RequestFlow::onCallerGone() { return Step::Abandon; }

} // namespace ragwort::gateway
