//===- RankGuard.h - Lets a rank step only with a granted map -------------===//
//
// The agent's half of the agreement on expert maps. It decides which orders
// the engine of its rank gets. An engine without an order for its next step
// waits: the group stalls rather than diverges.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_RANKGUARD_H
#define RAGWORT_EXPERTS_RANKGUARD_H

#include "ragwort/experts/MapGrant.h"
#include <optional>

namespace ragwort::experts {

/// \code
///   RankGuard Guard(Self, Engine.state());
///   PromiseReply P = Guard.onPromise(Request);
///   AcceptReply A = Guard.onAccept(Accept);
///   for (const Grant &G : Guard.onCommit(Notice)) Engine.order(G);
/// \endcode
class RankGuard {
public:
  /// A new incarnation knows only what its engine holds: it was asked before
  /// anything is promised.
  RankGuard(Incarnation Self, const EngineState &Engine);

  /// Notes how far the engine has come.
  void onStep(uint64_t Step);

  PromiseReply onPromise(const PromiseRequest &Request);
  AcceptReply onAccept(const AcceptRequest &Request);
  /// \returns the grants that the engine may now use and has not got yet.
  std::vector<Grant> onCommit(const CommitNotice &Notice);

  /// Whether \p Notice was for this incarnation and is carried out.
  bool hasCommitted(const CommitNotice &Notice) const {
    return Notice.To == Self && Notice.By == Promised &&
           CommittedIndex >= Notice.Index;
  }

  Epoch promisedEpoch() const { return Promised; }
  const std::vector<Grant> &chain() const { return Chain; }

private:
  void dropCompletedGrants();

  const Incarnation Self;
  // Invariant: never decreases within an incarnation.
  Epoch Promised;
  uint64_t Step = 0;
  // Invariant: consecutive indices, each grant's From follows the Through of
  // the one before it.
  std::vector<Grant> Chain;
  // Invariant: every grant up to here was accepted by all ranks.
  uint64_t CommittedIndex = 0;
};

} // namespace ragwort::experts

#endif
