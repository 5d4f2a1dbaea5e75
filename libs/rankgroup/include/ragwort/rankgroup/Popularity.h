//===- Popularity.h - Current demand for each expert ----------------------===//
//
// Sums the ranks' counts with an exponential decay, so that recent demand
// dominates.
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
///   planSet(InUse, {Demand.weightsOf(0), Slowdown}, Limits);
/// \endcode
class Popularity {
public:
  /// Time in which the weight of a count halves.
  static constexpr Duration HalfLife = std::chrono::milliseconds(200);

  Popularity(uint32_t Sets, uint32_t Experts);

  /// Adds the selections since the last call, by set and expert.
  void add(const std::vector<std::vector<uint64_t>> &Selections, TimePoint Now);
  /// Weights of the experts of one set.
  std::span<const double> weightsOf(uint32_t Set) const { return Weights[Set]; }
  /// Sum of the weights of the first set: how much demand was counted recently.
  double totalWeight() const;

private:
  void decay(TimePoint Now);

  std::vector<std::vector<double>> Weights;
  TimePoint LastUpdate{};
};

} // namespace ragwort::rankgroup

#endif
