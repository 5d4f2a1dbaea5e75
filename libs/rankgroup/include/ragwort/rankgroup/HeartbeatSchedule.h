//===- HeartbeatSchedule.h - How often an agent reports to its controller -===//
//
// Reading the own engine is free, telling the controller costs both sides. So
// the engine is read often while something is about to happen, and a report is
// sent early only when it has happened.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_HEARTBEATSCHEDULE_H
#define RAGWORT_RANKGROUP_HEARTBEATSCHEDULE_H

#include "ragwort/base/Time.h"
#include "ragwort/rankgroup/EngineTypes.h"

namespace ragwort::rankgroup {

/// \code
///   Schedule.onPrepareAccepted(Version, Now);
///   if (Schedule.onReport(Report, Now)) sendBeat(Report);
///   sleepFor(Schedule.interval(Now));
/// \endcode
class HeartbeatSchedule {
public:
  /// A controller should see a change of load within two passes.
  static constexpr Duration UsualInterval = std::chrono::milliseconds(150);
  /// The same while the group has just opened, when each moment without a
  /// better map makes passes longer. The reports of 32 ranks then take about
  /// two thirds of a link of 8 Mbit/s.
  static constexpr Duration OpeningInterval = std::chrono::milliseconds(75);
  /// How often the engine is read while it copies experts for a map.
  static constexpr Duration CopyInterval = std::chrono::milliseconds(40);
  /// Time after the opening of a group in which its controller needs all that
  /// there is to know: two reports of each rank and the first plan.
  static constexpr Duration OpeningTime = std::chrono::milliseconds(800);
  /// Copies are bounded by the engines' links to little more than a second.
  static constexpr Duration CopyTimeout = std::chrono::milliseconds(2000);

  /// \returns whether \p Report should be sent now.
  bool onReport(const EngineReport &Report, TimePoint Now);
  /// The engine has begun to prepare map \p Version.
  void onPrepareAccepted(uint64_t Version, TimePoint Now);
  /// Time until the engine should be read again.
  Duration interval(TimePoint Now) const;

private:
  bool isOpening(TimePoint Now) const { return Now < OpeningUntil; }

  uint64_t Epoch = 0;
  TimePoint OpeningUntil{};
  // The map that the engine copies experts for, until then.
  uint64_t Preparing = 0;
  TimePoint PreparingUntil{};
  TimePoint SentAt{};
};

} // namespace ragwort::rankgroup

#endif
