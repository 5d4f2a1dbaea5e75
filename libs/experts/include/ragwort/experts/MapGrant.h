//===- MapGrant.h - Which expert map a group uses in which steps ----------===//
//
// A grant permits one version of the expert map for a range of steps. Grants
// form a chain without gaps. A grant may be used once every rank has accepted
// it, so whoever asks all ranks finds every grant that was ever used.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_MAPGRANT_H
#define RAGWORT_EXPERTS_MAPGRANT_H

#include "ragwort/base/Ids.h"
#include <cstdint>
#include <vector>

namespace ragwort::experts {

/// Permission to use a map version for steps From to Through, both included.
struct Grant {
  /// Position in the chain, from 1.
  uint64_t Index = 0;
  uint64_t Version = 0;
  uint64_t From = 0;
  uint64_t Through = 0;
  /// Epoch of the controller that proposed it last.
  Epoch By;
};

/// What an engine tells about itself.
struct EngineState {
  /// Steps that it has completed.
  uint64_t Step = 0;
  /// Highest fencing number it has seen; zero when it does not check.
  Epoch Fencing;
  /// Grants whose orders it holds, in chain order.
  std::vector<Grant> Orders;
};

/// Asks a rank to obey no controller below `By` any more.
struct PromiseRequest {
  Epoch By;
};

/// A rank's promise, with all it knows of the chain.
struct PromiseReply {
  Incarnation Rank;
  /// The epoch that the rank now obeys; higher than asked for when refused.
  Epoch Promised;
  bool IsPromised = false;
  uint64_t Step = 0;
  std::vector<Grant> Chain;
};

/// Asks a rank to accept the newest grant of a chain. The earlier ones are
/// sent along for ranks that restarted.
struct AcceptRequest {
  Epoch By;
  Incarnation To;
  std::vector<Grant> Chain;
};

/// A rank has accepted the chain up to `Index`.
struct AcceptReply {
  Incarnation Rank;
  Epoch By;
  bool IsAccepted = false;
  uint64_t Index = 0;
  uint64_t Step = 0;
};

/// A rank's engine holds the orders of all committed grants up to `Index`.
struct CommitReply {
  Incarnation Rank;
  Epoch By;
  uint64_t Index = 0;
};

/// Tells a rank that every rank accepted the chain up to `Index`.
struct CommitNotice {
  Epoch By;
  Incarnation To;
  uint64_t Index = 0;
};

} // namespace ragwort::experts

#endif
