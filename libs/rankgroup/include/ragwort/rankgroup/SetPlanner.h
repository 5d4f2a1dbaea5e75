//===- SetPlanner.h - Places the experts of one set of layers -------------===//
//
// Greedy local search that starts from the placement in use. Each step copies
// or moves a hot expert to a rank that has room or that can drop a redundant
// copy of another expert, or exchanges two experts. Slow ranks get less load. A
// plan adds at most a few experts to a rank, since their weights have to be
// copied while the group serves requests.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_SETPLANNER_H
#define RAGWORT_RANKGROUP_SETPLANNER_H

#include "ragwort/rankgroup/EngineTypes.h"
#include <span>

namespace ragwort::rankgroup {

/// The experts on each rank of one set of layers.
using SetMap = std::vector<std::vector<ExpertId>>;

/// The load on one set of layers, and the speed of the ranks that bear it.
struct SetDemand {
  /// Load by expert, in any unit.
  std::span<const double> Popularity;
  /// By rank: factor by which the same work takes longer than at usual speed.
  /// Ranks beyond the end have factor 1.
  std::span<const double> Slowdown;
};

struct SetLimits {
  /// Experts that a rank has room for.
  uint32_t MaxExpertsPerRank = 0;
  /// Experts that one plan may add to a rank.
  uint32_t MaxNewPerRank = 0;
  /// Fraction of the mean load by which a copied expert must reduce the load of
  /// the slowest rank.
  double MinGainPerCopy = 0;
};

struct SetPlan {
  SetMap Target;
  /// See skewOf().
  double SkewBefore = 1;
  double SkewAfter = 1;
  /// Number of copied experts, over all ranks.
  uint32_t Copies = 0;
};

/// Ratio of the slowest rank's time to the time of the mean load at usual
/// speed; 1 is a perfect balance of ranks with usual speed. An expert's load is
/// shared evenly by the ranks that hold it.
double skewOf(const SetMap &Map, const SetDemand &Demand);

/// Plans a better placement for one set of layers.
///
/// \code
///   SetPlan P = planSet(InUse, {Popularity, Slowdown}, {11, 4, 0.01});
/// \endcode
SetPlan planSet(const SetMap &InUse, const SetDemand &Demand, SetLimits Limits);

/// Places each expert on the rank of its id modulo \p Ranks. This is the
/// initial map of the engines (version 0).
SetMap roundRobinMap(uint32_t Experts, uint32_t Ranks);

} // namespace ragwort::rankgroup

#endif
