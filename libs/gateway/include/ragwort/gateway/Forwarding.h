//===- Forwarding.h - Forwards one request to backend servers -------------===//
//
// Chooses a server through the Dispatcher, makes one attempt after another,
// joins the events of their streams, enforces timeouts, and executes the steps
// that RequestFlow decides. What belongs to one send is in Attempt.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_FORWARDING_H
#define RAGWORT_GATEWAY_FORWARDING_H

#include "ragwort/gateway/AcceptedRequest.h"
#include "ragwort/gateway/AnswerSink.h"
#include "ragwort/gateway/Attempt.h"
#include "ragwort/gateway/ForwardingContext.h"
#include "ragwort/gateway/RequestFlow.h"

namespace ragwort::gateway {

/// Why a request with a quarantined trait of \p Kind is refused.
constexpr std::string_view quarantineReason(quarantine::TraitKind Kind) {
  return Kind == quarantine::TraitKind::WholeRequest ? "request-quarantined"
                                                     : "prompt-quarantined";
}

class Forwarding final : public AttemptObserver,
                         public std::enable_shared_from_this<Forwarding> {
public:
  Forwarding(ForwardingContext &Context, AcceptedRequest Accepted,
             AnswerSink &Sink);
  ~Forwarding() override;

  void start();
  /// The caller closed its connection; no answer is sent any more.
  void onCallerGone();
  /// Ends the request as its state allows, for \p Cause: not run, outcome
  /// unknown, or cut within a stream.
  void endNow(std::string_view Cause);
  /// The waiting request was dequeued, to be sent or because it has expired.
  void onDequeued(const dispatch::DequeuedRequest &C);
  /// Retries the request at another server if its server is a straggler, and
  /// withdraws it if it was quarantined before the answer has begun.
  /// Called a few times a second.
  void onTick(TimePoint At);
  /// The caller has read the buffered bytes; reading from the server resumes.
  void onSinkDrained();

  void onConnected() override;
  void onEvents(std::string_view Events) override;
  void onBodyGrown(size_t Size) override;
  void onAttemptEnd(AttemptEnd End) override;

private:
  RetryConditions retryConditions();
  /// Ends the request if one of its traits is quarantined. \returns whether
  /// one is.
  bool endIfQuarantined();
  /// Until when the request may be sent to a server: a node that stops sends
  /// only what can end before it exits.
  TimePoint latestSend() const;
  /// Ends the request if it cannot be sent to a server any more, although it
  /// may wait until \p StartsAt. \returns whether it was ended.
  bool endIfTooLate(TimePoint StartsAt);
  /// Places the request again if its server's data centre was evacuated while
  /// the connection was being opened. \returns whether it was.
  bool moveIfEvacuated();
  void place();
  dispatch::PlacementRequest placementRequest() const;
  void sendTo(const dispatch::BackendInstance &Chosen);
  void writeRequest();
  std::string requestHead() const;
  void beginStream();
  void pauseServer();
  void resumeServer();
  /// Decides how long reading from the server stays paused.
  void whilePaused(TimePoint At);
  void giveUpSlowCaller();
  /// Records how long the request has taken, which has ended.
  void noteDuration();
  void finishStream(const Attempt &Last);
  void relayAnswer(const Attempt &Last);
  /// Repeats the request elsewhere if its server straggles, or if it is silent
  /// and the path to it is lost.
  void moveFromServer(TimePoint At);
  void onDeclined(const Attempt &Last);
  void onAnswered(const Attempt &Last);
  void onBroken(const Attempt &Last, AttemptEnd End);
  void carryOut(Step Next);
  void sendLocalReply(unsigned Status, std::string_view Reason,
                      std::optional<Duration> RetryAfterTime);
  /// Takes over what the request keeps of the current attempt. \returns it.
  std::shared_ptr<Attempt> leaveAttempt();
  /// Gives up the current attempt, if there is one.
  void abandonAttempt();
  void finish(std::string_view Outcome, unsigned Status);
  void armTimer();
  void onTimer();
  TimePoint progressDeadline() const;
  bool hasOtherFreeServer(TimePoint At);
  Duration callerTimeout() const;
  bool isSent() const { return Current && Current->isSent(); }
  uint64_t events() const { return Events + (Current ? Current->events() : 0); }

  /// Logs why the request waits or is refused.
  void logPlacement(const dispatch::Placement &P) const;
  /// Logs why the request has left the queue without a server.
  void logTurnedAway(const dispatch::DequeuedRequest &C) const;
  void logMoved(std::string_view Cause) const;
  void logFailedSend(const Attempt &Last) const;
  void logFinished(std::string_view Outcome, unsigned Status,
                   Duration Total) const;

  ForwardingContext &Context;
  AcceptedRequest Accepted;
  // Null once the caller has disconnected or the answer is finished.
  AnswerSink *Sink;
  const std::string Service;
  RequestFlow Flow;
  asio::steady_timer Timer;

  bool IsDone = false;
  // Nonzero while the request waits in the queue.
  uint64_t Ticket = 0;
  std::vector<std::string> Excluded;
  // The work that the dispatcher expects of the request.
  double Work = 1;
  // Null between attempts.
  std::shared_ptr<Attempt> Current;
  // The last server that was chosen.
  std::string ServerId;
  // Id of the last event that the caller has.
  std::optional<uint64_t> LastEventId;
  // Whether another id agrees with LastEventId.
  bool IsPositionConfirmed = false;
  // Whether the caller has an event; a comment is none.
  bool HasContent = false;
  // Whether an attempt broke off within an event, or sent one that was not
  // accepted, and the caller has no event from after that.
  bool IsEventMissing = false;
  // Events and bytes of the answer that the caller was sent; Events without
  // those of the current attempt.
  uint64_t Events = 0;
  size_t AnswerBytes = 0;
  // Time of the first send, or zero.
  TimePoint FirstSentAt{};
  // Whether the last answer showed where it ends.
  bool IsFramed = true;
  // Time of the last event or send, as of the last attempt that has ended.
  TimePoint LastProgress{};
  TimePoint NextProgressCheck{};
  Duration TimeToFirstByte{0};
  // Longest pause between two events received on the same send.
  Duration LongestGap{0};
  // No retry is possible: only the deadline still applies.
  bool IsProgressTimeoutOff = false;
  std::string LastFault;
  std::optional<Duration> RetryAfter;
};

} // namespace ragwort::gateway

#endif
