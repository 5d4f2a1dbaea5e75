//===- SetPlanner.h - Places the experts of one set of layers -------------===//
//
// Improves the placement in force step by step: copies or moves a hot expert to
// a rank with room, in place of a copy that is spare, or exchanges two experts.
// A slow rank is given less. Each rank takes at most a few new experts a plan,
// since their weights have to be copied while the group works.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_SETPLANNER_H
#define RAGWORT_RANKGROUP_SETPLANNER_H

#include "ragwort/rankgroup/EngineTypes.h"
#include <span>

namespace ragwort::rankgroup {

/// The experts on each rank of one set of layers.
using SetMap = std::vector<std::vector<ExpertId>>;

/// What the ranks have to bear in one set of layers.
struct SetDemand {
  /// By expert, in any unit.
  std::span<const double> Popularity;
  /// By rank: how much longer than usual it takes for the same work. Ranks
  /// beyond the end work at the usual speed.
  std::span<const double> Slowdown;
};

struct SetLimits {
  /// Experts that a rank has room for.
  uint32_t MaxExpertsPerRank = 0;
  /// Experts that may be new to a rank in one plan.
  uint32_t MaxNewPerRank = 0;
  /// Part of the mean load that a copied expert must take off the slowest
  /// rank.
  double MinGainPerCopy = 0;
};

struct SetPlan {
  SetMap Target;
  /// See skewOf().
  double SkewBefore = 1;
  double SkewAfter = 1;
  /// Copied experts, over all ranks.
  uint32_t Copies = 0;
};

/// Time of the slowest rank over that of the mean load at the usual speed. An
/// expert's load is shared evenly by the ranks that hold it.
double skewOf(const SetMap &Map, const SetDemand &Demand);

/// \code
///   SetPlan P = planSet(InForce, {Popularity, Slowdown}, {11, 4, 0.01});
/// \endcode
SetPlan planSet(const SetMap &InForce, const SetDemand &Demand,
                SetLimits Limits);

/// Each expert on the rank of its number modulo the ranks: the engines' own.
SetMap roundRobinMap(uint32_t Experts, uint32_t Ranks);

} // namespace ragwort::rankgroup

#endif
