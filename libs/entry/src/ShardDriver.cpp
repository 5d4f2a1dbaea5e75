//===- ShardDriver.cpp - Performs the actions of a shard owner ------------===//
#include "ShardDriver.h"
#include "ragwort/journal/RecordText.h"
#include "ragwort/observe/Log.h"

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;
using journal::AttemptResult;
using journal::Batch;
using journal::KeyedAnswer;
using journal::WriteResult;
using platform::CommitResult;
using platform::Row;

constexpr Duration StoreTimeout = 2s;
constexpr size_t LogRowsPerRead = 200;

WriteResult writeResultOf(const absl::StatusOr<CommitResult> &Result) {
  if (!Result.ok())
    return WriteResult::Unknown;
  return *Result == CommitResult::Committed ? WriteResult::Committed
                                            : WriteResult::Conflict;
}

KeyedAnswer keyedAnswerOf(const wire::Answer &Answer) {
  KeyedAnswer Result;
  Result.Status = Answer.Status;
  Result.ContentType = std::string(findHeader(Answer.Headers, "Content-Type"));
  Result.Body = Answer.Body;
  return Result;
}

KeyedAnswer keyedAnswerOf(const wire::AttemptReport &Report) {
  KeyedAnswer Result;
  Result.Status = Report.Status;
  Result.ContentType = Report.ContentType;
  Result.Body = Report.Body;
  Result.IsKept = Report.HasAnswer;
  return Result;
}

journal::AttemptStatus
attemptStatusOf(const absl::StatusOr<wire::AttemptReport> &Report) {
  if (!Report.ok())
    return journal::AttemptStatus::Unreachable;
  switch (Report->State) {
  case wire::AttemptState::NeverStarted:
    return journal::AttemptStatus::NeverStarted;
  case wire::AttemptState::Running:
    return journal::AttemptStatus::Running;
  case wire::AttemptState::Completed:
    return journal::AttemptStatus::Completed;
  case wire::AttemptState::Broken:
    return journal::AttemptStatus::Broken;
  case wire::AttemptState::WrongIncarnation:
    return journal::AttemptStatus::WrongIncarnation;
  }
  return journal::AttemptStatus::Unreachable;
}

} // namespace

ShardDriver::ShardDriver(NodeContext &Context, uint32_t Shard,
                         journal::OwnerLimits Limits, const JournalHooks &Hooks,
                         const Address &PeerAddress)
    : Shard(Shard), Hooks(Hooks), Strand(asio::make_strand(Context.Io)),
      Table(Strand, Context.Node.Platform, StoreTimeout),
      Owner({Shard, Context.Node.Name, Context.Self, PeerAddress}, Limits),
      Timer(Strand) {}

template <class Work> void ShardDriver::spawn(Work W) {
  asio::co_spawn(
      Strand,
      [Self = shared_from_this(), W = std::move(W)]() -> asio::awaitable<void> {
        co_await W();
        Self->performActions();
      },
      asio::detached);
}

asio::awaitable<journal::KeyedOutcome>
ShardDriver::submit(wire::StartRequest Request, journal::KeyId Key,
                    journal::Target To, std::optional<Epoch> TakeOverFrom,
                    TimePoint Deadline) {
  auto Box =
      std::make_shared<OutcomeBox>(co_await asio::this_coro::executor, 4);
  asio::post(Strand, [=, Self = shared_from_this(),
                      Request = std::move(Request)]() mutable {
    uint64_t Ticket = Self->NextTicket++;
    journal::KeyedRequest Keyed;
    Keyed.Ticket = Ticket;
    Keyed.Key = Key;
    Keyed.Fingerprint =
        journal::fingerprintOf(Request.Method, Request.Target, Request.Body);
    Keyed.To = To;
    Keyed.TakeOverFrom = TakeOverFrom;
    Self->Waiters[Ticket] = {Box, Key, std::move(Request), Deadline};
    Self->Owner.onRequest(Keyed, Self->Clock.now());
    Self->performActions();
  });
  absl::StatusOr<journal::KeyedOutcome> Outcome =
      co_await Box->receive(Deadline);
  if (Outcome.ok())
    co_return std::move(*Outcome);
  journal::KeyedOutcome TimedOut =
      journal::OutcomeUnknown{"no answer before the deadline"};
  co_return TimedOut;
}

