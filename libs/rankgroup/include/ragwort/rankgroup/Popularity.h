//===- Popularity.h - Current demand for each expert ----------------------===//
//
// Sums the ranks' counts with an exponential decay, so that recent demand
// dominates. When demand shifts, the sum is a mixture of the old and the new
// demand for several half-lives, and a map that is planned for the mixture fits
// neither. So the sum starts anew when the latest counts differ from it by more
// than the counts of few ranks usually do.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_POPULARITY_H
#define RAGWORT_RANKGROUP_POPULARITY_H

#include "ragwort/base/Time.h"
#include "ragwort/rankgroup/EngineTypes.h"
#include <span>

namespace ragwort::rankgroup {

/// Decaying counts of how often each expert is selected.
///
/// \code
///   Demand.add(Selections, Now);
///   if (Demand.isSettled(Now))
///     planSet(InUse, {Demand.weightsOf(0), Slowdown}, Limits);
/// \endcode
class Popularity {
public:
  /// Time in which the weight of a count halves.
  static constexpr Duration HalfLife = std::chrono::milliseconds(200);
  /// Reports that are compared with the earlier ones at a time. Fewer show less
  /// of the demand, more are older on average.
  static constexpr uint32_t BatchReports = 6;
  /// Demand has shifted if the distance of a batch from the earlier counts is
  /// this multiple of the usual one.
  static constexpr double ShiftFactor = 1.8;
  /// Distance that is never a shift: maps hardly differ for such demands.
  static constexpr double MinShiftDistance = 0.03;
  /// Demand that shifts in this many batches in a row is unsteady rather than
  /// in transition, and counts as settled.
  static constexpr uint32_t MaxShiftingBatches = 6;
  /// Demand counts as settled this long after a shift was seen, whatever has
  /// been counted since: slow passes make few counts, and a map that is partly
  /// right is better for them than the old one.
  static constexpr Duration MaxSettling = std::chrono::milliseconds(600);

  Popularity(uint32_t Sets, uint32_t Experts);

  /// Adds the selections since the last call, by set and expert. A report in
  /// several parts has zeros in the sets of the other parts.
  void add(const std::vector<std::vector<uint64_t>> &Selections, TimePoint Now);
  /// Weights of the experts of one set.
  std::span<const double> weightsOf(uint32_t Set) const { return Weights[Set]; }
  /// Sum of the weights of the first set: how much demand was counted recently.
  double totalWeight() const;
  /// False while demand shifts: the weights may then be a mixture of the
  /// demand before and after the shift.
  bool isSettled(TimePoint Now) const {
    return ShiftingBatches == 0 || Now - ShiftSeenAt >= MaxSettling;
  }
  /// Mean age of the counts at \p Now, by weight; zero if there are none.
  Duration meanAge(TimePoint Now) const;

private:
  using Counts = std::vector<std::vector<double>>;

  void decay(TimePoint Now);
  void finishBatch();
  double distanceOfBatch() const;

  // Invariant: Weights includes Batch, the latest counts, which have not been
  // compared with the others yet.
  Counts Weights;
  Counts Batch;
  uint32_t ReportsInBatch = 0;
  // Smoothed distance of a batch from the earlier counts while demand is
  // steady; zero while unknown.
  double UsualDistance = 0;
  // Number of batches in a row, up to the latest one, at which demand shifted.
  uint32_t ShiftingBatches = 0;
  // When the first of them ended.
  TimePoint ShiftSeenAt{};
  // Weight of all counts of the first set, and the sum of their ages at
  // LastUpdate, in seconds and by weight.
  double AgeWeight = 0;
  double AgeSum = 0;
  TimePoint LastUpdate{};
};

} // namespace ragwort::rankgroup

#endif
