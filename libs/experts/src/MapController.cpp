//===- MapController.cpp - Grants expert maps to a rank group -------------===//
#include "ragwort/experts/MapController.h"
#include <algorithm>
#include <utility>

namespace ragwort::experts {

namespace {

// Grants that are sent along for restarted ranks. The steps of a group lie
// within the last two; one more covers a grant that is being completed.
constexpr size_t ChainLength = 3;

/// Whether \p A says more about the chain's end than \p B.
bool isNewer(const Grant &A, const Grant &B) {
  return std::pair(A.Index, A.By) > std::pair(B.Index, B.By);
}

// Bits of an epoch below its round, and of those the ones for the rank.
constexpr uint32_t RoundShift = 40;
constexpr uint32_t RankBits = 12;

} // namespace

Epoch controllerEpoch(uint64_t Round, uint32_t Rank, Incarnation Life) {
  constexpr uint64_t RankMask = (uint64_t(1) << RankBits) - 1;
  constexpr uint64_t LifeMask = (uint64_t(1) << (RoundShift - RankBits)) - 1;
  return Epoch{(Round << RoundShift) | ((Life.Value & LifeMask) << RankBits) |
               (Rank & RankMask)};
}

uint64_t nextRound(Epoch Seen) { return (Seen.Value >> RoundShift) + 1; }

MapController::MapController(uint32_t Ranks, Epoch Own, GrantHorizon Limits)
    : Ranks(Ranks), Limits(Limits), Own(Own), Highest(Own), States(Ranks),
      Promises(Ranks) {}

void MapController::start() {
  Current = Phase::Promising;
  for (uint32_t Rank = 0; Rank < Ranks; ++Rank)
    sendPromise(Rank);
}

std::vector<RankMessage> MapController::takeMessages() {
  return std::exchange(Out, std::vector<RankMessage>());
}

uint64_t MapController::grantedThrough() const {
  return Chain.empty() ? 0 : Chain.back().Through;
}

uint64_t MapController::versionInForce() const {
  return Chain.empty() ? 0 : Chain.back().Version;
}

void MapController::sendPromise(uint32_t Rank) {
  Out.push_back({Rank, PromiseRequest{Own}});
}

void MapController::sendAccept(uint32_t Rank) {
  Out.push_back({Rank, AcceptRequest{Own, *States[Rank].Known, Chain}});
}

void MapController::sendCommit(uint32_t Rank) {
  Out.push_back(
      {Rank, CommitNotice{Own, *States[Rank].Known, Chain.back().Index}});
}

void MapController::onPromiseReply(uint32_t Rank, const PromiseReply &Reply) {
  Highest = std::max(Highest, Reply.Promised);
  if (Current == Phase::Fenced || Reply.Promised < Own)
    return;
  if (!Reply.IsPromised || Reply.Promised > Own) {
    Current = Phase::Fenced;
    return;
  }
  RankState &State = States[Rank];
  bool IsOther = State.Known && *State.Known != Reply.Rank;
  if (IsOther && Current != Phase::Promising) {
    // The rank's agent was replaced and forgot what it had accepted. This
    // controller ends, and a successor with an epoch of its own asks all ranks
    // again, so that nothing acknowledged before is counted.
    Current = Phase::Fenced;
    return;
  }
  State.Known = Reply.Rank;
  State.IsPromised = true;
  Promises[Rank] = Reply;
  bool HasAll = std::all_of(States.begin(), States.end(),
                            [](const RankState &S) { return S.IsPromised; });
  if (Current == Phase::Promising && HasAll)
    onAllPromised();
}

void MapController::onAllPromised() {
  // Merge what the ranks know: for each index the grant of the highest epoch.
  std::vector<Grant> Known;
  for (const PromiseReply &Reply : Promises) {
    Step = std::max(Step, Reply.Step);
    for (const Grant &G : Reply.Chain) {
      auto Place =
          std::find_if(Known.begin(), Known.end(), [&](const Grant &Other) {
            return Other.Index == G.Index;
          });
      if (Place == Known.end())
        Known.push_back(G);
      else if (isNewer(G, *Place))
        *Place = G;
    }
  }
  std::sort(Known.begin(), Known.end(),
            [](const Grant &A, const Grant &B) { return A.Index < B.Index; });
  if (Known.empty()) {
    Grant First;
    First.Index = 1;
    First.Version = WantedVersion;
    First.From = Step + 1;
    First.Through = Step + Limits.GrantSteps;
    Chain.clear();
    return propose(First);
  }
  if (WantedVersion == 0)
    WantedVersion = Known.back().Version;
  // The newest grant may have been used by a rank whose agent is gone.
  Grant Newest = Known.back();
  Known.pop_back();
  Chain = std::move(Known);
  propose(Newest);
}

void MapController::propose(Grant Next) {
  Next.By = Own;
  Chain.push_back(Next);
  while (Chain.size() > ChainLength)
    Chain.erase(Chain.begin());
  Current = Phase::Proposing;
  for (uint32_t Rank = 0; Rank < Ranks; ++Rank)
    sendAccept(Rank);
}

void MapController::onAcceptReply(uint32_t Rank, const AcceptReply &Reply) {
  RankState &State = States[Rank];
  if (Current == Phase::Fenced || !State.Known)
    return;
  Step = std::max(Step, Reply.Step);
  if (*State.Known != Reply.Rank || Reply.By != Own || !Reply.IsAccepted)
    return;
  State.AcceptedIndex = std::max(State.AcceptedIndex, Reply.Index);
  if (Current != Phase::Proposing)
    return;
  uint64_t Newest = Chain.back().Index;
  bool HasAll =
      std::all_of(States.begin(), States.end(), [&](const RankState &S) {
        return S.AcceptedIndex >= Newest;
      });
  if (!HasAll)
    return;
  Current = Phase::Steady;
  for (uint32_t Other = 0; Other < Ranks; ++Other)
    sendCommit(Other);
  refill();
}

void MapController::onCommitReply(uint32_t Rank, const CommitReply &Reply) {
  RankState &State = States[Rank];
  if (State.Known && *State.Known == Reply.Rank && Reply.By == Own)
    State.CommittedIndex = std::max(State.CommittedIndex, Reply.Index);
}

void MapController::onStep(uint64_t NewStep) {
  Step = std::max(Step, NewStep);
  refill();
}

void MapController::refill() {
  if (Current != Phase::Steady)
    return;
  const Grant &Last = Chain.back();
  bool IsShort = Last.Through < Step + Limits.RefillThreshold;
  bool IsNewVersion = WantedVersion != Last.Version;
  if (!IsShort && !IsNewVersion)
    return;
  Grant Next;
  Next.Index = Last.Index + 1;
  Next.Version = WantedVersion;
  Next.From = Last.Through + 1;
  Next.Through = Last.Through + Limits.GrantSteps;
  propose(Next);
}

void MapController::resend() {
  switch (Current) {
  case Phase::Fenced:
    return;
  case Phase::Promising:
    for (uint32_t Rank = 0; Rank < Ranks; ++Rank)
      if (!States[Rank].IsPromised)
        sendPromise(Rank);
    return;
  case Phase::Proposing:
    for (uint32_t Rank = 0; Rank < Ranks; ++Rank) {
      if (States[Rank].AcceptedIndex >= Chain.back().Index)
        continue;
      sendAccept(Rank);
      // A replaced agent ignores the accept; its promise reply shows it.
      sendPromise(Rank);
    }
    return;
  case Phase::Steady:
    // A steady group needs no messages: the next grant finds replaced agents.
    // A rank that has not confirmed would stall it before that.
    for (uint32_t Rank = 0; Rank < Ranks; ++Rank) {
      if (States[Rank].CommittedIndex >= Chain.back().Index)
        continue;
      sendCommit(Rank);
      sendPromise(Rank);
    }
    return;
  }
}

} // namespace ragwort::experts
