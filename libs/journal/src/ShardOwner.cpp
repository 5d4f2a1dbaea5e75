//===- ShardOwner.cpp - Runs each idempotency key at most once ------------===//
#include "ragwort/journal/ShardOwner.h"
#include <algorithm>
#include <utility>

namespace ragwort::journal {

namespace {

using namespace std::chrono_literals;

constexpr Duration StoreRetryDelay = 200ms;
constexpr const char *JournalDown = "the journal cannot be read or written";
constexpr size_t MaxWaiters = 64; // callers of one key at once
// Attempt numbers of different shards of one node must not meet.
constexpr unsigned ShardShift = 40;

} // namespace

ShardOwner::ShardOwner(OwnerIdentity Identity, OwnerLimits Limits)
    : Identity(std::move(Identity)), Limits(Limits) {}

std::vector<Action> ShardOwner::takeActions() {
  return std::exchange(Out, std::vector<Action>());
}

std::string_view ShardOwner::phaseName() const {
  switch (Current) {
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

void ShardOwner::reply(uint64_t Ticket, KeyedOutcome V) {
  emit(Reply{Ticket, std::move(V)});
}

void ShardOwner::replyAll(std::vector<Waiter> &Waiters, const KeyedOutcome &V) {
  for (const Waiter &W : Waiters)
    reply(W.Ticket, V);
  Waiters.clear();
}

//===----------------------------------------------------------------------===//
// Ownership
//===----------------------------------------------------------------------===//

void ShardOwner::onRequest(const KeyedRequest &Request, TimePoint Now) {
  if (Current == Phase::Serving)
    return admit(Request, Now);
  if (Current == Phase::Following && Request.TakeOverFrom != Claimed.OwnerEpoch)
    return reply(Request.Ticket, Redirected{Claimed});
  if (Pending.size() >= Limits.MaxPending)
    return reply(Request.Ticket,
                 OutcomeUnknown{"too many requests wait", true});
  Pending.push_back(Request);
  if (Current == Phase::Idle || Current == Phase::Following)
    readHead();
}

void ShardOwner::readHead() {
  Current = Phase::ReadingHead;
  emit(ReadHead());
}

void ShardOwner::onHead(const std::optional<Head> &Found, uint64_t RowVersion,
                        TimePoint) {
  if (Current != Phase::ReadingHead)
    return;
  if (!Found) {
    Current = Phase::Idle;
    return giveUpPending();
  }
  bool IsOurName = Found->Owner == Identity.Node;
  if (IsOurName && Found->OwnerIncarnation == Identity.Self)
    return beginLoad(*Found, RowVersion);
  // The head of our former self is free to take: that process has ended.
  bool IsFree = RowVersion == 0 || IsOurName;
  bool IsGivenUp = std::any_of(
      Pending.begin(), Pending.end(), [&](const KeyedRequest &Request) {
        return Request.TakeOverFrom == Found->OwnerEpoch;
      });
  if (IsFree || IsGivenUp)
    return beginClaim(RowVersion, *Found);
  follow(*Found);
}

void ShardOwner::beginClaim(uint64_t RowVersion, const Head &Previous) {
  Head Next;
  Next.OwnerEpoch = Epoch{Previous.OwnerEpoch.Value + 1};
  Next.Owner = Identity.Node;
  Next.OwnerIncarnation = Identity.Self;
  Next.OwnerAddress = Identity.NodeAddress;
  Current = Phase::Claiming;
  emit(ClaimHead{RowVersion, Next});
}

void ShardOwner::onClaimed() {
  // Whatever the write's answer was, the row itself is the truth.
  if (Current == Phase::Claiming)
    readHead();
}

void ShardOwner::beginLoad(const Head &Own, uint64_t RowVersion) {
  Claimed = Own;
  HeadRowVersion = RowVersion;
  NextSequence = 1;
  Keys.clear();
  Current = Phase::Loading;
  emit(ReadLog{0});
}

void ShardOwner::onLog(const std::optional<std::vector<Batch>> &Batches,
                       bool IsEnd, TimePoint Now) {
  if (Current != Phase::Loading)
    return;
  if (!Batches) {
    Current = Phase::Idle;
    return giveUpPending();
  }
  for (const Batch &B : *Batches) {
    for (const Record &R : B.Records)
      replayRecord(R);
    NextSequence = B.Sequence + 1;
  }
  if (!IsEnd)
    return emit(ReadLog{NextSequence - 1});
  Current = Phase::Serving;
  servePending(Now);
}

void ShardOwner::replayRecord(const Record &R) {
  if (const auto *Start = std::get_if<Intent>(&R)) {
    KeyState &State = Keys[Start->Key];
    State.Last = *Start;
    State.Phase = KeyPhase::Orphaned;
    return;
  }
  const auto &End = std::get<Conclusion>(R);
  auto Place = Keys.find(End.Key);
  if (Place == Keys.end() || Place->second.Last.Attempt != End.Attempt)
    return;
  switch (End.Result) {
  case AttemptResult::Completed:
    Place->second.Phase = KeyPhase::Completed;
    Place->second.Answer = End.Answer;
    return;
  case AttemptResult::Unknown:
    Place->second.Phase = KeyPhase::Lost;
    return;
  case AttemptResult::NeverStarted:
    Keys.erase(Place);
    return;
  }
}

void ShardOwner::follow(const Head &Owner) {
  Claimed = Owner;
  Current = Phase::Following;
  for (const KeyedRequest &Request : std::exchange(Pending, {}))
    reply(Request.Ticket, Redirected{Owner});
}

void ShardOwner::onNewerHead(const Head &Later) {
  bool IsOurs = Later.Owner == Identity.Node;
  if (Current == Phase::Following && !IsOurs &&
      Later.OwnerEpoch > Claimed.OwnerEpoch)
    Claimed = Later;
}

void ShardOwner::giveUpPending() {
  // Nothing is started for them, but whether their keys ran before is not
  // known without the log.
  for (const KeyedRequest &Request : std::exchange(Pending, {}))
    reply(Request.Ticket, OutcomeUnknown{JournalDown, true});
}

void ShardOwner::servePending(TimePoint Now) {
  for (const KeyedRequest &Request : std::exchange(Pending, {}))
    admit(Request, Now);
}

void ShardOwner::loseOwnership() {
  // Nothing of the outbox took effect, so its callers may go to the new owner.
  // Attempts that were started keep their callers; the new owner learns from
  // the agent how they end.
  for (auto &[Key, State] : Keys) {
    if (State.Phase == KeyPhase::Running) {
      Detached[State.Last.Attempt] = std::move(State.Waiters);
      continue;
    }
    for (const Waiter &W : State.Waiters)
      Pending.push_back({W.Ticket, Key, State.Last.Fingerprint, W.To, {}});
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
    State.Last.Fingerprint = Request.Fingerprint;
  if (State.Last.Fingerprint != Request.Fingerprint)
    return reply(Request.Ticket, NotRun{RefusalReason::KeyReused});
  if (State.Waiters.size() >= MaxWaiters)
    return reply(Request.Ticket,
                 OutcomeUnknown{"too many callers wait for this key"});
  Waiter Caller{Request.Ticket, Request.To};
  switch (State.Phase) {
  case KeyPhase::Free:
    State.Waiters.push_back(Caller);
    if (Request.To.Agent.empty())
      return refuse(Request.Key, State, RefusalReason::NoBackendServer, Now);
    return openIntent(Request.Key, State, Request.To, Now);
  case KeyPhase::Refusing:
  case KeyPhase::Appending:
  case KeyPhase::Running:
  case KeyPhase::Asking:
    State.Waiters.push_back(Caller);
    return;
  case KeyPhase::Abandoned:
    return reply(Request.Ticket, OutcomeUnknown{JournalDown, true});
  case KeyPhase::Orphaned:
    State.Waiters.push_back(Caller);
    State.Phase = KeyPhase::Asking;
    return emit(QueryAgent{State.Last});
  case KeyPhase::Completed:
    return reply(Request.Ticket, Answered{State.Answer, true});
  case KeyPhase::Lost:
    return reply(Request.Ticket,
                 OutcomeUnknown{"the agent that ran it was replaced"});
  }
}

void ShardOwner::openIntent(const KeyId &Key, KeyState &State, const Target &To,
                            TimePoint Now) {
  uint64_t Number = (uint64_t(Identity.Shard) << ShardShift) | NextAttempt++;
  State.Last.Key = Key;
  State.Last.Attempt = AttemptId{Identity.Self.Value, Number};
  State.Last.To = To;
  State.Phase = KeyPhase::Appending;
  Outbox.push_back(State.Last);
  Deadlines.push_back({Now + Limits.AppendTimeout, Key, State.Last.Attempt});
  pump(Now);
}

void ShardOwner::refuse(const KeyId &Key, KeyState &State, RefusalReason Why,
                        TimePoint Now) {
  State.Phase = KeyPhase::Refusing;
  State.Why = Why;
  Outbox.push_back(Conclusion{Key, State.Last.Attempt,
                              AttemptResult::NeverStarted, KeyedAnswer()});
  Deadlines.push_back({Now + Limits.AppendTimeout, Key, State.Last.Attempt});
  pump(Now);
}

void ShardOwner::conclude(const KeyId &Key, KeyState &State, AttemptResult How,
                          const KeyedAnswer &Answer) {
  Outbox.push_back(Conclusion{Key, State.Last.Attempt, How, Answer});
  switch (How) {
  case AttemptResult::Completed:
    State.Phase = KeyPhase::Completed;
    State.Answer = Answer;
    return;
  case AttemptResult::NeverStarted:
    State.Phase = KeyPhase::Free;
    return;
  case AttemptResult::Unknown:
    State.Phase = KeyPhase::Lost;
    return;
  }
}

void ShardOwner::onAttemptEnded(const KeyId &Key, AttemptId Attempt,
                                AttemptResult How, const KeyedAnswer &Answer,
                                RefusalReason Reason,
                                const std::optional<Target> &Next,
                                TimePoint Now) {
  KeyedOutcome Said = OutcomeUnknown{"the answer was lost"};
  if (How == AttemptResult::Completed)
    Said = Answered{Answer, false};
  else if (How == AttemptResult::NeverStarted)
    Said = NotRun{Reason};
  auto Left = Detached.find(Attempt);
  if (Left != Detached.end()) {
    // The shard's new owner may have run the key since.
    if (How == AttemptResult::NeverStarted)
      Said = OutcomeUnknown{"the shard has moved to another owner", true};
    replyAll(Left->second, Said);
    Detached.erase(Left);
  }
  auto Place = Keys.find(Key);
  if (Place == Keys.end() || Place->second.Last.Attempt != Attempt)
    return;
  KeyState &State = Place->second;
  bool IsOpen = State.Phase == KeyPhase::Running ||
                State.Phase == KeyPhase::Orphaned ||
                State.Phase == KeyPhase::Asking;
  if (!IsOpen)
    return;
  if (How == AttemptResult::Unknown) {
    // Not recorded: the agent may still tell, if somebody asks again.
    State.Phase = KeyPhase::Orphaned;
    return replyAll(State.Waiters, Said);
  }
  if (How == AttemptResult::NeverStarted && !Next)
    return refuse(Key, State, Reason, Now);
  conclude(Key, State, How, Answer);
  if (How == AttemptResult::NeverStarted)
    return openIntent(Key, State, *Next, Now);
  replyAll(State.Waiters, Said);
  pump(Now);
}

void ShardOwner::onAgentReport(const KeyId &Key, AttemptId Attempt,
                               AttemptStatus Said, const KeyedAnswer &Answer,
                               TimePoint Now) {
  auto Place = Keys.find(Key);
  if (Place == Keys.end() || Place->second.Last.Attempt != Attempt ||
      Place->second.Phase != KeyPhase::Asking)
    return;
  KeyState &State = Place->second;
  switch (Said) {
  case AttemptStatus::NeverStarted:
    if (State.Waiters.empty() || State.Waiters.front().To.Agent.empty())
      return refuse(Key, State, RefusalReason::NoBackendServer, Now);
    conclude(Key, State, AttemptResult::NeverStarted, Answer);
    return openIntent(Key, State, State.Waiters.front().To, Now);
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
             OutcomeUnknown{Said == AttemptStatus::Running
                                ? "it is running"
                                : "its agent cannot be reached"});
    break;
  }
  pump(Now);
}

//===----------------------------------------------------------------------===//
// The log
//===----------------------------------------------------------------------===//

void ShardOwner::pump(TimePoint Now) {
  if (Current != Phase::Serving || InFlight || Outbox.empty() ||
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
  InFlight->Last = Result;
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
  // Absent after a conflict: the head row has moved. Another's batch: too.
  if (Found || InFlight->Last == WriteResult::Conflict)
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
    auto Place = Keys.find(Start->Key);
    if (Place == Keys.end() || Place->second.Last.Attempt != Start->Attempt)
      continue;
    KeyState &State = Place->second;
    if (State.Phase == KeyPhase::Appending) {
      State.Phase = KeyPhase::Running;
      emit(StartAttempt{*Start});
    } else if (State.Phase == KeyPhase::Abandoned) {
      conclude(Start->Key, State, AttemptResult::NeverStarted, KeyedAnswer());
      Keys.erase(Place);
    }
  }
  pump(Now);
}

void ShardOwner::onRefusalCommitted(const Conclusion &End) {
  auto Place = Keys.find(End.Key);
  if (End.Result != AttemptResult::NeverStarted || Place == Keys.end() ||
      Place->second.Last.Attempt != End.Attempt ||
      Place->second.Phase != KeyPhase::Refusing)
    return;
  replyAll(Place->second.Waiters, NotRun{Place->second.Why});
  Keys.erase(Place);
}

bool ShardOwner::dropFromOutbox(AttemptId Attempt) {
  return std::erase_if(Outbox, [&](const Record &R) {
           const auto *Start = std::get_if<Intent>(&R);
           return Start && Start->Attempt == Attempt;
         }) > 0;
}

void ShardOwner::giveUpSlowAppends(TimePoint Now) {
  while (!Deadlines.empty() && Deadlines.front().At <= Now) {
    Deadline Due = Deadlines.front();
    Deadlines.pop_front();
    auto Place = Keys.find(Due.Key);
    if (Place == Keys.end() || Place->second.Last.Attempt != Due.Attempt)
      continue;
    KeyPhase Phase = Place->second.Phase;
    if (Phase != KeyPhase::Appending && Phase != KeyPhase::Refusing)
      continue;
    // This node never starts the attempt, but it may have lost the shard to
    // one that ran the key for another caller.
    replyAll(Place->second.Waiters, OutcomeUnknown{JournalDown, true});
    if (Phase == KeyPhase::Refusing)
      continue;
    if (dropFromOutbox(Due.Attempt))
      Keys.erase(Place);
    else
      Place->second.Phase = KeyPhase::Abandoned;
  }
}

void ShardOwner::onTimer(TimePoint Now) {
  giveUpSlowAppends(Now);
  if (InFlight && InFlight->NextTry && *InFlight->NextTry <= Now) {
    InFlight->NextTry.reset();
    if (InFlight->IsReadDue)
      emit(ReadBatch{InFlight->Value.Sequence});
    else
      emit(AppendBatch{HeadRowVersion, InFlight->Value});
  }
  pump(Now);
}

std::optional<TimePoint> ShardOwner::nextTimer() const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint At) { Next = Next ? std::min(*Next, At) : At; };
  if (InFlight && InFlight->NextTry)
    Consider(*InFlight->NextTry);
  if (Current == Phase::Serving && !InFlight && !Outbox.empty())
    Consider(NextCommit);
  if (!Deadlines.empty())
    Consider(Deadlines.front().At);
  return Next;
}

} // namespace ragwort::journal
