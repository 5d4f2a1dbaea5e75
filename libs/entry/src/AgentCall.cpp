//===- AgentCall.cpp - Runs one attempt of a request at an agent ----------===//
#include "AgentCall.h"

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration ConnectTimeout = 1s;
constexpr Duration QueryTimeout = 1s;
// The deadline sent to the agent is earlier than the caller's by this margin,
// so that the agent's refusal of an expired request still arrives in time.
constexpr Duration DeadlineMargin = 20ms;
constexpr size_t MaxQueuedMessages = 4096;
constexpr size_t MaxCollectedBytes = 3 * MiB;

uint32_t millisUntil(TimePoint Deadline) {
  Duration Remaining = Deadline - DeadlineMargin - SteadyClock().now();
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Remaining);
  return static_cast<uint32_t>(std::max<int64_t>(1, Millis.count()));
}

/// Collects a streamed answer into a single message.
class Collector final : public StreamSink {
public:
  explicit Collector(wire::Answer &Target) : Target(Target) {}
  asio::awaitable<bool> begin(const wire::AnswerHead &Head) override {
    Target.Status = Head.Status;
    Target.Headers = Head.Headers;
    co_return true;
  }
  asio::awaitable<bool> chunk(const std::string &Data) override {
    Target.Body += Data;
    co_return Target.Body.size() <= MaxCollectedBytes;
  }
  asio::awaitable<bool> finish() override { co_return true; }

private:
  wire::Answer &Target;
};

} // namespace

std::shared_ptr<PeerChannel> ChannelPool::channel(const std::string &Name,
                                                  const Address &PeerAddress) {
  std::lock_guard Lock(Mutex);
  Entry &Found = Channels[Name];
  if (!Found.Channel || Found.PeerAddress != PeerAddress)
    Found = {PeerAddress,
             std::make_shared<PeerChannel>(Context.Io, PeerAddress, Name,
                                           Context.Keys, Context.hello())};
  return Found.Channel;
}

AgentCall::AgentCall(std::shared_ptr<PeerChannel> Channel,
                     wire::StartRequest Request, TimePoint Deadline,
                     std::function<void(Incarnation)> OnHello)
    : Channel(std::move(Channel)), Request(std::move(Request)),
      Deadline(Deadline), OnHello(std::move(OnHello)) {}

asio::awaitable<AttemptOutcome> AgentCall::run(StreamSink *Sink) {
  AttemptOutcome Outcome;
  Outcome.End = AttemptEnd::NotRun;
  absl::StatusOr<wire::Hello> Hello = co_await Channel->connect(ConnectTimeout);
  if (!Hello.ok()) {
    Outcome.Detail = std::string(Hello.status().message());
    co_return Outcome;
  }
  if (OnHello)
    OnHello(Incarnation{Hello->Incarnation});
  if (Hello->Incarnation != Request.ToIncarnation) {
    Outcome.Reason = RefusalReason::WrongIncarnation;
    co_return Outcome;
  }
  if (SteadyClock().now() + DeadlineMargin >= Deadline) {
    Outcome.Reason = RefusalReason::DeadlineExceeded;
    co_return Outcome;
  }
  Box = std::make_shared<StreamBox>(co_await asio::this_coro::executor,
                                    MaxQueuedMessages);
  Request.Stream = Channel->open(Box);
  Request.DeadlineMillis = millisUntil(Deadline);
  if (!Channel->send(Request)) {
    Channel->closeStream(Request.Stream);
    Outcome.Detail = "connection closed before the request was sent";
    co_return Outcome;
  }
  Outcome = co_await receive(Sink);
  Channel->closeStream(Request.Stream);
  co_return Outcome;
}

AttemptOutcome AgentCall::refusedOutcome(const wire::Refusal &Refusal) const {
  AttemptOutcome Outcome;
  Outcome.End = AttemptEnd::NotRun;
  Outcome.Reason = Refusal.Reason;
  Outcome.Detail = Refusal.Detail;
  Outcome.RetryAfterMillis = Refusal.RetryAfterMillis;
  Outcome.Load = Refusal.Load;
  return Outcome;
}

asio::awaitable<AttemptOutcome> AgentCall::receive(StreamSink *Sink) {
  absl::StatusOr<wire::Message> M = co_await Box->receive(Deadline);
  AttemptOutcome Outcome;
  if (absl::IsDeadlineExceeded(M.status())) {
    Channel->send(wire::CancelRequest{Request.Stream});
    Outcome.IsPastDeadline = true;
    Outcome.Detail = "no answer before the deadline";
    co_return Outcome;
  }
  if (!M.ok())
    co_return co_await resolveLostAttempt(
        "the connection to the agent was lost");
  if (auto *Answer = std::get_if<wire::Answer>(&*M)) {
    Outcome.End = AttemptEnd::Answered;
    Outcome.Load = Answer->Load;
    Outcome.Answer = std::move(*Answer);
    co_return Outcome;
  }
  if (auto *Refusal = std::get_if<wire::Refusal>(&*M))
    co_return refusedOutcome(*Refusal);
  if (auto *Broken = std::get_if<wire::BrokenAnswer>(&*M)) {
    Outcome.Detail = Broken->Detail;
    Outcome.Load = Broken->Load;
    co_return Outcome;
  }
  if (auto *Head = std::get_if<wire::AnswerHead>(&*M))
    co_return co_await receiveStream(std::move(*Head), Sink);
  Outcome.Detail = "the agent sent an unexpected message";
  co_return Outcome;
}

