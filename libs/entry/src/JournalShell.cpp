//===- JournalShell.cpp - Carries out the actions of a shard owner --------===//
#include "JournalShell.h"
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
  case wire::AttemptState::CannotVouch:
    return journal::AttemptStatus::WrongIncarnation;
  }
  return journal::AttemptStatus::Unreachable;
}

} // namespace

JournalShell::JournalShell(NodeContext &Context, uint32_t Shard,
                           journal::OwnerLimits Limits,
                           const JournalHooks &Hooks,
                           const Address &PeerAddress)
    : Shard(Shard), Hooks(Hooks), Strand(asio::make_strand(Context.Io)),
      Table(Strand, Context.Node.Platform, StoreTimeout),
      Owner({Shard, Context.Node.Name, Context.Self, PeerAddress}, Limits),
      Timer(Strand) {}

template <class Work> void JournalShell::spawn(Work W) {
  asio::co_spawn(
      Strand,
      [Self = shared_from_this(), W = std::move(W)]() -> asio::awaitable<void> {
        co_await W();
        Self->carryOut();
      },
      asio::detached);
}

asio::awaitable<journal::KeyedOutcome>
JournalShell::submit(wire::StartRequest Request, journal::KeyId Key,
                     journal::Target To, std::optional<Epoch> TakeOverFrom,
                     TimePoint Deadline) {
  auto Box =
      std::make_shared<VerdictBox>(co_await asio::this_coro::executor, 4);
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
    Self->Tickets[Ticket] = {Box, Key, std::move(Request), Deadline};
    Self->Owner.onRequest(Keyed, Self->Clock.now());
    Self->carryOut();
  });
  absl::StatusOr<journal::KeyedOutcome> V = co_await Box->receive(Deadline);
  if (V.ok())
    co_return std::move(*V);
  journal::KeyedOutcome Late =
      journal::OutcomeUnknown{"no answer before the deadline"};
  co_return Late;
}

void JournalShell::hint(journal::Head Later) {
  asio::post(Strand, [Self = shared_from_this(), Later = std::move(Later)] {
    Self->Owner.onNewerHead(Later);
  });
}

asio::awaitable<ShardRow> JournalShell::row() {
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

void JournalShell::carryOut() {
  for (const journal::Action &Action : Owner.takeActions())
    std::visit([this](const auto &Do) { act(Do); }, Action);
  armTimer();
}

void JournalShell::armTimer() {
  std::optional<TimePoint> Next = Owner.nextTimer();
  if (!Next)
    return;
  Timer.expires_at(*Next);
  Timer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (Error)
      return;
    Self->Owner.onTimer(Self->Clock.now());
    Self->carryOut();
  });
}

const JournalShell::Waiting *
JournalShell::waitingFor(const journal::KeyId &Key) const {
  const Waiting *Latest = nullptr;
  for (const auto &[Ticket, W] : Tickets)
    if (W.Key == Key && (!Latest || W.Deadline > Latest->Deadline))
      Latest = &W;
  return Latest;
}

//===----------------------------------------------------------------------===//
// The table service
//===----------------------------------------------------------------------===//

void JournalShell::act(const journal::ReadHead &) {
  spawn([this] { return readHead(); });
}
void JournalShell::act(const journal::ClaimHead &Do) {
  spawn([this, Do] { return claimHead(Do); });
}
void JournalShell::act(const journal::ReadLog &Do) {
  spawn([this, Do] { return readLog(Do); });
}
void JournalShell::act(const journal::AppendBatch &Do) {
  spawn([this, Do] { return append(Do); });
}
void JournalShell::act(const journal::ReadBatch &Do) {
  spawn([this, Do] { return readBatch(Do); });
}
void JournalShell::act(const journal::StartAttempt &Do) {
  spawn([this, Do] { return startAttempt(Do); });
}
void JournalShell::act(const journal::QueryAgent &Do) {
  spawn([this, Do] { return askAgent(Do); });
}

void JournalShell::act(const journal::Reply &Do) {
  auto Place = Tickets.find(Do.Ticket);
  if (Place == Tickets.end())
    return;
  Place->second.Box->push(Do.Value);
  Tickets.erase(Place);
}

asio::awaitable<void> JournalShell::readHead() {
  absl::StatusOr<Row> Found = co_await Table.read(journal::headKey(Shard));
  std::optional<journal::Head> Head;
  uint64_t RowVersion = 0;
  if (Found.ok()) {
    RowVersion = Found->Version;
    absl::StatusOr<journal::Head> Parsed = journal::Head();
    if (RowVersion != 0)
      Parsed = journal::parseHead(Found->Value);
    if (Parsed.ok())
      Head = std::move(*Parsed);
  }
  Owner.onHead(Head, RowVersion, Clock.now());
}

