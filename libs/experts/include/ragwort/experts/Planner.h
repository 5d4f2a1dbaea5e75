//===- Planner.h - Plans new placements of experts ------------------------===//
//
// The planner trades the skew of a placement, which determines the step time,
// against the number of experts to load. It runs a local search from the
// placement in force that changes one slot or swaps two at a time, as long as
// the reduction of the skew outweighs the cost of loading the experts.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_PLANNER_H
#define RAGWORT_EXPERTS_PLANNER_H

#include "ragwort/experts/Placement.h"

namespace ragwort::experts {

/// Weights of the two objectives of a plan. Only their ratio is significant.
struct PlanWeights {
  double Skew = 0.5;
  double Rebalancing = 0.5;
};

/// Limits of a plan.
struct PlanLimits {
  /// Largest number of experts that one plan may load, given the rate of the
  /// weight store.
  uint32_t MaxMoves = 64;
  /// Least reduction of the skew for each loaded expert, if both weights are
  /// equal.
  double SkewPerMove = 0.002;
};

/// A new placement, the number of experts to load for it, and the skew before
/// and after.
struct Plan {
  Placement Target;
  uint32_t Moves = 0;
  double SkewBefore = 1;
  double SkewAfter = 1;
};

/// Plans a placement with lower skew than the placement in force. Returns the
/// placement in force if there is no improvement.
///
/// \code
///   Plan P = planRebalancing(InForce, Popularity, {0.8, 0.2}, PlanLimits());
/// \endcode
Plan planRebalancing(const Placement &InForce,
                     std::span<const double> Popularity, PlanWeights Weights,
                     PlanLimits Limits);

/// Computes a placement without regard to the placement in force. Spare slots
/// are used for copies of the experts with the highest load per copy. Then
/// copies are assigned in descending order of load, each to the least loaded
/// rank.
Placement planFromScratch(std::span<const double> Popularity, uint32_t Ranks,
                          uint32_t Slots);

/// Swaps experts between the most and the least loaded rank only. This is a
/// baseline for the experiments.
Plan planGreedySwaps(const Placement &InForce,
                     std::span<const double> Popularity, uint32_t MaxSwaps);

} // namespace ragwort::experts

#endif
