//===- RequestRunner.cpp - Runs callers' requests -------------------------===//
#include "RequestRunner.h"
#include "Refusals.h"

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration DefaultRetryAfter = 1s;
constexpr Duration QueryTimeout = 1s;
// Set in the attempt numbers of requests without a key. The journal's attempt
// numbers are below this value, so the two never collide.
constexpr uint64_t UnkeyedAttemptFlag = uint64_t(1) << 62;
// Estimated prefill time that a cached prefix saves.
constexpr double PrefillSecondsPerByte = 2e-5;

/// Passes a streamed answer on to the caller.
class ExchangeSink final : public StreamSink {
public:
  ExchangeSink(http::Exchange &X, std::string RequestId)
      : X(X), RequestId(std::move(RequestId)) {}
  asio::awaitable<bool> begin(const wire::AnswerHead &Head) override {
    http::ResponseHead Out;
    Out.Status = Head.Status;
    Out.Headers = Head.Headers;
    Out.Headers.push_back({std::string(RequestIdHeader), RequestId});
    // The head is sent before the outcome is known. A caller that receives the
    // last chunk has the complete answer; otherwise it sees a truncated stream.
    Out.Headers.push_back({std::string(OutcomeHeader),
                           std::string(toString(Outcome::Completed))});
    co_return co_await X.startStream(std::move(Out));
  }
  asio::awaitable<bool> chunk(const std::string &Data) override {
    co_return co_await X.writeChunk(Data);
  }
  asio::awaitable<bool> finish() override {
    co_return co_await X.finishStream();
  }

private:
  http::Exchange &X;
  const std::string RequestId;
};

void addRequestId(http::Response &R, const std::string &Id) {
  R.Head.Headers.push_back({std::string(RequestIdHeader), Id});
}

} // namespace

RequestRunner::RequestRunner(NodeContext &Context, ChannelPool &Channels,
                             Backends &Table, std::mutex &Mutex)
    : Context(Context), Channels(Channels), Table(Table), Mutex(Mutex),
      Retries(Context.Metrics.counter("ragwort_entry_retries_total")) {}

void RequestRunner::configure(const settings::LimitSettings &Limits) {
  std::lock_guard Lock(Mutex);
  Budget.setPercent(Limits.RetryBudgetPercent);
  MaxAttempts = Limits.Attempts;
}

void RequestRunner::addStep(CallerRequest &Request, std::string Description) {
  Duration Elapsed = Clock.now() - Request.History.Begin;
  Request.History.Steps.push_back({Elapsed.count(), std::move(Description)});
}

ChoiceQuery RequestRunner::queryOf(const wire::StartRequest &Request) const {
  ChoiceQuery Query;
  Query.Service = Request.Service;
  if (Request.WantsStream || Request.Target.starts_with("/v1/")) {
    Query.Prefix = routing::prefixKey(Request.Organisation, Request.Body);
    Query.PrefillSeconds =
        static_cast<double>(Request.Body.size()) * PrefillSecondsPerByte;
  }
  return Query;
}

std::optional<Choice>
RequestRunner::choose(const wire::StartRequest &Request,
                      const std::set<std::string> &Excluded) {
  ChoiceQuery Query = queryOf(Request);
  Query.Excluded = Excluded;
  std::lock_guard Lock(Mutex);
  return Table.choose(Query, Clock.now());
}

bool RequestRunner::takeRetry() {
  std::lock_guard Lock(Mutex);
  bool IsTaken = Budget.takeRetry();
  if (IsTaken)
    Retries.add();
  return IsTaken;
}

Duration RequestRunner::nextDelay(uint32_t Retry) {
  std::lock_guard Lock(Mutex);
  return routing::retryDelay(Retry, Table.random());
}