void ShardDriver::onNewerHead(journal::Head Newer) {
  asio::post(Strand, [Self = shared_from_this(), Newer = std::move(Newer)] {
    Self->Owner.onNewerHead(Newer);
  });
}

asio::awaitable<ShardRow> ShardDriver::row() {
  auto Self = shared_from_this();
  auto Read = [Self]() -> asio::awaitable<ShardRow> {
    ShardRow Row;
    Row.Shard = Self->Shard;
    Row.Phase = std::string(Self->Owner.phaseName());
    Row.Epoch = Self->Owner.epoch().Value;
    Row.Keys = Self->Owner.keyCount();
    co_return Row;
  };
  co_return co_await asio::co_spawn(Strand, Read, asio::use_awaitable);
}

void ShardDriver::performActions() {
  for (const journal::Action &Next : Owner.takeActions())
    std::visit([this](const auto &Action) { perform(Action); }, Next);
  armTimer();
}

void ShardDriver::armTimer() {
  std::optional<TimePoint> Next = Owner.nextTimer();
  if (!Next)
    return;
  Timer.expires_at(*Next);
  Timer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (Error)
      return;
    Self->Owner.onTimer(Self->Clock.now());
    Self->performActions();
  });
}

const ShardDriver::Waiter *
ShardDriver::waiterWithLatestDeadline(const journal::KeyId &Key) const {
  const Waiter *Latest = nullptr;
  for (const auto &[Ticket, W] : Waiters)
    if (W.Key == Key && (!Latest || W.Deadline > Latest->Deadline))
      Latest = &W;
  return Latest;
}

//===----------------------------------------------------------------------===//
// The actions of the owner, and access to the table service
//===----------------------------------------------------------------------===//

void ShardDriver::perform(const journal::ReadHead &) {
  spawn([this] { return readHead(); });
}
void ShardDriver::perform(const journal::ClaimHead &Action) {
  spawn([this, Action] { return claimHead(Action); });
}
void ShardDriver::perform(const journal::ReadLog &Action) {
  spawn([this, Action] { return readLog(Action); });
}
void ShardDriver::perform(const journal::AppendBatch &Action) {
  spawn([this, Action] { return append(Action); });
}
void ShardDriver::perform(const journal::ReadBatch &Action) {
  spawn([this, Action] { return readBatch(Action); });
}
void ShardDriver::perform(const journal::StartAttempt &Action) {
  spawn([this, Action] { return startAttempt(Action); });
}
void ShardDriver::perform(const journal::QueryAgent &Action) {
  spawn([this, Action] { return queryAgent(Action); });
}

void ShardDriver::perform(const journal::Reply &Action) {
  auto It = Waiters.find(Action.Ticket);
  if (It == Waiters.end())
    return;
  It->second.Box->push(Action.Value);
  Waiters.erase(It);
}

asio::awaitable<void> ShardDriver::readHead() {
  absl::StatusOr<Row> Found = co_await Table.read(journal::headKey(Shard));
  std::optional<journal::Head> Head;
  uint64_t RowVersion = 0;
  if (Found.ok()) {
    RowVersion = Found->Version;
    // An absent row has version 0 and counts as a head without an owner. Head
    // stays empty only if the row cannot be read or parsed.
    absl::StatusOr<journal::Head> Parsed = journal::Head();
    if (RowVersion != 0)
      Parsed = journal::parseHead(Found->Value);
    if (Parsed.ok())
      Head = std::move(*Parsed);
  }
  Owner.onHead(Head, RowVersion, Clock.now());
}

asio::awaitable<void> ShardDriver::claimHead(journal::ClaimHead Action) {
  platform::Transaction T;
  T.Conditions.push_back({journal::headKey(Shard), Action.RowVersion});
  T.Writes.push_back(
      {journal::headKey(Shard), journal::printHead(Action.NewHead)});
  absl::StatusOr<CommitResult> Result = co_await Table.commit(std::move(T));
  logEvent(LogLevel::Info, "journal-claim",
           {{"shard", Shard},
            {"epoch", Action.NewHead.OwnerEpoch.Value},
            {"committed", writeResultOf(Result) == WriteResult::Committed}});
  Owner.onClaimed();
}

