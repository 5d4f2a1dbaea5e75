//===- Planner.h - Weighs step-time skew against moved experts ------------===//
//
// Starting from the placement in force, the planner changes one slot or swaps
// two at a time and keeps a change while the skew that it saves outweighs the
// weights that it loads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_PLANNER_H
#define RAGWORT_EXPERTS_PLANNER_H

#include "ragwort/experts/Placement.h"

namespace ragwort::experts {

/// Objective of a plan. Only the ratio of the weights counts.
struct PlanWeights {
  double Skew = 0.5;
  double Rebalancing = 0.5;
};

/// Bounds of one plan.
struct PlanLimits {
  /// Experts that may be loaded in one plan, from the weight store's rate.
  uint32_t MaxMoves = 64;
  /// Skew that one loaded expert must save when both weights are equal.
  double SkewPerMove = 0.002;
};

/// A new placement and what it costs.
struct Plan {
  Placement Target;
  uint32_t Moves = 0;
  double SkewBefore = 1;
  double SkewAfter = 1;
};

/// Improves the placement in force.
///
/// \code
///   Plan P = planRebalancing(InForce, Popularity, {0.8, 0.2}, PlanLimits());
/// \endcode
Plan planRebalancing(const Placement &InForce,
                     std::span<const double> Popularity, PlanWeights Weights,
                     PlanLimits Limits);

/// Computes a placement from scratch, without regard to moves: copies for the
/// hottest experts, then the heaviest copy first to the least loaded rank.
Placement planFromScratch(std::span<const double> Popularity, uint32_t Ranks,
                          uint32_t Slots);

/// Swaps between the most and the least loaded rank only; a baseline.
Plan planGreedySwaps(const Placement &InForce,
                     std::span<const double> Popularity, uint32_t MaxSwaps);

} // namespace ragwort::experts

#endif
