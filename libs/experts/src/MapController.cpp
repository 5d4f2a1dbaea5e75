//===- MapController.cpp - Grants expert maps to a rank group -------------===//
#include "ragwort/experts/MapController.h"
#include <algorithm>
#include <utility>

namespace ragwort::experts {

namespace {

// Number of grants that are sent in each chain, for ranks whose agent
// restarted. The current steps of a group lie within the last two; the third
// covers a grant that is still being completed.
constexpr size_t MaxChainLength = 3;

/// Whether \p A is newer than \p B, by index and then by the proposer's epoch.
bool isNewer(const Grant &A, const Grant &B) {
  return std::pair(A.Index, A.By) > std::pair(B.Index, B.By);
}

// An epoch consists of the round, 28 bits of the incarnation and 12 bits of the
// rank, from the highest bits to the lowest.
constexpr uint32_t RoundShift = 40;
constexpr uint32_t RankBits = 12;

} // namespace

Epoch controllerEpoch(uint64_t Round, uint32_t Rank, Incarnation Agent) {
  constexpr uint64_t RankMask = (uint64_t(1) << RankBits) - 1;
  constexpr uint64_t AgentMask = (uint64_t(1) << (RoundShift - RankBits)) - 1;
  return Epoch{(Round << RoundShift) | ((Agent.Value & AgentMask) << RankBits) |
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
  return std::exchange(Outbox, std::vector<RankMessage>());
}

uint64_t MapController::grantedThrough() const {
  return Chain.empty() ? 0 : Chain.back().Through;
}

uint64_t MapController::versionInForce() const {
  return Chain.empty() ? 0 : Chain.back().Version;
}

void MapController::sendPromise(uint32_t Rank) {
  Outbox.push_back({Rank, PromiseRequest{Own}});
}

void MapController::sendAccept(uint32_t Rank) {
  Outbox.push_back({Rank, AcceptRequest{Own, *States[Rank].Agent, Chain}});
}

void MapController::sendCommit(uint32_t Rank) {
  Outbox.push_back(
      {Rank, CommitNotice{Own, *States[Rank].Agent, Chain.back().Index}});
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
  bool IsReplaced = State.Agent && *State.Agent != Reply.Rank;
  if (IsReplaced && Current != Phase::Promising) {
    // The rank's agent was replaced and has lost what it had accepted. Stop, so
    // that a successor with a new epoch queries all ranks again and does not
    // count earlier acknowledgements.
    Current = Phase::Fenced;
    return;
  }
  State.Agent = Reply.Rank;
  State.IsPromised = true;
  Promises[Rank] = Reply;
  bool HasAll = std::all_of(States.begin(), States.end(),
                            [](const RankState &S) { return S.IsPromised; });
  if (Current == Phase::Promising && HasAll)
    onAllPromised();
}

void MapController::onAllPromised() {
  // Merge the chains of the ranks: for each index, keep the grant of the
  // highest epoch.
  std::vector<Grant> Merged;
  for (const PromiseReply &Reply : Promises) {
    Step = std::max(Step, Reply.Step);
    for (const Grant &G : Reply.Chain) {
      auto It =
          std::find_if(Merged.begin(), Merged.end(), [&](const Grant &Other) {
            return Other.Index == G.Index;
          });
      if (It == Merged.end())
        Merged.push_back(G);
      else if (isNewer(G, *It))
        *It = G;
    }
  }
  std::sort(Merged.begin(), Merged.end(),
            [](const Grant &A, const Grant &B) { return A.Index < B.Index; });
  if (Merged.empty()) {
    Grant First;
    First.Index = 1;
    First.Version = TargetVersion;
    First.From = Step + 1;
    First.Through = Step + Limits.GrantSteps;
    Chain.clear();
    return propose(First);
  }
  if (TargetVersion == 0)
    TargetVersion = Merged.back().Version;
  // Propose the newest grant again: a rank whose agent has since failed may
  // have used it.
  Grant Newest = Merged.back();
  Merged.pop_back();
  Chain = std::move(Merged);
  propose(Newest);
}

void MapController::propose(Grant Next) {
  Next.By = Own;
  Chain.push_back(Next);
  while (Chain.size() > MaxChainLength)
    Chain.erase(Chain.begin());
  Current = Phase::Proposing;
  for (uint32_t Rank = 0; Rank < Ranks; ++Rank)
    sendAccept(Rank);
}

void MapController::onAcceptReply(uint32_t Rank, const AcceptReply &Reply) {
  RankState &State = States[Rank];
  if (Current == Phase::Fenced || !State.Agent)
    return;
  Step = std::max(Step, Reply.Step);
  if (*State.Agent != Reply.Rank || Reply.By != Own || !Reply.IsAccepted)
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
  proposeIfNeeded();
}

void MapController::onCommitReply(uint32_t Rank, const CommitReply &Reply) {
  RankState &State = States[Rank];
  if (State.Agent && *State.Agent == Reply.Rank && Reply.By == Own)
    State.CommittedIndex = std::max(State.CommittedIndex, Reply.Index);
}

void MapController::onStep(uint64_t NewStep) {
  Step = std::max(Step, NewStep);
  proposeIfNeeded();
}

void MapController::proposeIfNeeded() {
  if (Current != Phase::Steady)
    return;
  const Grant &Last = Chain.back();
  bool IsShort = Last.Through < Step + Limits.RefillThreshold;
  bool IsNewVersion = TargetVersion != Last.Version;
  if (!IsShort && !IsNewVersion)
    return;
  Grant Next;
  Next.Index = Last.Index + 1;
  Next.Version = TargetVersion;
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
      // A replaced agent ignores the AcceptRequest. Its PromiseReply reveals
      // the replacement.
      sendPromise(Rank);
    }
    return;
  case Phase::Steady:
    // Replaced agents are detected when the next grant is proposed. Only a rank
    // that has not confirmed the commit needs messages: it would stall the
    // group before the next grant.
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