asio::awaitable<void> JournalShell::claimHead(journal::ClaimHead Do) {
  platform::Transaction T;
  T.Conditions.push_back({journal::headKey(Shard), Do.RowVersion});
  T.Writes.push_back({journal::headKey(Shard), journal::printHead(Do.NewHead)});
  absl::StatusOr<CommitResult> Result = co_await Table.commit(std::move(T));
  logEvent(LogLevel::Info, "journal-claim",
           {{"shard", Shard},
            {"epoch", Do.NewHead.OwnerEpoch.Value},
            {"committed", writeResultOf(Result) == WriteResult::Committed}});
  Owner.onClaimed();
}

asio::awaitable<void> JournalShell::readLog(journal::ReadLog Do) {
  std::string After = journal::logKey(Shard, Do.AfterSequence);
  absl::StatusOr<std::vector<Row>> Rows =
      co_await Table.scan(journal::logPrefix(Shard), After, LogRowsPerRead);
  if (!Rows.ok()) {
    Owner.onLog(std::nullopt, false, Clock.now());
    co_return;
  }
  std::vector<Batch> Batches;
  for (const Row &One : *Rows) {
    absl::StatusOr<Batch> Parsed = journal::parseBatch(One.Value);
    if (!Parsed.ok()) {
      // Serving without a readable log could run a key twice.
      logEvent(LogLevel::Error, "journal-row-malformed",
               {{"key", One.Key},
                {"reason", std::string(Parsed.status().message())}});
      Owner.onLog(std::nullopt, false, Clock.now());
      co_return;
    }
    Batches.push_back(std::move(*Parsed));
  }
  bool IsEnd = Rows->size() < LogRowsPerRead;
  Owner.onLog(std::move(Batches), IsEnd, Clock.now());
}

asio::awaitable<void> JournalShell::append(journal::AppendBatch Do) {
  std::string Key = journal::logKey(Shard, Do.Value.Sequence);
  platform::Transaction T;
  T.Conditions.push_back({journal::headKey(Shard), Do.HeadRowVersion});
  T.Conditions.push_back({Key, 0});
  T.Writes.push_back({Key, journal::printBatch(Do.Value)});
  absl::StatusOr<CommitResult> Result = co_await Table.commit(std::move(T));
  Owner.onAppended(writeResultOf(Result), Clock.now());
}

asio::awaitable<void> JournalShell::readBatch(journal::ReadBatch Do) {
  absl::StatusOr<Row> Found =
      co_await Table.read(journal::logKey(Shard, Do.Sequence));
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

asio::awaitable<void> JournalShell::startAttempt(journal::StartAttempt Do) {
  const journal::Intent &What = Do.AttemptIntent;
  const Waiting *Caller = waitingFor(What.Key);
  AttemptOutcome Outcome;
  Outcome.End = AttemptEnd::NotRun;
  Outcome.Reason = RefusalReason::Cancelled;
  wire::StartRequest Request;
  // All callers may have given up meanwhile; then nothing is started.
  if (Caller && Caller->Deadline > Clock.now()) {
    Request = Caller->Request;
    Request.Attempt = What.Attempt;
    Request.ToIncarnation = What.To.AgentIncarnation.Value;
    Request.NonIdempotent = true;
    Outcome = co_await Hooks.RunAttempt(What, Request, Caller->Deadline);
  }
  AttemptResult How = AttemptResult::Unknown;
  std::optional<journal::Target> Next;
  if (Outcome.End == AttemptEnd::Whole) {
    How = AttemptResult::Completed;
  } else if (Outcome.End == AttemptEnd::NotRun) {
    How = AttemptResult::NeverStarted;
    if (isRetryable(Outcome.Reason))
      Next = Hooks.ChooseNext(Request, What.To.Agent);
  }
  Owner.onAttemptEnded(What.Key, What.Attempt, How,
                       keyedAnswerOf(Outcome.Answer), Outcome.Reason, Next,
                       Clock.now());
}

asio::awaitable<void> JournalShell::askAgent(journal::QueryAgent Do) {
  absl::StatusOr<wire::AttemptReport> Report =
      co_await Hooks.AskAgent(Do.AttemptIntent);
  KeyedAnswer Answer;
  if (Report.ok())
    Answer = keyedAnswerOf(*Report);
  Owner.onAgentReport(Do.AttemptIntent.Key, Do.AttemptIntent.Attempt,
                      attemptStatusOf(Report), Answer, Clock.now());
}

} // namespace ragwort::entry
