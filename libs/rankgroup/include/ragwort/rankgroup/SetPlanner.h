//===- SetPlanner.h - Places the experts of one set of layers -------------===//
//
// Improves the placement in force step by step: copies a hot expert to a rank
// with room, in place of a copy that is spare, or exchanges two experts. Each
// rank takes at most a few new experts a plan, since their weights have to be
// copied while the group works.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_SETPLANNER_H
#define RAGWORT_RANKGROUP_SETPLANNER_H

#include "ragwort/rankgroup/EngineTypes.h"
#include <span>

namespace ragwort::rankgroup {

/// The experts on each rank of one set of layers.
using SetMap = std::vector<std::vector<ExpertId>>;

struct SetLimits {
  /// Experts that a rank has room for.
  uint32_t Places = 0;
  /// Experts that may be new to a rank in one plan.
  uint32_t MaxNewPerRank = 0;
  /// Part of the mean load that a copied expert must take off the slowest
  /// rank.
  double MinGainPerCopy = 0;
};

struct SetPlan {
  SetMap Target;
  /// Load of the slowest rank over the mean.
  double SkewBefore = 1;
  double SkewAfter = 1;
  /// Copied experts, over all ranks.
  uint32_t Copies = 0;
};

/// Load of the slowest rank over the mean. An expert's load is shared evenly by
/// the ranks that hold it.
double skewOf(const SetMap &Map, std::span<const double> Popularity);

/// \code
///   SetPlan P = planSet(InForce, Popularity, {11, 4});
/// \endcode
SetPlan planSet(const SetMap &InForce, std::span<const double> Popularity,
                SetLimits Limits);

/// Each expert on the rank of its number modulo the ranks: the engines' own.
SetMap mapInTurn(uint32_t Experts, uint32_t Ranks);

} // namespace ragwort::rankgroup

#endif
