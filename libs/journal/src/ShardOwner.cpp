//===- ShardOwner.cpp - Runs each idempotency key at most once ------------===//
#include "ragwort/journal/ShardOwner.h"
#include <algorithm>
#include <utility>

namespace ragwort::journal {

namespace {

using namespace std::chrono_literals;

constexpr Duration StoreRetryDelay = 200ms;
constexpr const char *JournalDown = "the journal cannot be read or written";
constexpr size_t MaxWaitersPerKey = 64;
// The shard number is in the upper bits of an attempt number, so that the
// attempt numbers of one node's shards are distinct.
constexpr unsigned ShardShiftBits = 40;

} // namespace

ShardOwner::ShardOwner(OwnerIdentity Identity, OwnerLimits Limits)
    : Identity(std::move(Identity)), Limits(Limits) {}

std::vector<Action> ShardOwner::takeActions() {
  return std::exchange(Actions, std::vector<Action>());
}

std::string_view ShardOwner::phaseName() const {
  switch (CurrentPhase) {
  case Phase::Idle:
    return "idle";
  case Phase::ReadingHead:
    return "reading-head";
  case Phase::Claiming:
    return "claiming";
  case Phase::Loading:
    return "loading";
  case Phase::Serving:
    return "serving";
  case Phase::Following:
    return "following";
  }
  return "idle";
}

void ShardOwner::reply(uint64_t Ticket, KeyedOutcome Outcome) {
  emit(Reply{Ticket, std::move(Outcome)});
}

void ShardOwner::replyAll(std::vector<Waiter> &Waiters,
                          const KeyedOutcome &Outcome) {
  for (const Waiter &W : Waiters)
    reply(W.Ticket, Outcome);
  Waiters.clear();
}

//===----------------------------------------------------------------------===//
// Ownership
//===----------------------------------------------------------------------===//

void ShardOwner::onRequest(const KeyedRequest &Request, TimePoint Now) {
  if (CurrentPhase == Phase::Serving)
    return admit(Request, Now);
  if (CurrentPhase == Phase::Following &&
      Request.TakeOverFrom != KnownHead.OwnerEpoch)
    return reply(Request.Ticket, Redirected{KnownHead});
  if (Pending.size() >= Limits.MaxPending)
    return reply(Request.Ticket,
                 OutcomeUnknown{"too many requests wait", true});
  Pending.push_back(Request);
  if (CurrentPhase == Phase::Idle || CurrentPhase == Phase::Following)
    readHead();
}

void ShardOwner::readHead() {
  CurrentPhase = Phase::ReadingHead;
  emit(ReadHead());
}

void ShardOwner::onHead(const std::optional<Head> &Found, uint64_t RowVersion,
                        TimePoint) {
  if (CurrentPhase != Phase::ReadingHead)
    return;
  if (!Found) {
    CurrentPhase = Phase::Idle;
    return failPending();
  }
  bool IsOwnName = Found->Owner == Identity.Node;
  if (IsOwnName && Found->OwnerIncarnation == Identity.Self)
    return beginLoad(*Found, RowVersion);
  // A head row with this node's name was written by an earlier incarnation,
  // whose process has ended, so it may be claimed.
  bool IsClaimable = RowVersion == 0 || IsOwnName;
  bool IsOwnerUnresponsive = std::any_of(
      Pending.begin(), Pending.end(), [&](const KeyedRequest &Request) {
        return Request.TakeOverFrom == Found->OwnerEpoch;
      });
  if (IsClaimable || IsOwnerUnresponsive)
    return beginClaim(RowVersion, *Found);
  follow(*Found);
}

void ShardOwner::beginClaim(uint64_t RowVersion, const Head &Previous) {
  Head Next;
  Next.OwnerEpoch = Epoch{Previous.OwnerEpoch.Value + 1};
  Next.Owner = Identity.Node;
  Next.OwnerIncarnation = Identity.Self;
  Next.OwnerAddress = Identity.NodeAddress;
  CurrentPhase = Phase::Claiming;
  emit(ClaimHead{RowVersion, Next});
}

void ShardOwner::onClaimed() {
  // The head row is read again regardless of the write's result, which may be
  // unknown.
  if (CurrentPhase == Phase::Claiming)
    readHead();
}

void ShardOwner::beginLoad(const Head &Own, uint64_t RowVersion) {
  KnownHead = Own;
  HeadRowVersion = RowVersion;
  NextSequence = 1;
  Keys.clear();
  CurrentPhase = Phase::Loading;
  emit(ReadLog{0});
}

void ShardOwner::onLog(const std::optional<std::vector<Batch>> &Batches,
                       bool IsEnd, TimePoint Now) {
  if (CurrentPhase != Phase::Loading)
    return;
  if (!Batches) {
    CurrentPhase = Phase::Idle;
    return failPending();
  }
  for (const Batch &B : *Batches) {
    for (const Record &R : B.Records)
      replayRecord(R);
    NextSequence = B.Sequence + 1;
  }
  if (!IsEnd)
    return emit(ReadLog{NextSequence - 1});
  CurrentPhase = Phase::Serving;
  admitPending(Now);
}

void ShardOwner::replayRecord(const Record &R) {
  if (const auto *Start = std::get_if<Intent>(&R)) {
    KeyState &State = Keys[Start->Key];
    State.LastIntent = *Start;
    State.Phase = KeyPhase::Orphaned;
    return;
  }
  const auto &End = std::get<Conclusion>(R);
  auto It = Keys.find(End.Key);
  if (It == Keys.end() || It->second.LastIntent.Attempt != End.Attempt)
    return;
  switch (End.Result) {
  case AttemptResult::Completed:
    It->second.Phase = KeyPhase::Completed;
    It->second.Answer = End.Answer;
    return;
  case AttemptResult::Unknown:
    It->second.Phase = KeyPhase::ResultUnknown;
    return;
  case AttemptResult::NeverStarted:
    Keys.erase(It);
    return;
  }
}

void ShardOwner::follow(const Head &Owner) {
  KnownHead = Owner;
  CurrentPhase = Phase::Following;
  for (const KeyedRequest &Request : std::exchange(Pending, {}))
    reply(Request.Ticket, Redirected{Owner});
}

void ShardOwner::onNewerHead(const Head &Newer) {
  bool IsOurs = Newer.Owner == Identity.Node;
  if (CurrentPhase == Phase::Following && !IsOurs &&
      Newer.OwnerEpoch > KnownHead.OwnerEpoch)
    KnownHead = Newer;
}

void ShardOwner::failPending() {
  // Nothing was started for these requests, but without the log it is not known
  // whether their keys ran earlier.
  for (const KeyedRequest &Request : std::exchange(Pending, {}))
    reply(Request.Ticket, OutcomeUnknown{JournalDown, true});
}

void ShardOwner::admitPending(TimePoint Now) {
  for (const KeyedRequest &Request : std::exchange(Pending, {}))
    admit(Request, Now);
}

void ShardOwner::loseOwnership() {
  // No queued or in-flight record was committed, so their callers can be
  // redirected to the new owner. Callers of attempts that were started are kept
  // here; the new owner queries the agent for their results.
  for (auto &[Key, State] : Keys) {
    if (State.Phase == KeyPhase::Running) {
      DetachedWaiters[State.LastIntent.Attempt] = std::move(State.Waiters);
      continue;
    }
    for (const Waiter &W : State.Waiters)
      Pending.push_back(
          {W.Ticket, Key, State.LastIntent.Fingerprint, W.To, {}});
  }
  Keys.clear();
  Outbox.clear();
  InFlight.reset();
  Deadlines.clear();
  readHead();
}

//===----------------------------------------------------------------------===//
// Keys
//===----------------------------------------------------------------------===//

void ShardOwner::admit(const KeyedRequest &Request, TimePoint Now) {
  KeyState &State = Keys[Request.Key];
  if (State.Phase == KeyPhase::Free)
    State.LastIntent.Fingerprint = Request.Fingerprint;
  if (State.LastIntent.Fingerprint != Request.Fingerprint)
    return reply(Request.Ticket, NotRun{RefusalReason::KeyReused});
  if (State.Waiters.size() >= MaxWaitersPerKey)
    return reply(Request.Ticket,
                 OutcomeUnknown{"too many callers wait for this key"});
  Waiter Caller{Request.Ticket, Request.To};
  switch (State.Phase) {
  case KeyPhase::Free:
    State.Waiters.push_back(Caller);
    if (Request.To.Agent.empty())
      return refuse(Request.Key, State, RefusalReason::NoBackendServer, Now);
    return queueIntent(Request.Key, State, Request.To, Now);
  case KeyPhase::Refusing:
  case KeyPhase::Appending:
  case KeyPhase::Running:
  case KeyPhase::Querying:
    State.Waiters.push_back(Caller);
    return;
  case KeyPhase::Abandoned:
    return reply(Request.Ticket, OutcomeUnknown{JournalDown, true});
  case KeyPhase::Orphaned:
    State.Waiters.push_back(Caller);
    State.Phase = KeyPhase::Querying;
    return emit(QueryAgent{State.LastIntent});
  case KeyPhase::Completed:
    return reply(Request.Ticket, Answered{State.Answer, true});
  case KeyPhase::ResultUnknown:
    return reply(Request.Ticket,
                 OutcomeUnknown{"the agent that ran it was replaced"});
  }
}

void ShardOwner::queueIntent(const KeyId &Key, KeyState &State,
                             const Target &To, TimePoint Now) {
  uint64_t Number =
      (uint64_t(Identity.Shard) << ShardShiftBits) | NextAttempt++;
  State.LastIntent.Key = Key;
  State.LastIntent.Attempt = AttemptId{Identity.Self.Value, Number};
  State.LastIntent.To = To;
  State.Phase = KeyPhase::Appending;
  Outbox.push_back(State.LastIntent);
  Deadlines.push_back(
      {Now + Limits.AppendTimeout, Key, State.LastIntent.Attempt});
  appendNextBatch(Now);
}

void ShardOwner::refuse(const KeyId &Key, KeyState &State, RefusalReason Reason,
                        TimePoint Now) {
  State.Phase = KeyPhase::Refusing;
  State.Reason = Reason;
  Outbox.push_back(Conclusion{Key, State.LastIntent.Attempt,
                              AttemptResult::NeverStarted, KeyedAnswer()});
  Deadlines.push_back(
      {Now + Limits.AppendTimeout, Key, State.LastIntent.Attempt});
  appendNextBatch(Now);
}

void ShardOwner::conclude(const KeyId &Key, KeyState &State,
                          AttemptResult Result, const KeyedAnswer &Answer) {
  Outbox.push_back(Conclusion{Key, State.LastIntent.Attempt, Result, Answer});
  switch (Result) {
  case AttemptResult::Completed:
    State.Phase = KeyPhase::Completed;
    State.Answer = Answer;
    return;
  case AttemptResult::NeverStarted:
    State.Phase = KeyPhase::Free;
    return;
  case AttemptResult::Unknown:
    State.Phase = KeyPhase::ResultUnknown;
    return;
  }
}

void ShardOwner::onAttemptEnded(const KeyId &Key, AttemptId Attempt,
                                AttemptResult Result, const KeyedAnswer &Answer,
                                RefusalReason Reason,
                                const std::optional<Target> &Next,
                                TimePoint Now) {
  KeyedOutcome Outcome = OutcomeUnknown{"the answer was lost"};
  if (Result == AttemptResult::Completed)
    Outcome = Answered{Answer, false};
  else if (Result == AttemptResult::NeverStarted)
    Outcome = NotRun{Reason};
  auto Waiting = DetachedWaiters.find(Attempt);
  if (Waiting != DetachedWaiters.end()) {
    // The shard's new owner may have run the key in the meantime.
    if (Result == AttemptResult::NeverStarted)
      Outcome = OutcomeUnknown{"the shard has moved to another owner", true};
    replyAll(Waiting->second, Outcome);
    DetachedWaiters.erase(Waiting);
  }
  auto It = Keys.find(Key);
  if (It == Keys.end() || It->second.LastIntent.Attempt != Attempt)
    return;
  KeyState &State = It->second;
  bool IsOpen = State.Phase == KeyPhase::Running ||
                State.Phase == KeyPhase::Orphaned ||
                State.Phase == KeyPhase::Querying;
  if (!IsOpen)
    return;
  if (Result == AttemptResult::Unknown) {
    // Not recorded, because a later query to the agent may still give the
    // result.
    State.Phase = KeyPhase::Orphaned;
    return replyAll(State.Waiters, Outcome);
  }
  if (Result == AttemptResult::NeverStarted && !Next)
    return refuse(Key, State, Reason, Now);
  conclude(Key, State, Result, Answer);
  if (Result == AttemptResult::NeverStarted)
    return queueIntent(Key, State, *Next, Now);
  replyAll(State.Waiters, Outcome);
  appendNextBatch(Now);
}

void ShardOwner::onAgentReport(const KeyId &Key, AttemptId Attempt,
                               AttemptStatus Status, const KeyedAnswer &Answer,
                               TimePoint Now) {
  auto It = Keys.find(Key);
  if (It == Keys.end() || It->second.LastIntent.Attempt != Attempt ||
      It->second.Phase != KeyPhase::Querying)
    return;
  KeyState &State = It->second;
  switch (Status) {
  case AttemptStatus::NeverStarted:
    if (State.Waiters.empty() || State.Waiters.front().To.Agent.empty())
      return refuse(Key, State, RefusalReason::NoBackendServer, Now);
    conclude(Key, State, AttemptResult::NeverStarted, Answer);
    return queueIntent(Key, State, State.Waiters.front().To, Now);
  case AttemptStatus::Completed:
    conclude(Key, State, AttemptResult::Completed, Answer);
    replyAll(State.Waiters, Answered{Answer, true});
    break;
  case AttemptStatus::Broken:
  case AttemptStatus::WrongIncarnation:
    conclude(Key, State, AttemptResult::Unknown, Answer);
    replyAll(State.Waiters, OutcomeUnknown{"it started, its answer was lost"});
    break;
  case AttemptStatus::Running:
  case AttemptStatus::Unreachable:
    State.Phase = KeyPhase::Orphaned;
    replyAll(State.Waiters,
             OutcomeUnknown{Status == AttemptStatus::Running
                                ? "it is running"
                                : "its agent cannot be reached"});
    break;
  }
  appendNextBatch(Now);
}

//===----------------------------------------------------------------------===//
// The log
//===----------------------------------------------------------------------===//

void ShardOwner::appendNextBatch(TimePoint Now) {
  if (CurrentPhase != Phase::Serving || InFlight || Outbox.empty() ||
      Now < NextCommit)
    return;
  size_t Count = std::min(Outbox.size(), Limits.MaxBatch);
  auto End = Outbox.begin() + static_cast<ptrdiff_t>(Count);
  Batch Next;
  Next.Sequence = NextSequence;
  Next.Id = Identity.Node + "/" + std::to_string(Identity.Self.Value) + "/" +
            std::to_string(NextBatchId++);
  Next.Records.assign(Outbox.begin(), End);
  Outbox.erase(Outbox.begin(), End);
  NextCommit = Now + Limits.CommitInterval;
  InFlight = Append{Next, WriteResult::Unknown, false, std::nullopt};
  emit(AppendBatch{HeadRowVersion, std::move(Next)});
}

void ShardOwner::onAppended(WriteResult Result, TimePoint Now) {
  if (!InFlight)
    return;
  if (Result == WriteResult::Committed)
    return onCommitted(Now);
  InFlight->LastResult = Result;
  emit(ReadBatch{InFlight->Value.Sequence});
}

void ShardOwner::onBatchRead(bool IsAnswered, const std::optional<Batch> &Found,
                             TimePoint Now) {
  if (!InFlight)
    return;
  if (!IsAnswered) {
    InFlight->IsReadDue = true;
    InFlight->NextTry = Now + StoreRetryDelay;
    return;
  }
  if (Found && Found->Id == InFlight->Value.Id)
    return onCommitted(Now);
  // If the row holds another node's batch, or is absent after a conflict, the
  // head row has changed: another node owns the shard.
  if (Found || InFlight->LastResult == WriteResult::Conflict)
    return loseOwnership();
  InFlight->IsReadDue = false;
  InFlight->NextTry = Now + StoreRetryDelay;
}

void ShardOwner::onCommitted(TimePoint Now) {
  Batch Done = std::move(InFlight->Value);
  InFlight.reset();
  NextSequence = Done.Sequence + 1;
  for (const Record &R : Done.Records) {
    if (const auto *End = std::get_if<Conclusion>(&R)) {
      onRefusalCommitted(*End);
      continue;
    }
    const auto *Start = std::get_if<Intent>(&R);
    auto It = Keys.find(Start->Key);
    if (It == Keys.end() || It->second.LastIntent.Attempt != Start->Attempt)
      continue;
    KeyState &State = It->second;
    if (State.Phase == KeyPhase::Appending) {
      State.Phase = KeyPhase::Running;
      emit(StartAttempt{*Start});
    } else if (State.Phase == KeyPhase::Abandoned) {
      conclude(Start->Key, State, AttemptResult::NeverStarted, KeyedAnswer());
      Keys.erase(It);
    }
  }
  appendNextBatch(Now);
}

void ShardOwner::onRefusalCommitted(const Conclusion &End) {
  auto It = Keys.find(End.Key);
  if (End.Result != AttemptResult::NeverStarted || It == Keys.end() ||
      It->second.LastIntent.Attempt != End.Attempt ||
      It->second.Phase != KeyPhase::Refusing)
    return;
  replyAll(It->second.Waiters, NotRun{It->second.Reason});
  Keys.erase(It);
}

bool ShardOwner::dropFromOutbox(AttemptId Attempt) {
  return std::erase_if(Outbox, [&](const Record &R) {
           const auto *Start = std::get_if<Intent>(&R);
           return Start && Start->Attempt == Attempt;
         }) > 0;
}

void ShardOwner::expireAppends(TimePoint Now) {
  while (!Deadlines.empty() && Deadlines.front().At <= Now) {
    Deadline Due = Deadlines.front();
    Deadlines.pop_front();
    auto It = Keys.find(Due.Key);
    if (It == Keys.end() || It->second.LastIntent.Attempt != Due.Attempt)
      continue;
    KeyPhase Phase = It->second.Phase;
    if (Phase != KeyPhase::Appending && Phase != KeyPhase::Refusing)
      continue;
    // This node never starts the attempt, but it may have lost the shard to a
    // node that ran the key for another caller.
    replyAll(It->second.Waiters, OutcomeUnknown{JournalDown, true});
    if (Phase == KeyPhase::Refusing)
      continue;
    if (dropFromOutbox(Due.Attempt))
      Keys.erase(It);
    else
      It->second.Phase = KeyPhase::Abandoned;
  }
}

void ShardOwner::onTimer(TimePoint Now) {
  expireAppends(Now);
  if (InFlight && InFlight->NextTry && *InFlight->NextTry <= Now) {
    InFlight->NextTry.reset();
    if (InFlight->IsReadDue)
      emit(ReadBatch{InFlight->Value.Sequence});
    else
      emit(AppendBatch{HeadRowVersion, InFlight->Value});
  }
  appendNextBatch(Now);
}

std::optional<TimePoint> ShardOwner::nextTimer() const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint At) { Next = Next ? std::min(*Next, At) : At; };
  if (InFlight && InFlight->NextTry)
    Consider(*InFlight->NextTry);
  if (CurrentPhase == Phase::Serving && !InFlight && !Outbox.empty())
    Consider(NextCommit);
  if (!Deadlines.empty())
    Consider(Deadlines.front().At);
  return Next;
}

} // namespace ragwort::journal
