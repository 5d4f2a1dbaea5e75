//===- PopularityTracker.h - Smoothed popularity of experts ---------------===//
//
// Counts of one period are noisy; placing experts by them moves weights for
// nothing. The tracker averages over periods, and starts anew when the counts
// depart from the average by more than noise does.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_POPULARITYTRACKER_H
#define RAGWORT_EXPERTS_POPULARITYTRACKER_H

#include <cstddef>
#include <span>
#include <vector>

namespace ragwort::experts {

/// \code
///   PopularityTracker Tracker;
///   Tracker.onPeriod(Counts);
///   Plan P = planRebalancing(InForce, Tracker.popularity(), Weights, Limits);
/// \endcode
class PopularityTracker {
public:
  /// Takes the token counts of one period, one an expert.
  void onPeriod(std::span<const double> Counts);
  /// Smoothed shares; they sum to one.
  std::span<const double> popularity() const { return Average; }
  /// Whether the last period started the average anew.
  bool hasShifted() const { return IsJump; }

private:
  std::vector<double> Average;
  bool IsJump = false;
};

} // namespace ragwort::experts

#endif
