//===- BackendSlot.cpp - Runs one request at a time on the backend server -===//
#include "BackendSlot.h"

namespace ragwort::agent {

namespace {

using namespace std::chrono_literals;

constexpr Duration ConnectTimeout = 1s;
// Answers up to this size are sent in one frame, unless they are event streams.
constexpr size_t MaxUnstreamedAnswerBytes = 64 * KiB;
constexpr std::string_view EventStreamType = "text/event-stream";
// Servers may repeat it in their answers.
constexpr const char *RequestIdHeader = "Ragwort-Request-Id";

Duration remainingTime(const WorkItem &Item) {
  Duration Left = Item.Deadline - SteadyClock().now();
  return std::max<Duration>(Left, 1ms);
}

http::Request toHttpRequest(const wire::StartRequest &Start) {
  http::Request R;
  R.Method = Start.Method;
  R.Target = Start.Target;
  R.Headers = Start.Headers;
  R.Body = Start.Body;
  return R;
}

HeaderFields endToEndHeaders(const http::ResponseHead &Head) {
  HeaderFields Kept;
  for (const HeaderField &Field : Head.Headers)
    if (!http::isHopByHop(Field.Name))
      Kept.push_back(Field);
  return Kept;
}

} // namespace

BackendSlot::BackendSlot(asio::io_context &Io, const Address &Server)
    : Strand(asio::make_strand(Io)),
      Connection(Strand, Server, RequestIdHeader) {}

void BackendSlot::abort(StreamId Id) {
  asio::post(Strand, [this, Id] {
    if (Current != Id)
      return;
    Current.reset();
    Connection.close();
  });
}

asio::awaitable<RunResult>
BackendSlot::run(WorkItemPtr Item, StartCheck TryStart, MessageSender Send) {
  RunResult Result;
  Current = Item->Id;
  http::Request R = toHttpRequest(Item->Request);
  absl::StatusOr<http::ResponseHead> Head =
      co_await sendRequest(Item, R, TryStart, Result);
  if (Head.ok())
    co_await receiveAnswer(Item, std::move(*Head), Send, Result);
  else
    Result.Detail = std::string(Head.status().message());
  if (Result.End != RunEnd::Complete)
    Connection.close();
  Current.reset();
  co_return Result;
}

asio::awaitable<absl::StatusOr<http::ResponseHead>>
BackendSlot::sendRequest(const WorkItemPtr &Item, const http::Request &R,
                         StartCheck &TryStart, RunResult &Result) {
  Result.End = RunEnd::NeverStarted;
  bool IsIdempotent = !Item->Request.NonIdempotent;
  // The server may be closing a reused connection, which would make the outcome
  // of a non-idempotent request unknown. Such a request uses a new connection.
  absl::Status Connected = IsIdempotent
                               ? co_await Connection.connect(ConnectTimeout)
                               : co_await Connection.reconnect(ConnectTimeout);
  if (!Connected.ok())
    co_return Connected;
  if (!TryStart()) {
    Result.Reason = RefusalReason::Cancelled;
    co_return absl::CancelledError("withdrawn before it started");
  }
  Result.End = RunEnd::Broken;
  absl::StatusOr<http::ResponseHead> Head =
      co_await Connection.sendForHead(R, remainingTime(*Item));
  bool IsAborted = Current != Item->Id;
  if (Head.ok() || !IsIdempotent || IsAborted ||
      !absl::IsUnavailable(Head.status()))
    co_return Head;
  // The reused connection may have been stale: retry once on a new one.
  Connected = co_await Connection.reconnect(ConnectTimeout);
  if (!Connected.ok())
    co_return Connected;
  co_return co_await Connection.sendForHead(R, remainingTime(*Item));
}

asio::awaitable<void> BackendSlot::receiveAnswer(const WorkItemPtr &Item,
                                                 http::ResponseHead Head,
                                                 const MessageSender &Send,
                                                 RunResult &Result) {
  uint64_t Stream = Item->Request.Stream;
  Result.Answer.Stream = Stream;
  Result.Answer.Status = Head.Status;
  Result.Answer.Headers = endToEndHeaders(Head);
  bool MustStream = Head.header("Content-Type").starts_with(EventStreamType);
  auto BeginStream = [&] {
    Result.IsStreamed = true;
    wire::AnswerHead StreamHead;
    StreamHead.Stream = Stream;
    StreamHead.Status = Result.Answer.Status;
    StreamHead.Headers = Result.Answer.Headers;
    Send(std::move(StreamHead));
  };
  auto SendChunk = [&](std::string Data) {
    wire::AnswerChunk Chunk;
    Chunk.Stream = Stream;
    Chunk.Index = Result.Chunks++;
    Chunk.Data = std::move(Data);
    Send(std::move(Chunk));
  };
  if (MustStream)
    BeginStream();
  for (;;) {
    absl::StatusOr<std::optional<std::string>> Chunk =
        co_await Connection.receiveChunk(remainingTime(*Item));
    if (!Chunk.ok()) {
      Result.Detail = std::string(Chunk.status().message());
      co_return;
    }
    if (!Chunk->has_value())
      break;
    if (Result.IsStreamed) {
      SendChunk(std::move(**Chunk));
      continue;
    }
    Result.Answer.Body += **Chunk;
    if (Result.Answer.Body.size() > MaxUnstreamedAnswerBytes) {
      BeginStream();
      SendChunk(std::exchange(Result.Answer.Body, std::string()));
    }
  }
  Result.End = RunEnd::Complete;
}

} // namespace ragwort::agent
