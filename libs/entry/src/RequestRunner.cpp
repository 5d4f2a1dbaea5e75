//===- RequestRunner.cpp - From a caller's request to an answer -----------===//
#include "RequestRunner.h"
#include "Refusals.h"

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration DefaultRetryAfter = 1s;
constexpr Duration AskTimeout = 1s;
// Attempt numbers of the journal's shards stay below this.
constexpr uint64_t UnkeyedAttempts = uint64_t(1) << 62;
// Prefill work of a prompt, for weighing cached prefixes.
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
    // The head leaves before the end is known. A caller that sees the last
    // chunk has the whole answer; one that does not has seen it cut.
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
  Attempts = Limits.Attempts;
}

void RequestRunner::note(CallerRequest &Request, std::string What) {
  Duration Since = Clock.now() - Request.History.Begin;
  Request.History.Steps.push_back({Since.count(), std::move(What)});
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
  Request.ToIncarnation = To.Current.Value;
  AgentCall Call(Channels.channel(To.Agent, To.At), std::move(Request),
                 Deadline, [this, Agent = To.Agent](Incarnation Current) {
                   std::lock_guard Lock(Mutex);
                   Table.onHello(Agent, Current);
                 });
  AttemptOutcome Result = co_await Call.run(Sink);
  CallEnd End = CallEnd::Failed;
  if (Result.End == AttemptEnd::Whole || Result.End == AttemptEnd::Streamed)
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
      note(Request, "no further backend server");
      break;
    }
    note(Request, "sent to " + To->Agent);
    wire::StartRequest Start = Request.Start;
    Start.Attempt = {Context.Self.Value, UnkeyedAttempts | NextAttempt++};
    Last = co_await attempt(*To, std::move(Start), Request.Deadline, &Sink);
    if (Last.End == AttemptEnd::Whole || Last.End == AttemptEnd::Streamed ||
        Last.End == AttemptEnd::CutStream)
      break;
    Tried.insert(To->Agent);
    bool WasRun = Last.End == AttemptEnd::Unknown;
    note(Request,
         To->Agent + (WasRun ? " lost it: " : " did not run it: ") +
             (WasRun ? Last.Detail : std::string(toString(Last.Reason))));
    bool MayRetry =
        WasRun ? !Request.Start.NonIdempotent : isRetryable(Last.Reason);
    if (!MayRetry || Last.IsPastDeadline || Try + 1 >= Attempts || !takeRetry())
      break;
    Duration Delay = nextDelay(Try);
    if (Clock.now() + Delay >= Request.Deadline)
      break;
    co_await sleepFor(Delay);
  }
  co_return co_await answer(Request, X, std::move(Last));
}

asio::awaitable<Outcome> RequestRunner::answer(CallerRequest &Request,
                                               http::Exchange &X,
                                               AttemptOutcome Result) {
  switch (Result.End) {
  case AttemptEnd::Streamed:
    co_return Outcome::Completed;
  case AttemptEnd::CutStream:
    note(Request, "answer cut: " + Result.Detail);
    co_return Outcome::Unknown;
  case AttemptEnd::Whole: {
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
  // Without an agent the journal is still asked: the key may have run before.
  std::optional<Choice> To = choose(Request.Start, {});
  journal::Target Target;
  if (To)
    Target = {To->Agent, To->Current, To->At};
  note(Request, "keyed, offered to " + (To ? To->Agent : "no agent"));
  journal::KeyedOutcome V =
      co_await Keyed.run(Request.Start, Target, Request.Deadline);
  co_return co_await answerVerdict(Request, X, std::move(V));
}

asio::awaitable<Outcome> RequestRunner::answerVerdict(CallerRequest &Request,
                                                      http::Exchange &X,
                                                      journal::KeyedOutcome V) {
  AttemptOutcome Result;
  if (auto *Said = std::get_if<journal::Answered>(&V)) {
    note(Request, Said->IsReplay ? "answered from the journal" : "answered");
    if (!Said->Answer.IsKept) {
      Result.End = AttemptEnd::Unknown;
      Result.Detail = "it completed with status " +
                      std::to_string(Said->Answer.Status) +
                      "; its answer was not kept";
      co_return co_await answer(Request, X, std::move(Result));
    }
    Result.End = AttemptEnd::Whole;
    Result.Answer.Status = Said->Answer.Status;
    Result.Answer.Body = std::move(Said->Answer.Body);
    if (!Said->Answer.ContentType.empty())
      Result.Answer.Headers.push_back(
          {"Content-Type", Said->Answer.ContentType});
  } else if (auto *Not = std::get_if<journal::NotRun>(&V)) {
    note(Request, "not run: " + std::string(toString(Not->Reason)));
    Result.End = AttemptEnd::NotRun;
    Result.Reason = Not->Reason;
  } else if (auto *Open = std::get_if<journal::OutcomeUnknown>(&V)) {
    note(Request, "unknown: " + Open->Detail);
    Result.End = AttemptEnd::Unknown;
    Result.Detail = Open->Detail;
    Result.IsJournalDown = Open->IsJournalDown;
    Result.IsPastDeadline = Clock.now() >= Request.Deadline;
  }
  co_return co_await answer(Request, X, std::move(Result));
}

JournalHooks RequestRunner::journalHooks() {
  JournalHooks Hooks;
  Hooks.RunAttempt =
      [this](journal::Intent What, wire::StartRequest Request,
             TimePoint Deadline) -> asio::awaitable<AttemptOutcome> {
    Choice To{What.To.Agent, What.To.AgentAddress, What.To.AgentIncarnation};
    co_return co_await attempt(To, std::move(Request), Deadline, nullptr);
  };
  Hooks.AskAgent = [this](journal::Intent What)
      -> asio::awaitable<absl::StatusOr<wire::AttemptReport>> {
    co_return co_await askAttempt(
        Channels.channel(What.To.Agent, What.To.AgentAddress), What.Attempt,
        What.To.AgentIncarnation, AskTimeout);
  };
  Hooks.ChooseNext =
      [this](const wire::StartRequest &Request,
             const std::string &Refused) -> std::optional<journal::Target> {
    std::optional<Choice> To = choose(Request, {Refused});
    if (!To || !takeRetry())
      return std::nullopt;
    return journal::Target{To->Agent, To->Current, To->At};
  };
  return Hooks;
}

} // namespace ragwort::entry
