//===- PopularityTracker.cpp - Smoothed popularity of experts -------------===//
#include "ragwort/experts/PopularityTracker.h"
#include <cmath>
#include <numeric>

namespace ragwort::experts {

namespace {

// Weight of the newest period in the average.
constexpr double Smoothing = 0.5;
// Distance from the average above which it is restarted. The distance is half
// the sum of absolute differences of the shares, that is, the fraction of
// tokens that went to other experts than expected.
constexpr double ShiftThreshold = 0.03;

} // namespace

void PopularityTracker::onPeriod(std::span<const double> Counts) {
  double Sum = std::accumulate(Counts.begin(), Counts.end(), 0.0);
  if (Sum <= 0)
    return;
  std::vector<double> Shares(Counts.begin(), Counts.end());
  for (double &Share : Shares)
    Share /= Sum;
  double Distance = 0;
  for (size_t E = 0; E < Average.size(); ++E)
    Distance += std::abs(Shares[E] - Average[E]) / 2;
  HasShifted = Average.size() != Shares.size() || Distance > ShiftThreshold;
  if (HasShifted) {
    Average = std::move(Shares);
    return;
  }
  for (size_t E = 0; E < Average.size(); ++E)
    Average[E] += Smoothing * (Shares[E] - Average[E]);
}

} // namespace ragwort::experts
