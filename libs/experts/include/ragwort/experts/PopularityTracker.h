//===- PopularityTracker.h - Smoothed popularity of experts ---------------===//
//
// The token counts of a single period are noisy, and placing experts by them
// would move weights without benefit. The tracker averages the counts over
// periods. It restarts the average when the counts deviate from it by more than
// noise explains.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_POPULARITYTRACKER_H
#define RAGWORT_EXPERTS_POPULARITYTRACKER_H

#include <cstddef>
#include <span>
#include <vector>

namespace ragwort::experts {

/// Exponential moving average of the popularity of experts.
///
/// \code
///   PopularityTracker Tracker;
///   Tracker.onPeriod(Counts);
///   Plan P = planRebalancing(InForce, Tracker.popularity(), Weights, Limits);
/// \endcode
class PopularityTracker {
public:
  /// Adds the token counts of one period, one count for each expert. A period
  /// without tokens is ignored.
  void onPeriod(std::span<const double> Counts);
  /// Smoothed shares of the tokens for each expert; they sum to one.
  std::span<const double> popularity() const { return Average; }
  /// Whether the last period restarted the average.
  bool hasShifted() const { return HasShifted; }

private:
  std::vector<double> Average;
  bool HasShifted = false;
};

} // namespace ragwort::experts

#endif
