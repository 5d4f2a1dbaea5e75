//===- BackendSlot.h - Runs one request at a time on the backend server ---===//
//
// A slot owns a connection to the backend server and the strand of that
// connection. It reports how each request ended; its user derives the outcome
// for the caller.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_BACKENDSLOT_H
#define RAGWORT_AGENT_BACKENDSLOT_H

#include "WorkQueue.h"
#include "ragwort/http/HttpClient.h"
#include <atomic>
#include <functional>

namespace ragwort::agent {

/// How a run ended.
enum class RunEnd : uint8_t {
  /// The whole answer was received.
  Complete,
  /// No byte of the request was sent.
  NeverStarted,
  /// The request may have been sent, but no whole answer was received.
  Broken,
};

/// Result of a run. Of a streamed answer, the head and the chunks were already
/// sent to the entry node; the user sends all other messages.
struct RunResult {
  RunEnd End = RunEnd::Broken;
  /// Reason for NeverStarted.
  RefusalReason Reason = RefusalReason::BackendUnreachable;
  /// Error message, unless the run is complete.
  std::string Detail;
  /// The answer. Its body is empty if the answer was streamed.
  wire::Answer Answer;
  bool IsStreamed = false;
  /// Number of chunks sent of a streamed answer.
  uint64_t Chunks = 0;
};

/// \code
///   BackendSlot Slot(Io, Server);
///   RunResult R = co_await Slot.run(Item, TryStart, Send);
/// \endcode
class BackendSlot {
public:
  /// Sends a part of a streamed answer to the entry node.
  using MessageSender = std::function<void(wire::Message)>;
  /// Called directly before the first byte is sent. The request is not sent if
  /// it returns false.
  using StartCheck = std::function<bool()>;

  BackendSlot(asio::io_context &Io, const Address &Server);

  asio::any_io_executor executor() { return Strand; }

  /// Must be called on the slot's executor, for one request at a time.
  asio::awaitable<RunResult> run(WorkItemPtr Item, StartCheck TryStart,
                                 MessageSender Send);

  /// Closes the connection if the request \p Id is in progress. May be called
  /// from any thread.
  void abort(StreamId Id);

private:
  asio::awaitable<absl::StatusOr<http::ResponseHead>>
  sendRequest(const WorkItemPtr &Item, const http::Request &R,
              StartCheck &TryStart, RunResult &Result);
  asio::awaitable<void> receiveAnswer(const WorkItemPtr &Item,
                                      http::ResponseHead Head,
                                      const MessageSender &Send,
                                      RunResult &Result);

  asio::strand<asio::io_context::executor_type> Strand;
  // The fields below are only used on the strand.
  http::ClientConnection Connection;
  // The request in progress, unless it was aborted.
  std::optional<StreamId> Current;
};

} // namespace ragwort::agent

#endif