asio::awaitable<AttemptOutcome>
RequestRunner::attempt(const Choice &To, wire::StartRequest Request,
                       TimePoint Deadline, StreamSink *Sink) {
  ChoiceQuery Query = queryOf(Request);
  {
    std::lock_guard Lock(Mutex);
    Table.onSent(To, Query, Clock.now());
  }
  Request.ToIncarnation = To.AgentIncarnation.Value;
  AgentCall Call(Channels.channel(To.Agent, To.AgentAddress),
                 std::move(Request), Deadline,
                 [this, Agent = To.Agent](Incarnation Current) {
                   std::lock_guard Lock(Mutex);
                   Table.onHello(Agent, Current);
                 });
  AttemptOutcome Result = co_await Call.run(Sink);
  CallEnd End = CallEnd::Failed;
  if (Result.End == AttemptEnd::Answered || Result.End == AttemptEnd::Streamed)
    End = CallEnd::Answered;
  else if (Result.End == AttemptEnd::NotRun &&
           Result.Reason != RefusalReason::BackendUnreachable)
    End = CallEnd::Refused;
  std::lock_guard Lock(Mutex);
  Table.onEnd(To.Agent, End, Result.Load ? &*Result.Load : nullptr,
              Clock.now());
  co_return Result;
}

asio::awaitable<Outcome> RequestRunner::run(CallerRequest &Request,
                                            KeyedService &Keyed,
                                            http::Exchange &X) {
  {
    std::lock_guard Lock(Mutex);
    Budget.onFirstAttempt();
  }
  bool IsKeyed =
      Request.Start.NonIdempotent && !Request.Start.IdempotencyKey.empty();
  if (IsKeyed)
    co_return co_await runKeyed(Request, Keyed, X);
  co_return co_await runPlain(Request, X);
}

asio::awaitable<Outcome> RequestRunner::runPlain(CallerRequest &Request,
                                                 http::Exchange &X) {
  std::set<std::string> Tried;
  ExchangeSink Sink(X, Request.Start.RequestId);
  AttemptOutcome Last;
  Last.End = AttemptEnd::NotRun;
  Last.Reason = RefusalReason::NoBackendServer;
  for (uint32_t Try = 0;; ++Try) {
    std::optional<Choice> To = choose(Request.Start, Tried);
    if (!To) {
      addStep(Request, "no further backend server");
      break;
    }
    addStep(Request, "sent to " + To->Agent);
    wire::StartRequest Start = Request.Start;
    Start.Attempt = {Context.Self.Value, UnkeyedAttemptFlag | NextAttempt++};
    Last = co_await attempt(*To, std::move(Start), Request.Deadline, &Sink);
    if (Last.End == AttemptEnd::Answered || Last.End == AttemptEnd::Streamed ||
        Last.End == AttemptEnd::StreamInterrupted)
      break;
    Tried.insert(To->Agent);
    bool MayHaveRun = Last.End == AttemptEnd::Unknown;
    addStep(
        Request,
        To->Agent + (MayHaveRun ? " lost it: " : " did not run it: ") +
            (MayHaveRun ? Last.Detail : std::string(toString(Last.Reason))));
    bool MayRetry =
        MayHaveRun ? !Request.Start.NonIdempotent : isRetryable(Last.Reason);
    if (!MayRetry || Last.IsPastDeadline || Try + 1 >= MaxAttempts ||
        !takeRetry())
      break;
    Duration Delay = nextDelay(Try);
    if (Clock.now() + Delay >= Request.Deadline)
      break;
    co_await sleepFor(Delay);
  }
  co_return co_await respond(Request, X, std::move(Last));
}

asio::awaitable<Outcome> RequestRunner::respond(CallerRequest &Request,
                                                http::Exchange &X,
                                                AttemptOutcome Result) {
  switch (Result.End) {
  case AttemptEnd::Streamed:
    co_return Outcome::Completed;
  case AttemptEnd::StreamInterrupted:
    addStep(Request, "answer cut: " + Result.Detail);
    co_return Outcome::Unknown;
  case AttemptEnd::Answered: {
    http::Response R;
    R.Head.Status = Result.Answer.Status;
    R.Head.Headers = std::move(Result.Answer.Headers);
    R.Body = std::move(Result.Answer.Body);
    R.Head.Headers.push_back({std::string(OutcomeHeader),
                              std::string(toString(Outcome::Completed))});
    addRequestId(R, Request.Start.RequestId);
    co_await X.respond(std::move(R));
    co_return Outcome::Completed;
  }
  case AttemptEnd::NotRun: {
    Duration RetryAfter =
        Result.RetryAfterMillis > 0
            ? std::chrono::milliseconds(Result.RetryAfterMillis)
            : DefaultRetryAfter;
    http::Response R = refusal(Result.Reason, Result.Detail, RetryAfter);
    addRequestId(R, Request.Start.RequestId);
    co_await X.respond(std::move(R));
    co_return Outcome::NotRun;
  }
  case AttemptEnd::Unknown:
    break;
  }
  unsigned Status = Result.IsPastDeadline ? 504 : 502;
  if (Result.IsJournalDown)
    Status = 503;
  http::Response R = unknownOutcome(Status, Result.Detail);
  if (Result.IsJournalDown)
    R.Head.Headers.push_back({"Retry-After", "1"});
  addRequestId(R, Request.Start.RequestId);
  co_await X.respond(std::move(R));
  co_return Outcome::Unknown;
}