asio::awaitable<void> ShardDriver::readLog(journal::ReadLog Action) {
  std::string After = journal::logKey(Shard, Action.AfterSequence);
  absl::StatusOr<std::vector<Row>> Rows =
      co_await Table.scan(journal::logPrefix(Shard), After, LogRowsPerRead);
  if (!Rows.ok()) {
    Owner.onLog(std::nullopt, false, Clock.now());
    co_return;
  }
  std::vector<Batch> Batches;
  for (const Row &LogRow : *Rows) {
    absl::StatusOr<Batch> Parsed = journal::parseBatch(LogRow.Value);
    if (!Parsed.ok()) {
      // Without the complete log, a request could be run twice for one key.
      logEvent(LogLevel::Error, "journal-row-malformed",
               {{"key", LogRow.Key},
                {"reason", std::string(Parsed.status().message())}});
      Owner.onLog(std::nullopt, false, Clock.now());
      co_return;
    }
    Batches.push_back(std::move(*Parsed));
  }
  bool IsEnd = Rows->size() < LogRowsPerRead;
  Owner.onLog(std::move(Batches), IsEnd, Clock.now());
}

asio::awaitable<void> ShardDriver::append(journal::AppendBatch Action) {
  std::string Key = journal::logKey(Shard, Action.Value.Sequence);
  platform::Transaction T;
  T.Conditions.push_back({journal::headKey(Shard), Action.HeadRowVersion});
  T.Conditions.push_back({Key, 0});
  T.Writes.push_back({Key, journal::printBatch(Action.Value)});
  absl::StatusOr<CommitResult> Result = co_await Table.commit(std::move(T));
  Owner.onAppended(writeResultOf(Result), Clock.now());
}

asio::awaitable<void> ShardDriver::readBatch(journal::ReadBatch Action) {
  absl::StatusOr<Row> Found =
      co_await Table.read(journal::logKey(Shard, Action.Sequence));
  std::optional<Batch> Value;
  bool IsAnswered = Found.ok();
  if (Found.ok() && Found->Version != 0) {
    absl::StatusOr<Batch> Parsed = journal::parseBatch(Found->Value);
    IsAnswered = Parsed.ok();
    if (Parsed.ok())
      Value = std::move(*Parsed);
  }
  Owner.onBatchRead(IsAnswered, Value, Clock.now());
}

//===----------------------------------------------------------------------===//
// Agents
//===----------------------------------------------------------------------===//

asio::awaitable<void> ShardDriver::startAttempt(journal::StartAttempt Action) {
  const journal::Intent &Intent = Action.AttemptIntent;
  const Waiter *Caller = waiterWithLatestDeadline(Intent.Key);
  AttemptOutcome Outcome;
  Outcome.End = AttemptEnd::NotRun;
  Outcome.Reason = RefusalReason::Cancelled;
  wire::StartRequest Request;
  // Nothing is started if the deadlines of all callers have passed.
  if (Caller && Caller->Deadline > Clock.now()) {
    Request = Caller->Request;
    Request.Attempt = Intent.Attempt;
    Request.ToIncarnation = Intent.To.AgentIncarnation.Value;
    Request.NonIdempotent = true;
    Outcome = co_await Hooks.RunAttempt(Intent, Request, Caller->Deadline);
  }
  AttemptResult Result = AttemptResult::Unknown;
  std::optional<journal::Target> Next;
  if (Outcome.End == AttemptEnd::Answered) {
    Result = AttemptResult::Completed;
  } else if (Outcome.End == AttemptEnd::NotRun) {
    Result = AttemptResult::NeverStarted;
    if (isRetryable(Outcome.Reason))
      Next = Hooks.ChooseNext(Request, Intent.To.Agent);
  }
  Owner.onAttemptEnded(Intent.Key, Intent.Attempt, Result,
                       keyedAnswerOf(Outcome.Answer), Outcome.Reason, Next,
                       Clock.now());
}

asio::awaitable<void> ShardDriver::queryAgent(journal::QueryAgent Action) {
  absl::StatusOr<wire::AttemptReport> Report =
      co_await Hooks.QueryAttempt(Action.AttemptIntent);
  KeyedAnswer Answer;
  if (Report.ok())
    Answer = keyedAnswerOf(*Report);
  Owner.onAgentReport(Action.AttemptIntent.Key, Action.AttemptIntent.Attempt,
                      attemptStatusOf(Report), Answer, Clock.now());
}

} // namespace ragwort::entry
