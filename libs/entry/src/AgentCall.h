//===- AgentCall.h - Runs one attempt of a request at an agent ------------===//
//
// Sends a request to an agent and reports whether the request completed, did
// not run, or may have run.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_AGENTCALL_H
#define RAGWORT_ENTRY_AGENTCALL_H

#include "Backends.h"
#include "ragwort/node/NodeContext.h"
#include "ragwort/transport/PeerChannel.h"
#include <functional>
#include <memory>
#include <mutex>

namespace ragwort::entry {

/// The channels of an entry node, one for each peer. Thread-safe.
class ChannelPool {
public:
  explicit ChannelPool(NodeContext &Context) : Context(Context) {}
  /// Returns the channel to the node \p Name at \p PeerAddress. A new channel
  /// is created on first use and when the address has changed.
  std::shared_ptr<PeerChannel> channel(const std::string &Name,
                                       const Address &PeerAddress);

private:
  struct Entry {
    Address PeerAddress;
    std::shared_ptr<PeerChannel> Channel;
  };
  NodeContext &Context;
  std::mutex Mutex; // Leaf lock. Guards Channels.
  std::map<std::string, Entry> Channels;
};

/// How an attempt ended.
enum class AttemptEnd : uint8_t {
  /// The complete answer is in AttemptOutcome::Answer.
  Answered,
  /// A streamed answer was passed to the sink completely.
  Streamed,
  /// The request did not run, and this attempt will not run it.
  NotRun,
  /// The request may have run. Nothing was passed to the sink.
  Unknown,
  /// The request may have run. Part of the answer was passed to the sink.
  StreamInterrupted,
};

struct AttemptOutcome {
  AttemptEnd End = AttemptEnd::Unknown;
  wire::Answer Answer;
  RefusalReason Reason = RefusalReason::BackendUnreachable;
  std::string Detail;
  uint32_t RetryAfterMillis = 0;
  std::optional<wire::LoadReport> Load;
  bool IsPastDeadline = false;
  /// The request was not started, but the journal was not available to check
  /// whether its key ran before. The caller may retry soon.
  bool IsJournalDown = false;
};

/// Receives a streamed answer. Each function returns false if no more data is
/// accepted, for example because the caller has disconnected.
class StreamSink {
public:
  virtual ~StreamSink() = default;
  virtual asio::awaitable<bool> begin(const wire::AnswerHead &Head) = 0;
  virtual asio::awaitable<bool> chunk(const std::string &Data) = 0;
  virtual asio::awaitable<bool> finish() = 0;
};

/// \code
///   AgentCall Call(Channel, Request, Deadline, nullptr);
///   AttemptOutcome R = co_await Call.run(Sink);
/// \endcode
class AgentCall {
public:
  /// \p Request names the incarnation of the agent that may run it. \p OnHello
  /// is called with the agent's actual incarnation once connected; it may be
  /// null.
  AgentCall(std::shared_ptr<PeerChannel> Channel, wire::StartRequest Request,
            TimePoint Deadline, std::function<void(Incarnation)> OnHello);

  /// Runs the attempt on the calling coroutine's strand. If \p Sink is null, a
  /// streamed answer is collected into AttemptOutcome::Answer.
  asio::awaitable<AttemptOutcome> run(StreamSink *Sink);

private:
  asio::awaitable<AttemptOutcome> receive(StreamSink *Sink);
  asio::awaitable<AttemptOutcome> receiveStream(wire::AnswerHead Head,
                                                StreamSink *Sink);
  /// Determines the outcome after the connection was lost, by a query to the
  /// agent if the request is not idempotent.
  asio::awaitable<AttemptOutcome> resolveLostAttempt(std::string Detail);
  AttemptOutcome refusedOutcome(const wire::Refusal &Refusal) const;

  std::shared_ptr<PeerChannel> Channel;
  wire::StartRequest Request;
  const TimePoint Deadline;
  const std::function<void(Incarnation)> OnHello;
  std::shared_ptr<StreamBox> Box;
};

/// Queries an agent about an attempt. If the attempt has not started, the agent
/// refuses to start it later. \returns an error, such as Unavailable, if the
/// agent cannot be reached or does not answer within \p Timeout.
asio::awaitable<absl::StatusOr<wire::AttemptReport>>
queryAttempt(std::shared_ptr<PeerChannel> Channel, AttemptId Attempt,
             Incarnation AddressedTo, Duration Timeout);

} // namespace ragwort::entry

#endif