asio::awaitable<Outcome> RequestRunner::runKeyed(CallerRequest &Request,
                                                 KeyedService &Keyed,
                                                 http::Exchange &X) {
  // The journal is used even if no agent is available, because a request for
  // the key may have run before.
  std::optional<Choice> To = choose(Request.Start, {});
  journal::Target Target;
  if (To)
    Target = {To->Agent, To->AgentIncarnation, To->AgentAddress};
  addStep(Request, "keyed, offered to " + (To ? To->Agent : "no agent"));
  journal::KeyedOutcome KeyedResult =
      co_await Keyed.run(Request.Start, Target, Request.Deadline);
  co_return co_await respondKeyed(Request, X, std::move(KeyedResult));
}

asio::awaitable<Outcome>
RequestRunner::respondKeyed(CallerRequest &Request, http::Exchange &X,
                            journal::KeyedOutcome KeyedResult) {
  AttemptOutcome Result;
  if (auto *Answered = std::get_if<journal::Answered>(&KeyedResult)) {
    addStep(Request,
            Answered->IsReplay ? "answered from the journal" : "answered");
    if (!Answered->Answer.IsKept) {
      Result.End = AttemptEnd::Unknown;
      Result.Detail = "it completed with status " +
                      std::to_string(Answered->Answer.Status) +
                      "; its answer was not kept";
      co_return co_await respond(Request, X, std::move(Result));
    }
    Result.End = AttemptEnd::Answered;
    Result.Answer.Status = Answered->Answer.Status;
    Result.Answer.Body = std::move(Answered->Answer.Body);
    if (!Answered->Answer.ContentType.empty())
      Result.Answer.Headers.push_back(
          {"Content-Type", Answered->Answer.ContentType});
  } else if (auto *NotRun = std::get_if<journal::NotRun>(&KeyedResult)) {
    addStep(Request, "not run: " + std::string(toString(NotRun->Reason)));
    Result.End = AttemptEnd::NotRun;
    Result.Reason = NotRun->Reason;
  } else if (auto *Unknown =
                 std::get_if<journal::OutcomeUnknown>(&KeyedResult)) {
    addStep(Request, "unknown: " + Unknown->Detail);
    Result.End = AttemptEnd::Unknown;
    Result.Detail = Unknown->Detail;
    Result.IsJournalDown = Unknown->IsJournalDown;
    Result.IsPastDeadline = Clock.now() >= Request.Deadline;
  }
  co_return co_await respond(Request, X, std::move(Result));
}

JournalHooks RequestRunner::journalHooks() {
  JournalHooks Hooks;
  Hooks.RunAttempt =
      [this](journal::Intent Intent, wire::StartRequest Request,
             TimePoint Deadline) -> asio::awaitable<AttemptOutcome> {
    Choice To{Intent.To.Agent, Intent.To.AgentAddress,
              Intent.To.AgentIncarnation};
    co_return co_await attempt(To, std::move(Request), Deadline, nullptr);
  };
  Hooks.QueryAttempt = [this](journal::Intent Intent)
      -> asio::awaitable<absl::StatusOr<wire::AttemptReport>> {
    co_return co_await queryAttempt(
        Channels.channel(Intent.To.Agent, Intent.To.AgentAddress),
        Intent.Attempt, Intent.To.AgentIncarnation, QueryTimeout);
  };
  Hooks.ChooseNext =
      [this](const wire::StartRequest &Request,
             const std::string &Refused) -> std::optional<journal::Target> {
    std::optional<Choice> To = choose(Request, {Refused});
    if (!To || !takeRetry())
      return std::nullopt;
    return journal::Target{To->Agent, To->AgentIncarnation, To->AgentAddress};
  };
  return Hooks;
}

} // namespace ragwort::entry
