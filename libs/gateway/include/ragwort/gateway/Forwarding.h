//===- Forwarding.h - Forwards one request to a backend server ------------===//
//
// Does the I/O of one request: chooses a server through the Dispatcher, writes
// the request, reads the response, enforces timeouts, and executes the steps
// that RequestFlow decides.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_FORWARDING_H
#define RAGWORT_GATEWAY_FORWARDING_H

#include "ragwort/dispatch/CallerPace.h"
#include "ragwort/dispatch/Dispatcher.h"
#include "ragwort/dispatch/MemoryBudget.h"
#include "ragwort/gateway/BackendPool.h"
#include "ragwort/gateway/CrashDetector.h"
#include "ragwort/gateway/EventStream.h"
#include "ragwort/gateway/MessageParser.h"
#include "ragwort/gateway/ProtocolNames.h"
#include "ragwort/gateway/RequestFlow.h"
#include "ragwort/gateway/ServerStatement.h"
#include "ragwort/observe/Metrics.h"
#include "ragwort/quarantine/RequestQuarantine.h"
#include <functional>

namespace ragwort::gateway {

/// A refusal or failure that the gateway answers itself.
struct LocalReply {
  unsigned Status = 503;
  std::string_view Reason;
  std::optional<Duration> RetryAfter;
  /// For the log only.
  std::string Detail = {};
};

/// Receives the answer to a request, on behalf of the caller.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void sendLocalReply(const LocalReply &A) = 0;
  virtual void sendResponse(const http::ResponseHead &Head,
                            std::string_view Body) = 0;
  virtual void beginStream(const http::ResponseHead &Head) = 0;
  virtual void continueStream(std::string_view Bytes) = 0;
  virtual void endStream() = 0;
  /// Closes the connection, so that the caller detects the incomplete answer.
  virtual void cut() = 0;
  /// Bytes that have not been written to the caller's connection yet.
  virtual size_t unsent() const = 0;
  /// How the caller reads, as of now.
  virtual dispatch::CallerPace &pace() = 0;
};

/// Why a request with a quarantined trait of \p Kind is refused.
constexpr std::string_view quarantineReason(quarantine::TraitKind Kind) {
  return Kind == quarantine::TraitKind::WholeRequest ? "request-quarantined"
                                                     : "prompt-quarantined";
}

class Forwarding;

/// Objects that all requests of one node share.
struct ForwardingContext {
  asio::io_context &Io;
  const ProtocolNames &Names;
  dispatch::Dispatcher &Dispatch;
  BackendPool &Pool;
  quarantine::RequestQuarantine &Quarantine;
  CrashDetector &Crashes;
  MetricsRegistry &Metrics;
  std::shared_ptr<dispatch::MemoryBudget> Memory;
  /// Registers a waiting request by its ticket, until it is dequeued.
  std::function<void(uint64_t, std::weak_ptr<Forwarding>)> OnQueued;
  /// Called when a slot may have become free.
  std::function<void()> OnSlotFree;
  /// Returns the version of the backend directory, for the log.
  std::function<std::string()> DirectoryVersion;
};

/// A request that has been accepted under one configuration.
struct AcceptedRequest {
  http::Request Message;
  std::string RequestId;
  /// The organisation of the caller's API key; empty on public routes.
  std::string Organisation;
  quarantine::RequestTraits Traits;
  uint32_t Priority = 0;
  TimePoint Arrived;
  /// The earlier of the caller's and the route's deadline.
  TimePoint Deadline;
  /// As far as can be told, the caller was refused before and has come back.
  bool HasComeBack = false;
  std::shared_ptr<const TrafficConfig> Config;
  /// Points into Config.
  const Route *Target = nullptr;
  /// The regions that it is confined to; nothing if it is not.
  std::optional<dispatch::RegionSet> Regions;

  const dispatch::RegionSet *regions() const {
    return Regions ? &*Regions : nullptr;
  }
};

