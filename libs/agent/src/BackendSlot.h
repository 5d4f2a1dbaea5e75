//===- BackendSlot.h - Runs one request at a time on the backend server ---===//
//
// A slot owns a connection to the backend server and its strand. It reports
// what happened; what that means is decided by its user.
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
  /// The answer was whole.
  Whole,
  /// No byte was sent.
  NeverStarted,
  /// The request was sent and its answer is not whole.
  Broken,
};

/// Result of a run. The messages for the caller were sent already, except for
/// NeverStarted and Broken.
struct RunResult {
  RunEnd End = RunEnd::Broken;
  RefusalReason Reason = RefusalReason::BackendUnreachable;
  std::string Detail;
  /// Set when whole: sent in one message, or remembered after a stream.
  wire::Answer Answer;
  bool IsStreamed = false;
  uint64_t Chunks = 0;
};

/// \code
///   BackendSlot Slot(Io, Server);
///   RunResult R = co_await Slot.run(Item, MayStart, Send);
/// \endcode
class BackendSlot {
public:
  /// Sends a part of a streamed answer towards the caller.
  using Sender = std::function<void(wire::Message)>;
  /// Asked right before the first byte leaves.
  using StartGate = std::function<bool()>;

  BackendSlot(asio::io_context &Io, const Address &Server);

  asio::any_io_executor executor() { return Strand; }

  /// Runs on the slot's executor, one request at a time.
  asio::awaitable<RunResult> run(WorkPtr Item, StartGate MayStart, Sender Send);

  /// Ends the request \p Id if it is still in progress, from any thread.
  void abort(StreamId Id);

private:
  asio::awaitable<absl::StatusOr<http::ResponseHead>>
  open(const WorkPtr &Item, const http::Request &R, StartGate &MayStart,
       RunResult &Result);
  asio::awaitable<void> receive(const WorkPtr &Item, http::ResponseHead Head,
                                const Sender &Send, RunResult &Result);

  asio::strand<asio::io_context::executor_type> Strand;
  // Belong to the strand.
  http::ClientConnection Connection;
  std::optional<StreamId> Current;
};

} // namespace ragwort::agent

#endif
