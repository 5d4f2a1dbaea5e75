//===- RankGuard.cpp - Restricts a rank to committed expert maps ----------===//
#include "ragwort/experts/RankGuard.h"
#include <algorithm>
#include <cstdlib>

namespace ragwort::experts {

RankGuard::RankGuard(Incarnation Self, const EngineState &Engine)
    : Self(Self), Promised(Engine.Fencing), Step(Engine.Step),
      Chain(Engine.Orders) {
  // An engine only receives orders for grants that all ranks have accepted.
  if (!Chain.empty())
    CommittedIndex = Chain.back().Index;
}

void RankGuard::onStep(uint64_t NewStep) {
  Step = std::max(Step, NewStep);
  dropCompletedGrants();
}

void RankGuard::dropCompletedGrants() {
  // Keep the grant in use: a rank whose agent restarted may still need it.
  while (Chain.size() > 2 && Chain[1].From <= Step &&
         Chain.front().Through < Step && Chain[1].Index <= CommittedIndex)
    Chain.erase(Chain.begin());
}

PromiseReply RankGuard::onPromise(const PromiseRequest &Request) {
  PromiseReply Reply;
  Reply.IsPromised = Request.By >= Promised;
  Promised = std::max(Promised, Request.By);
  Reply.Rank = Self;
  Reply.Promised = Promised;
  Reply.Step = Step;
  Reply.Chain = Chain;
  return Reply;
}

AcceptReply RankGuard::onAccept(const AcceptRequest &Request) {
  AcceptReply Reply;
  Reply.Rank = Self;
  Reply.By = Request.By;
  Reply.Step = Step;
  if (Request.To != Self || Request.By != Promised || Request.Chain.empty())
    return Reply;
  uint64_t First = Request.Chain.front().Index;
  uint64_t Newest = Request.Chain.back().Index;
  // A delayed duplicate of an earlier request must not shorten the chain.
  bool IsOutdated = !Chain.empty() && Newest < Chain.back().Index;
  bool HasGap = !Chain.empty() && First > Chain.back().Index + 1;
  if (IsOutdated || HasGap)
    return Reply;
  // Committed grants never change; later ones are replaced by the request's.
  std::erase_if(Chain, [&](const Grant &G) {
    return G.Index > CommittedIndex && G.Index >= First;
  });
  for (const Grant &G : Request.Chain)
    if (Chain.empty() || G.Index > Chain.back().Index)
      Chain.push_back(G);
  for (size_t I = 1; I < Chain.size(); ++I)
    if (Chain[I].Index != Chain[I - 1].Index + 1 ||
        Chain[I].From != Chain[I - 1].Through + 1)
      std::abort(); // A controller has proposed a chain with a gap.
  Reply.IsAccepted = true;
  Reply.Index = Newest;
  return Reply;
}

std::vector<Grant> RankGuard::onCommit(const CommitNotice &Notice) {
  std::vector<Grant> Committed;
  // A promise to a later epoch does not undo a commit. However, this rank's
  // chain is only known to be the committed one while the rank obeys the epoch
  // of the notice.
  if (Notice.To != Self || Notice.By != Promised)
    return Committed;
  for (const Grant &G : Chain)
    if (G.Index > CommittedIndex && G.Index <= Notice.Index)
      Committed.push_back(G);
  CommittedIndex = std::max(CommittedIndex, Notice.Index);
  return Committed;
}

} // namespace ragwort::experts
