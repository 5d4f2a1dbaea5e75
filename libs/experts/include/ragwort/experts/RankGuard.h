//===- RankGuard.h - Restricts a rank to committed expert maps ------------===//
//
// The agent's side of the protocol by which the ranks of a group agree on
// expert maps. It decides which grants the engine of its rank receives as
// orders. An engine without an order for its next step waits, so that in case
// of doubt the group stalls instead of using different maps.
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
  /// \p Engine is the state of the rank's engine. A restarted agent has no
  /// other record of grants, so it must query the engine before it promises
  /// anything.
  RankGuard(Incarnation Self, const EngineState &Engine);

  /// Records the number of steps that the engine has completed.
  void onStep(uint64_t Step);

  PromiseReply onPromise(const PromiseRequest &Request);
  AcceptReply onAccept(const AcceptRequest &Request);
  /// \returns the newly committed grants, which the engine may use from now on.
  std::vector<Grant> onCommit(const CommitNotice &Notice);

  /// Whether \p Notice was addressed to this incarnation and has been applied.
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
  // Invariant: indices are consecutive, and each grant's From directly follows
  // the Through of the previous grant.
  std::vector<Grant> Chain;
  // Invariant: every grant up to this index was accepted by all ranks.
  uint64_t CommittedIndex = 0;
};

} // namespace ragwort::experts

#endif
