//===- RequestFlow.h - What a request may do next -------------------------===//
//
// The decision table of one request. It knows no socket and no clock: typed
// events go in, the next step comes out. A step that says "not run" is given
// only while no byte of the request has reached a backend server, or after
// every server that was offered it has declined it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_REQUESTFLOW_H
#define RAGWORT_GATEWAY_REQUESTFLOW_H

#include "ragwort/gateway/TrafficConfig.h"
#include <cstdint>
#include <string_view>

namespace ragwort::gateway {

/// What to do after an event.
enum class Step : uint8_t {
  /// Nothing to decide; go on.
  Continue,
  /// Offer the request to another backend server.
  TryAnother,
  /// Pass the backend server's own answer on.
  RelayAnswer,
  /// Answer that the request has not run and never will (503).
  RefuseNotRun,
  /// Answer that the outcome is unknown (502).
  FailUnknown,
  /// Answer that the time is up and the outcome unknown (504).
  FailTimeout,
  /// The answer has begun and cannot be finished: close the connection.
  CutAnswer,
  /// The caller has gone; only the backend connection is left to close.
  Abandon,
};

std::string_view toString(Step Value);

/// Whether another send is worthwhile, as seen by its owner at this moment.
struct RetryConditions {
  /// The time left can still hold an answer.
  bool IsTimeLeft = true;
  /// The fleet's budget for repeats has room.
  bool IsBudgetLeft = true;
};

/// One request from its acceptance to its final answer.
///
/// \code
///   RequestFlow Flow(Repeatability::AtMostOnce, MaxAttempts);
///   Flow.onSent();
///   Step Next = Flow.onBroken(Conditions);   // FailUnknown
/// \endcode
class RequestFlow {
public:
  RequestFlow(Repeatability Repeat, uint32_t MaxAttempts)
      : Repeat(Repeat), MaxAttempts(MaxAttempts == 0 ? 1 : MaxAttempts) {}

  /// No backend server can take the request now or before its time is up.
  Step onNoBackend();
  /// A connection could not be opened; no byte has been written.
  Step onConnectFailed(RetryConditions Conditions);
  /// The first byte of the request may have left.
  void onSent();
  /// The backend server answered that it has not run the request.
  Step onDeclined(RetryConditions Conditions);
  /// Another instance has the address that the request was sent to. The server
  /// that was meant has not got it, so it does not count as a send to one.
  Step onMisdirected(RetryConditions Conditions);
  /// The backend server answered with a failure of its own.
  Step onFailureAnswer(RetryConditions Conditions);
  /// The connection broke, stayed silent or carried garbage behind a send.
  Step onBroken(RetryConditions Conditions);
  /// A head has been sent to the caller.
  void onAnswerBegun() { IsAnswerBegun = true; }
  /// The route's or the caller's time is up.
  Step onTimeUp();
  Step onCallerGone();

  /// Whether onBroken() would try another server now.
  bool mayRetry(RetryConditions Conditions) const {
    return isRepeatable() && canSendAgain(Conditions);
  }
  uint32_t sends() const { return Sends; }
  bool hasAnswerBegun() const { return IsAnswerBegun; }
  /// Whether some backend server may have run the request.
  bool mayHaveRun() const { return UnknownSends > 0; }
  bool isRepeatable() const { return Repeat != Repeatability::AtMostOnce; }

  /// Misdirected sends after which a request is given up.
  static constexpr uint32_t MaxMisdirected = 3;

private:
  Step giveUp() const;
  bool canSendAgain(RetryConditions Conditions) const;

  const Repeatability Repeat;
  const uint32_t MaxAttempts;
  uint32_t Sends = 0;
  uint32_t Misdirected = 0;
  // Sends that were not declined. Invariant: at most Sends, and at most one
  // where the request runs at most once.
  uint32_t UnknownSends = 0;
  bool IsAnswerBegun = false;
};

} // namespace ragwort::gateway

#endif
