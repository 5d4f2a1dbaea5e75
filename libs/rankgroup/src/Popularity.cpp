//===- Popularity.cpp - Current demand for each expert --------------------===//
#include "ragwort/rankgroup/Popularity.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace ragwort::rankgroup {

namespace {

// Weight of the newest distance in the moving average.
constexpr double DistanceSmoothing = 0.1;

double sumOf(std::span<const double> Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

} // namespace

Popularity::Popularity(uint32_t Sets, uint32_t Experts)
    : Weights(Sets, std::vector<double>(Experts, 0)), Batch(Weights) {}

void Popularity::decay(TimePoint Now) {
  if (LastUpdate != TimePoint()) {
    double Seconds = std::chrono::duration<double>(Now - LastUpdate).count();
    double HalfLives =
        Seconds / std::chrono::duration<double>(HalfLife).count();
    double Factor = std::exp2(-HalfLives);
    for (Counts *Each : {&Weights, &Batch})
      for (auto &Set : *Each)
        for (double &Weight : Set)
          Weight *= Factor;
    AgeSum = (AgeSum + AgeWeight * Seconds) * Factor;
    AgeWeight *= Factor;
  }
  LastUpdate = Now;
}

void Popularity::add(const std::vector<std::vector<uint64_t>> &Selections,
                     TimePoint Now) {
  decay(Now);
  for (size_t Set = 0; Set < Weights.size() && Set < Selections.size(); ++Set)
    for (size_t E = 0; E < Weights[Set].size() && E < Selections[Set].size();
         ++E) {
      auto Count = static_cast<double>(Selections[Set][E]);
      Weights[Set][E] += Count;
      Batch[Set][E] += Count;
    }
  if (Selections.empty())
    return;
  uint64_t OfFirstSet =
      std::accumulate(Selections[0].begin(), Selections[0].end(), uint64_t{0});
  AgeWeight += static_cast<double>(OfFirstSet);
  ReportsInBatch += OfFirstSet > 0;
  if (ReportsInBatch >= BatchReports)
    finishBatch();
}

void Popularity::finishBatch() {
  double Distance = distanceOfBatch();
  bool HasShifted =
      UsualDistance > 0 &&
      Distance > std::max(MinShiftDistance, ShiftFactor * UsualDistance);
  if (HasShifted && ShiftingBatches == 0)
    ShiftSeenAt = LastUpdate;
  ShiftingBatches = HasShifted ? ShiftingBatches + 1 : 0;
  if (ShiftingBatches > MaxShiftingBatches)
    ShiftingBatches = 0;
  if (ShiftingBatches > 0) {
    Weights = Batch;
    AgeWeight = sumOf(Weights[0]);
    AgeSum = 0;
  } else if (UsualDistance == 0) {
    UsualDistance = Distance;
  } else {
    UsualDistance += DistanceSmoothing * (Distance - UsualDistance);
  }
  for (auto &Set : Batch)
    std::fill(Set.begin(), Set.end(), 0.0);
  ReportsInBatch = 0;
}

/// \returns the fraction of selections that went to other experts than before,
/// as a mean over the sets; zero if there are no earlier counts.
double Popularity::distanceOfBatch() const {
  double Sum = 0;
  size_t Compared = 0;
  for (size_t Set = 0; Set < Weights.size(); ++Set) {
    double OfBatch = sumOf(Batch[Set]);
    double Before = sumOf(Weights[Set]) - OfBatch;
    if (OfBatch <= 0 || Before <= 0)
      continue;
    for (size_t E = 0; E < Weights[Set].size(); ++E)
      Sum += std::abs(Batch[Set][E] / OfBatch -
                      (Weights[Set][E] - Batch[Set][E]) / Before) /
             2;
    ++Compared;
  }
  return Compared > 0 ? Sum / static_cast<double>(Compared) : 0;
}

double Popularity::totalWeight() const {
  return Weights.empty() ? 0 : sumOf(Weights[0]);
}

Duration Popularity::meanAge(TimePoint Now) const {
  if (AgeWeight <= 0)
    return Duration(0);
  std::chrono::duration<double> Age(AgeSum / AgeWeight);
  return std::chrono::duration_cast<Duration>(Age + (Now - LastUpdate));
}

} // namespace ragwort::rankgroup
