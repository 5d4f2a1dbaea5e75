//===- RequestFlow.h - Retry decisions for one request --------------------===//
//
// The state machine of one request, without sockets or clocks: each event
// returns the next step. RefuseNotRun is returned only if no byte of the
// request has been sent to a backend server, or if every server it was sent to
// has declined it.
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
  /// No decision is needed; continue.
  Continue,
  /// Send the request to another backend server.
  TryAnother,
  /// Relay the backend server's answer to the caller.
  RelayAnswer,
  /// Answer that the request has not run and will not run (503).
  RefuseNotRun,
  /// Answer that the outcome is unknown (502).
  FailUnknown,
  /// Answer that the deadline has passed and the outcome is unknown (504).
  FailTimeout,
  /// The answer has begun and cannot be finished: close the connection.
  CutAnswer,
  /// The caller has disconnected: close the backend connection.
  Abandon,
};

std::string_view toString(Step Value);

/// The current conditions for a retry, apart from the request's own state.
struct RetryConditions {
  /// The remaining time is enough for another answer.
  bool IsTimeLeft = true;
  /// The retry budget allows another send.
  bool IsBudgetLeft = true;
  /// The last event that the caller has is known by its id, and another id
  /// agrees with it, so that another server can continue a stream after it.
  bool IsPositionKnown = true;
};

/// One request, from acceptance to its final answer.
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

  /// No backend server can accept the request now or before its deadline.
  Step onNoBackend();
  /// A connection could not be opened; nothing was written to it.
  Step onConnectFailed(RetryConditions Conditions);
  /// The request is about to be written: a server may run it from now on.
  void onSent();
  /// The backend server answered that it has not run the request.
  Step onDeclined(RetryConditions Conditions);
  /// Another instance now has the address that the request was sent to. The
  /// intended server did not receive the request, so up to MaxMisdirected of
  /// these do not count as attempts.
  Step onMisdirected(RetryConditions Conditions);
  /// The backend server answered with a server error.
  Step onFailureAnswer(RetryConditions Conditions);
  /// The backend server's whole answer has arrived, and it is not an event
  /// stream. \p IsFailure: it is a server error. Never joined to a stream that
  /// has begun, whatever its status and type.
  Step onWholeAnswer(bool IsFailure, RetryConditions Conditions);
  /// The backend server's event stream has ended in order; RelayAnswer ends the
  /// caller's. \p IsEventMissing: a server began or spoiled an event that none
  /// has sent since.
  Step onStreamEnd(bool IsEventMissing, RetryConditions Conditions);
  /// After a send the connection broke, timed out or returned invalid data.
  Step onBroken(RetryConditions Conditions);
  /// The response head is being sent to the caller.
  void onAnswerBegun() { IsAnswerBegun = true; }
  /// The deadline of the route or of the caller has passed.
  Step onTimeUp();
  /// The node exits: nothing can be tried any more.
  Step onNodeStop() { return giveUp(); }
  Step onCallerGone();

  /// Whether onBroken() would try another server now.
  bool mayRetry(RetryConditions Conditions) const {
    return isRepeatable() && canSendAgain(Conditions);
  }
  uint32_t sends() const { return Sends; }
  /// Requests that have reached some server. Unlike sends(), counts those that
  /// reached another instance than the intended one.
  uint32_t arrivals() const { return Arrivals; }
  bool hasAnswerBegun() const { return IsAnswerBegun; }
  /// Whether some backend server may have run the request.
  bool mayHaveRun() const { return UnknownSends > 0; }
  bool isRepeatable() const { return Repeat != Repeatability::AtMostOnce; }

  /// Misdirected sends that do not count as attempts.
  static constexpr uint32_t MaxMisdirected = 3;
  /// Failed connects after which a request is given up: so many failures mean
  /// that the service is down, and each one may take the whole connect timeout.
  static constexpr uint32_t MaxConnectFailures = 4;

private:
  Step giveUp() const;
  bool canSendAgain(RetryConditions Conditions) const;

  const Repeatability Repeat;
  const uint32_t MaxAttempts;
  uint32_t Sends = 0;
  uint32_t Arrivals = 0;
  uint32_t Misdirected = 0;
  uint32_t ConnectFailures = 0;
  // Sends that were not declined, so that the server may have run the request.
  // Invariant: at most Sends, and at most one if Repeat is AtMostOnce.
  uint32_t UnknownSends = 0;
  bool IsAnswerBegun = false;
};

} // namespace ragwort::gateway

#endif
