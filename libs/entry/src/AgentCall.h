//===- AgentCall.h - One attempt at one agent -----------------------------===//
//
// Sends a request to an agent and tells what came of it, in terms of whether
// it may have run.
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

/// The channels of an entry node, one a peer. Safe for use by several threads.
class ChannelPool {
public:
  explicit ChannelPool(NodeContext &Context) : Context(Context) {}
  /// The channel to \p Name at \p At, made on first use.
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

/// What came of an attempt.
enum class AttemptEnd : uint8_t {
  /// A whole answer in Answer.
  Answered,
  /// A streamed answer was passed on to its end.
  Streamed,
  /// Provably not run.
  NotRun,
  /// May have run; nothing was passed on.
  Unknown,
  /// May have run; a part of the answer was passed on.
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
  /// The request was not started, but the journal could not tell whether its
  /// key ran before. The caller may repeat it soon.
  bool IsJournalDown = false;
};

/// Receives the parts of a streamed answer. Each returns false when the caller
/// has gone.
class StreamSink {
public:
  virtual ~StreamSink() = default;
  virtual asio::awaitable<bool> begin(const wire::AnswerHead &Head) = 0;
  virtual asio::awaitable<bool> chunk(const std::string &Data) = 0;
  virtual asio::awaitable<bool> finish() = 0;
};

/// \code
///   AgentCall Call(Channel, Request, Deadline);
///   AttemptOutcome R = co_await Call.run(Sink);
/// \endcode
class AgentCall {
public:
  /// \p Request names the incarnation that may run it. A null \p OnHello is
  /// allowed; otherwise it hears the incarnation that was found.
  AgentCall(std::shared_ptr<PeerChannel> Channel, wire::StartRequest Request,
            TimePoint Deadline, std::function<void(Incarnation)> OnHello);

  /// Runs the attempt on the calling coroutine's strand. With a null sink a
  /// streamed answer is collected into a whole one.
  asio::awaitable<AttemptOutcome> run(StreamSink *Sink);

private:
  asio::awaitable<AttemptOutcome> receive(StreamSink *Sink);
  asio::awaitable<AttemptOutcome> receiveStream(wire::AnswerHead Head,
                                                StreamSink *Sink);
  asio::awaitable<AttemptOutcome> resolveLostAttempt(std::string Detail);
  AttemptOutcome refusedOutcome(const wire::Refusal &Refusal) const;

  std::shared_ptr<PeerChannel> Channel;
  wire::StartRequest Request;
  const TimePoint Deadline;
  const std::function<void(Incarnation)> OnHello;
  std::shared_ptr<StreamBox> Box;
};

/// Asks an agent what became of an attempt, forbidding it if it has not
/// started. Unavailable when the agent cannot be reached.
asio::awaitable<absl::StatusOr<wire::AttemptReport>>
queryAttempt(std::shared_ptr<PeerChannel> Channel, AttemptId Attempt,
             Incarnation AddressedTo, Duration Timeout);

} // namespace ragwort::entry

#endif
