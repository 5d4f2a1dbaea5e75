//===- Popularity.h - Which experts are in demand now ---------------------===//
//
// Sums the ranks' counts with a weight that fades, so that the newest demand
// decides.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_POPULARITY_H
#define RAGWORT_RANKGROUP_POPULARITY_H

#include "ragwort/base/Time.h"
#include "ragwort/rankgroup/EngineTypes.h"
#include <span>

namespace ragwort::rankgroup {

/// \code
///   Demand.add(Picked, Now);
///   planSet(InForce, Demand.weightsOf(0), Limits);
/// \endcode
class Popularity {
public:
  /// Time after which a count has half its weight.
  static constexpr Duration HalfLife = std::chrono::milliseconds(200);

  Popularity(uint32_t Sets, uint32_t Experts);

  /// Adds choices made since the last call, by set and expert.
  void add(const std::vector<std::vector<uint64_t>> &Selections, TimePoint Now);
  std::span<const double> weightsOf(uint32_t Set) const { return Weights[Set]; }
  /// Sum of the weights of one set: how much evidence there is.
  double totalWeight() const;

private:
  void fade(TimePoint Now);

  std::vector<std::vector<double>> Weights;
  TimePoint Last{};
};

} // namespace ragwort::rankgroup

#endif
