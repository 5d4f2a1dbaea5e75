//===- CountRota.h - Which ranks report their counts when -----------------===//
//
// All ranks of a group report to one controller, whose link cannot carry the
// expert counts of a hundred ranks several times a second. The requests of all
// ranks are alike, so the counts of some ranks show the demand. The ranks take
// turns, each with the counts of one interval: counts of a longer time would
// hide a recent change of demand.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_COUNTROTA_H
#define RAGWORT_RANKGROUP_COUNTROTA_H

#include "ragwort/base/Time.h"
#include <cstddef>
#include <cstdint>

namespace ragwort::rankgroup {

/// What a rank does with its counts in one interval.
enum class CountTurn : uint8_t {
  None,
  /// Reads them, as the base of the counts of the next interval.
  ReadBase,
  /// Reports the counts since the last reading.
  Report,
};

/// The turns of one rank.
///
/// \code
///   Rota.setGroup(Ranks, OwnRank, BytesPerReport);
///   switch (Rota.next(HeartbeatSchedule::UsualInterval)) ...
/// \endcode
class CountRota {
public:
  /// Fraction of the controller's link that all ranks may use if each reports
  /// in every interval.
  static constexpr double MaxShareOfAll = 0.5;
  /// The same if they take turns. Heartbeats without counts, which large groups
  /// send as often, take a further quarter of the link.
  static constexpr double ShareInTurns = 0.35;

  /// \p LinkBytesPerSecond is that of the controller; zero if unknown: all
  /// ranks report in every interval then.
  explicit CountRota(double LinkBytesPerSecond)
      : LinkBytesPerSecond(LinkBytesPerSecond) {}

  /// \p BytesPerReport is the size of one rank's counts.
  void setGroup(uint32_t Ranks, uint32_t OwnRank, size_t BytesPerReport);
  /// The turn of the next interval, which has length \p Interval.
  CountTurn next(Duration Interval);
  /// Number of intervals in which each rank reports once.
  uint32_t period(Duration Interval) const;

private:
  const double LinkBytesPerSecond;
  uint32_t Ranks = 0;
  size_t BytesPerReport = 0;
  // Intervals until the next report; ranks start at different values.
  uint32_t UntilReport = 0;
};

} // namespace ragwort::rankgroup

#endif