asio::awaitable<AttemptOutcome> AgentCall::receiveStream(wire::AnswerHead Head,
                                                         StreamSink *Sink) {
  AttemptOutcome Outcome;
  Collector Collected(Outcome.Answer);
  bool IsCollected = Sink == nullptr;
  StreamSink &Target = IsCollected ? Collected : *Sink;
  Outcome.End =
      IsCollected ? AttemptEnd::Unknown : AttemptEnd::StreamInterrupted;
  bool IsSinkOpen = co_await Target.begin(Head);
  uint64_t Expected = 0;
  while (IsSinkOpen) {
    absl::StatusOr<wire::Message> M = co_await Box->receive(Deadline);
    if (!M.ok()) {
      Outcome.IsPastDeadline = absl::IsDeadlineExceeded(M.status());
      Outcome.Detail = "the answer was cut";
      break;
    }
    if (auto *Chunk = std::get_if<wire::AnswerChunk>(&*M)) {
      if (Chunk->Index != Expected++) {
        Outcome.Detail = "the answer has a gap";
        break;
      }
      IsSinkOpen = co_await Target.chunk(Chunk->Data);
      continue;
    }
    auto *End = std::get_if<wire::AnswerEnd>(&*M);
    if (!End || End->Chunks != Expected) {
      Outcome.Detail = "the answer was cut";
      break;
    }
    Outcome.Load = End->Load;
    co_await Target.finish();
    Outcome.End = IsCollected ? AttemptEnd::Answered : AttemptEnd::Streamed;
    co_return Outcome;
  }
  // The sink accepts no more data or the answer is incomplete, so the rest is
  // not needed.
  Channel->send(wire::CancelRequest{Request.Stream});
  co_return Outcome;
}

asio::awaitable<AttemptOutcome>
AgentCall::resolveLostAttempt(std::string Detail) {
  AttemptOutcome Outcome;
  Outcome.Detail = std::move(Detail);
  if (!Request.NonIdempotent)
    co_return Outcome;
  // Only the agent knows whether it started the request. The same incarnation
  // can still report this. If it has not started the request, it will not start
  // it later.
  Duration Remaining =
      std::min<Duration>(QueryTimeout, Deadline - SteadyClock().now());
  absl::StatusOr<wire::AttemptReport> Report = co_await queryAttempt(
      Channel, Request.Attempt, Incarnation{Request.ToIncarnation}, Remaining);
  if (!Report.ok())
    co_return Outcome;
  if (Report->State == wire::AttemptState::NeverStarted) {
    Outcome.End = AttemptEnd::NotRun;
    Outcome.Reason = RefusalReason::BackendUnreachable;
  } else if (Report->State == wire::AttemptState::Completed &&
             Report->HasAnswer) {
    Outcome.End = AttemptEnd::Answered;
    Outcome.Answer.Status = Report->Status;
    if (!Report->ContentType.empty())
      Outcome.Answer.Headers.push_back({"Content-Type", Report->ContentType});
    Outcome.Answer.Body = std::move(Report->Body);
  }
  co_return Outcome;
}

asio::awaitable<absl::StatusOr<wire::AttemptReport>>
queryAttempt(std::shared_ptr<PeerChannel> Channel, AttemptId Attempt,
             Incarnation AddressedTo, Duration Timeout) {
  auto QueryDeadline = std::chrono::steady_clock::now() + Timeout;
  absl::StatusOr<wire::Hello> Hello = co_await Channel->connect(Timeout);
  if (!Hello.ok())
    co_return Hello.status();
  auto Box = std::make_shared<StreamBox>(co_await asio::this_coro::executor, 4);
  wire::AttemptQuery Query;
  Query.Stream = Channel->open(Box);
  Query.Attempt = Attempt;
  Query.ToIncarnation = AddressedTo.Value;
  Channel->send(Query);
  absl::StatusOr<wire::Message> M = co_await Box->receive(QueryDeadline);
  Channel->closeStream(Query.Stream);
  if (!M.ok())
    co_return M.status();
  if (auto *Report = std::get_if<wire::AttemptReport>(&*M))
    co_return std::move(*Report);
  co_return absl::InternalError("the agent sent an unexpected message");
}

} // namespace ragwort::entry
