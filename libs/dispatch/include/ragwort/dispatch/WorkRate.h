//===- WorkRate.h - Work a second over the last two seconds ---------------===//
#ifndef RAGWORT_DISPATCH_WORKRATE_H
#define RAGWORT_DISPATCH_WORKRATE_H

#include "ragwort/base/Time.h"
#include <deque>
#include <optional>

namespace ragwort::dispatch {

/// Work that requests asked for or that was done, in usual requests.
///
/// \code
///   Done.record(1, Now);
///   if (std::optional<double> Rate = Done.perSecond(Now)) ...
/// \endcode
class WorkRate {
public:
  static constexpr Duration Window = std::chrono::seconds(2);

  void record(double Work, TimePoint Now);
  /// Nothing if no work was recorded within the window.
  std::optional<double> perSecond(TimePoint Now);
  /// Whether the work of the window began at least half a window ago.
  bool isSteady(TimePoint Now) const {
    return !Parts.empty() && Now - Parts.front().At >= Window / 2;
  }

private:
  struct Part {
    TimePoint At;
    double Work = 0;
  };
  // Oldest first.
  std::deque<Part> Parts;
  // Invariant: the work of Parts.
  double Sum = 0;
};

} // namespace ragwort::dispatch

#endif