class Forwarding final : public SocketHandler,
                         public std::enable_shared_from_this<Forwarding> {
public:
  Forwarding(ForwardingContext &Context, AcceptedRequest Accepted,
             AnswerSink &Sink);
  ~Forwarding() override;

  void start();
  /// The caller closed its connection; no answer is sent any more.
  void onCallerGone();
  /// The waiting request was dequeued, to be sent or because it has expired.
  void onDequeued(const dispatch::DequeuedRequest &C);
  /// Retries the request at another server if its server is a straggler, and
  /// withdraws it if it was quarantined before the answer has begun.
  /// Called a few times a second.
  void onTick(TimePoint At);
  /// The caller has read the buffered bytes; reading from the server resumes.
  void onSinkDrained();

  void onConnected() override;
  void onBytes(std::string_view Bytes) override;
  void onEnd(SocketEnd End) override;

private:
  enum class Phase : uint8_t { Placing, Waiting, Connecting, Sent, Done };

  RetryConditions retryConditions();
  /// Ends the request if one of its traits is quarantined. \returns whether
  /// one is.
  bool endIfQuarantined();
  /// Places the request again if its server's data centre was evacuated while
  /// the connection was being opened. \returns whether it was.
  bool moveIfEvacuated();
  void noteSurvival();
  void noteConnectionEnd();
  void place();
  dispatch::PlacementRequest placementRequest() const;
  /// Logs why the request waits or is refused.
  void logPlacement(const dispatch::Placement &P) const;
  /// Logs why the request has left the queue without a server.
  void logTurnedAway(const dispatch::DequeuedRequest &C) const;
  void sendTo(const dispatch::BackendInstance &Chosen);
  void writeRequest();
  std::string requestHead() const;
  void parse();
  bool acceptHead();
  /// Tells the tracker what the response says of its server.
  void noteStatement();
  bool isOtherRequestsAnswer() const;
  /// Records that the server has answered another request on this connection.
  void noteForeignAnswer() const;
  /// Complete events have arrived.
  void noteEvents();
  void forwardBody();
  void pauseServer();
  void resumeServer();
  /// Decides how long reading from the server stays paused.
  void whilePaused(TimePoint At);
  void giveUpSlowCaller();
  void finishAnswer();
  void finishStream();
  void relayAnswer();
  void onServerFault(dispatch::ServerFault Fault, std::string_view Text);
  void logFailedSend(std::string_view Fault) const;
  /// Repeats the request elsewhere if its server straggles, or if it is silent
  /// and the path to it is lost.
  void moveFromServer(TimePoint At);
  void onDeclined();
  void onFailureAnswer();
  void carryOut(Step Next);
  void sendLocalReply(unsigned Status, std::string_view Reason,
                      std::optional<Duration> RetryAfterTime);
  void releaseServer();
  void leaveServer(bool IsReusable);
  void finish(std::string_view Outcome, unsigned Status);
  void armTimer();
  void onTimer();
  TimePoint progressDeadline() const;
  bool hasOtherFreeServer(TimePoint At);
  Duration callerTimeout() const;

  ForwardingContext &Context;
  AcceptedRequest Accepted;
  // Null once the caller has disconnected or the answer is finished.
  AnswerSink *Sink;
  const std::string Service;
  RequestFlow Flow;
  EventStream Events;
  asio::steady_timer Timer;

  Phase CurrentPhase = Phase::Placing;
  uint64_t Ticket = 0;
  std::vector<std::string> Excluded;
  // The server in use from Connecting on. Invariant: the dispatcher counts the
  // request as in flight there exactly while IsCounted.
  dispatch::BackendInstance Server;
  bool IsCounted = false;
  // The work that the dispatcher expects of the request; 0 once the server has
  // said that it has not run it.
  double Work = 1;
  bool IsFreshConnection = false;
  std::shared_ptr<StreamSocket> Socket;
  ResponseParser Parser;
  std::string Unparsed;
  // Bytes of answers to other requests that were received on this send.
  size_t SkippedBytes = 0;
  // Whether a byte was received on this send.
  bool HasBytes = false;
  // Whether a complete event was received on this send.
  bool HasEvent = false;
  TimePoint FirstEventAt{};
  // Whether this send has counted as one that its server survived.
  bool HasSurvived = false;
  bool HasHead = false;
  // What the response of this send says of its server.
  ServerStatement Stated;
  bool IsEventStream = false;
  std::string Body;
  // Body and Unparsed.
  dispatch::MemoryCharge AnswerCharge;
  // Head of a stream that has begun, as sent by the first server.
  http::ResponseHead Head;
  TimePoint ConnectBegun{};
  TimePoint SentAt{};
  TimePoint LastProgress{};
  TimePoint NextProgressCheck{};
  Duration TimeToFirstByte{0};
  // Bytes of the answer that the caller was sent.
  size_t AnswerBytes = 0;
  // Longest pause between two events received on the same send.
  Duration LongestGap{0};
  // No retry is possible: only the deadline still applies.
  bool IsProgressTimeoutOff = false;
  std::string LastFault;
  std::optional<Duration> RetryAfter;
};

} // namespace ragwort::gateway

#endif
