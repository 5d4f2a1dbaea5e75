//===- Popularity.cpp - Current demand for each expert --------------------===//
#include "ragwort/rankgroup/Popularity.h"
#include <cmath>
#include <numeric>

namespace ragwort::rankgroup {

Popularity::Popularity(uint32_t Sets, uint32_t Experts)
    : Weights(Sets, std::vector<double>(Experts, 0)) {}

void Popularity::decay(TimePoint Now) {
  if (LastUpdate != TimePoint()) {
    double HalfLives = std::chrono::duration<double>(Now - LastUpdate).count() /
                       std::chrono::duration<double>(HalfLife).count();
    double Factor = std::exp2(-HalfLives);
    for (auto &Set : Weights)
      for (double &Weight : Set)
        Weight *= Factor;
  }
  LastUpdate = Now;
}

void Popularity::add(const std::vector<std::vector<uint64_t>> &Selections,
                     TimePoint Now) {
  decay(Now);
  for (size_t Set = 0; Set < Weights.size() && Set < Selections.size(); ++Set)
    for (size_t E = 0; E < Weights[Set].size() && E < Selections[Set].size();
         ++E)
      Weights[Set][E] += static_cast<double>(Selections[Set][E]);
}

double Popularity::totalWeight() const {
  if (Weights.empty())
    return 0;
  return std::accumulate(Weights[0].begin(), Weights[0].end(), 0.0);
}

} // namespace ragwort::rankgroup
