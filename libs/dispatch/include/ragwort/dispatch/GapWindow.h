//===- GapWindow.h - The longest usual gaps between stream events ---------===//
#ifndef RAGWORT_DISPATCH_GAPWINDOW_H
#define RAGWORT_DISPATCH_GAPWINDOW_H

#include "ragwort/base/Time.h"
#include <deque>

namespace ragwort::dispatch {

/// The gaps that this node has seen lately between the events of one service's
/// streams. A stream is late if one of its many gaps is too long, so the mean
/// says little.
///
/// \code
///   Gaps.add(Gap, Now);
///   if (Gaps.longMillis(Now) > TargetMillis) ...
/// \endcode
class GapWindow {
public:
  /// About the time that a stream takes.
  static constexpr Duration Window = std::chrono::seconds(2);
  static constexpr size_t MaxSamples = 1024;
  /// Fewer samples say nothing.
  static constexpr size_t MinSamples = 40;

  void add(Duration Gap, TimePoint Now);
  /// The 98th percentile of the gaps in milliseconds; 0 if unknown.
  double longMillis(TimePoint Now);

private:
  struct Sample {
    TimePoint At;
    Duration Gap;
  };
  // Oldest first.
  std::deque<Sample> Samples;
};

} // namespace ragwort::dispatch

#endif
