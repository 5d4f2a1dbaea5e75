//===- Forwarding.h - One request on its way to a backend server ----------===//
//
// The shell around RequestFlow: places the request, writes it, reads the
// answer, keeps the time, and carries out the steps that the flow decides.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_FORWARDING_H
#define RAGWORT_GATEWAY_FORWARDING_H

#include "ragwort/gateway/BackendPool.h"
#include "ragwort/gateway/Dispatcher.h"
#include "ragwort/gateway/EventStream.h"
#include "ragwort/gateway/MessageParser.h"
#include "ragwort/gateway/ProtocolNames.h"
#include "ragwort/gateway/RequestFlow.h"
#include "ragwort/observe/Metrics.h"
#include <functional>

namespace ragwort::gateway {

/// A refusal or failure that the gateway itself answers.
struct OwnAnswer {
  unsigned Status = 503;
  std::string_view Reason;
  std::optional<Duration> RetryAfter;
};

/// Where the answer goes.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void answerOwn(const OwnAnswer &A) = 0;
  virtual void answerWhole(const http::ResponseHead &Head,
                           std::string_view Body) = 0;
  virtual void beginStream(const http::ResponseHead &Head) = 0;
  virtual void continueStream(std::string_view Bytes) = 0;
  virtual void endStream() = 0;
  /// Closes the connection, so that a begun answer is seen to be cut.
  virtual void cut() = 0;
  /// Bytes that the caller has not taken yet.
  virtual size_t unsent() const = 0;
};

class Forwarding;

/// What requests share at one node.
struct ForwardingContext {
  asio::io_context &Io;
  const ProtocolNames &Names;
  Dispatcher &Dispatch;
  BackendPool &Pool;
  MetricsRegistry &Metrics;
  /// Keeps a waiting request by its ticket until it is called.
  std::function<void(uint64_t, std::weak_ptr<Forwarding>)> AwaitTurn;
  /// A slot may have become free.
  std::function<void()> OnSlotFree;
  /// Version of the list of servers, for the log.
  std::function<uint64_t()> DirectoryVersion;
};

/// A request that has been accepted under one configuration.
struct AcceptedRequest {
  http::Request Message;
  std::string RequestId;
  /// The organisation that the caller's key names; empty on public routes.
  std::string Organisation;
  uint32_t Priority = 0;
  TimePoint Arrived;
  /// The earlier of the caller's and the route's time.
  TimePoint Deadline;
  std::shared_ptr<const TrafficConfig> Config;
  /// Points into Config.
  const Route *Target = nullptr;
};

class Forwarding final : public SocketHandler,
                         public std::enable_shared_from_this<Forwarding> {
public:
  Forwarding(ForwardingContext &Context, AcceptedRequest Accepted,
             AnswerSink &Sink);
  ~Forwarding() override;

  void start();
  /// The caller closed its connection; no answer is owed any more.
  void onCallerGone();
  /// The turn of a waiting request has come.
  void onCalled(const Called &C);
  /// Moves the request away from a straggler if it can go on elsewhere. Called
  /// a few times a second.
  void onTick(TimePoint At);
  /// The caller has taken the bytes that were held back.
  void onSinkDrained();

  void onConnected() override;
  void onBytes(std::string_view Bytes) override;
  void onEnd(SocketEnd End) override;

private:
  enum class Phase : uint8_t { Placing, Waiting, Connecting, Sent, Done };

  RetryMeans means();
  void place();
  void sendTo(const BackendInstance &Chosen);
  void writeRequest();
  std::string requestHead() const;
  void parse();
  bool acceptHead();
  bool skipsAnswer() const;
  void forwardBody();
  void finishAnswer();
  void finishStream();
  void relayWhole();
  void onServerFault(ServerFault Fault, std::string_view Text);
  void onDeclined();
  void onFailureAnswer();
  void carryOut(Step Next);
  void answerOwn(unsigned Status, std::string_view Reason,
                 std::optional<Duration> RetryAfterTime);
  void releaseServer();
  void leaveServer(bool IsReusable);
  void finish(std::string_view Outcome, unsigned Status);
  void armTimer();
  void onTimer();
  TimePoint silenceLimit() const;
  bool isFreeElsewhere(TimePoint At);
  Duration patience() const;

  ForwardingContext &Context;
  AcceptedRequest Accepted;
  // Null once the caller has gone or the answer is finished.
  AnswerSink *Sink;
  const std::string Service;
  RequestFlow Flow;
  EventStream Events;
  asio::steady_timer Timer;

  Phase Now = Phase::Placing;
  uint64_t Ticket = 0;
  std::vector<std::string> Excluded;
  // The server in use from Connecting on. Invariant: counted as started in the
  // dispatcher exactly while IsCounted.
  BackendInstance Server;
  bool IsCounted = false;
  bool IsFreshConnection = false;
  std::shared_ptr<StreamSocket> Socket;
  ResponseParser Parser;
  std::string Unparsed;
  // Whether a byte came back on this send.
  bool HasBytes = false;
  // Whether a whole event came back on this send.
  bool HasEvent = false;
  bool HasHead = false;
  bool IsEventStream = false;
  std::string Body;
  // The first run's head of a stream that has begun.
  http::ResponseHead Head;
  TimePoint SentAt{};
  TimePoint LastProgress{};
  TimePoint NextSilenceCheck{};
  Duration FirstByteAfter{0};
  // Longest pause between two events that came on one send.
  Duration LongestGap{0};
  // No other send is possible: the rest of the time is waited out.
  bool IsSilenceAccepted = false;
  std::string LastFault;
  std::optional<Duration> RetryAfter;
};

} // namespace ragwort::gateway

#endif
