//===- MapGrant.h - Grants of expert maps and their messages --------------===//
//
// A grant permits one version of the expert map for a range of steps. The
// grants of a group form a chain without gaps. A grant may only be used after
// every rank has accepted it, so a controller that queries all ranks learns of
// every grant that may have been used.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_MAPGRANT_H
#define RAGWORT_EXPERTS_MAPGRANT_H

#include "ragwort/base/Ids.h"
#include <cstdint>
#include <vector>

namespace ragwort::experts {

/// Permission to use a map version from step From to step Through, inclusive.
struct Grant {
  /// Position in the chain, from 1.
  uint64_t Index = 0;
  uint64_t Version = 0;
  uint64_t From = 0;
  uint64_t Through = 0;
  /// Epoch of the controller that last proposed the grant.
  Epoch By;
};

/// State that an engine reports.
struct EngineState {
  /// Number of completed steps.
  uint64_t Step = 0;
  /// Highest fencing epoch that the engine has received; zero if the engine
  /// does not check fencing epochs.
  Epoch Fencing;
  /// Grants that the engine has orders for, in chain order.
  std::vector<Grant> Orders;
};

/// Asks a rank to reject every controller with an epoch lower than `By`.
struct PromiseRequest {
  Epoch By;
};

/// Reply to a PromiseRequest, with the part of the chain that the rank has.
struct PromiseReply {
  Incarnation Rank;
  /// Lowest epoch that the rank still obeys; higher than the requested one if
  /// the request was refused.
  Epoch Promised;
  bool IsPromised = false;
  uint64_t Step = 0;
  std::vector<Grant> Chain;
};

/// Asks a rank to accept the newest grant of a chain. The chain includes
/// earlier grants for ranks whose agent restarted.
struct AcceptRequest {
  Epoch By;
  Incarnation To;
  std::vector<Grant> Chain;
};

/// Reply to an AcceptRequest. If IsAccepted, the rank has accepted the chain up
/// to `Index`.
struct AcceptReply {
  Incarnation Rank;
  Epoch By;
  bool IsAccepted = false;
  uint64_t Index = 0;
  uint64_t Step = 0;
};

/// Reply to a CommitNotice: the rank's engine has the orders for all committed
/// grants up to `Index`.
struct CommitReply {
  Incarnation Rank;
  Epoch By;
  uint64_t Index = 0;
};

/// Notifies a rank that every rank has accepted the chain up to `Index`.
struct CommitNotice {
  Epoch By;
  Incarnation To;
  uint64_t Index = 0;
};

} // namespace ragwort::experts

#endif
