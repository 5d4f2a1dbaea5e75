//===- HeartbeatSchedule.h - How often an agent reports to its controller -===//
//
// Reading the own engine is free, while a heartbeat costs its sender and the
// controller. So the engine is read often while a map is being copied, and a
// heartbeat is sent early only when the copy is complete.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_HEARTBEATSCHEDULE_H
#define RAGWORT_RANKGROUP_HEARTBEATSCHEDULE_H

#include "ragwort/base/Time.h"
#include "ragwort/rankgroup/EngineTypes.h"

namespace ragwort::rankgroup {

/// Decides when an agent reads its engine and when it sends a heartbeat.
///
/// \code
///   Schedule.onPrepareAccepted(Version, Now);
///   if (Schedule.onReport(Report, Now)) sendHeartbeat(Report);
///   sleepFor(Schedule.interval(Now));
/// \endcode
class HeartbeatSchedule {
public:
  /// Short enough that a controller sees a change of load within two passes.
  static constexpr Duration UsualInterval = std::chrono::milliseconds(150);
  /// Interval while the group has just opened, since passes are slow until a
  /// better map is in use. The heartbeats of 32 ranks then take about two
  /// thirds of a link of 8 Mbit/s; larger groups report fewer counts, see
  /// CountRota.h.
  static constexpr Duration OpeningInterval = std::chrono::milliseconds(75);
  /// Interval of reading the engine while it copies experts for a map or is
  /// armed for one: the next change of the map waits for all ranks' reports
  /// that they use it.
  static constexpr Duration CopyInterval = std::chrono::milliseconds(40);
  /// Time after the opening of a group during which OpeningInterval applies. It
  /// covers two reports of each rank and the first plan.
  static constexpr Duration OpeningTime = std::chrono::milliseconds(800);
  /// After this time the engine is no longer read at CopyInterval even if the
  /// copy is not complete. Copying takes little more than a second over the
  /// engines' links.
  static constexpr Duration CopyTimeout = std::chrono::milliseconds(2000);

  /// Called with each report of the engine. \returns whether a heartbeat with
  /// \p Report should be sent now.
  bool onReport(const EngineReport &Report, TimePoint Now);
  /// The engine has begun to prepare map \p Version.
  void onPrepareAccepted(uint64_t Version, TimePoint Now);
  /// The engine has been armed for a map.
  void onArmAccepted() { IsArmed = true; }
  /// Time until the engine should be read again.
  Duration interval(TimePoint Now) const;

private:
  bool isOpening(TimePoint Now) const { return Now < OpeningUntil; }

  uint64_t Epoch = 0;
  TimePoint OpeningUntil{};
  // Version of the map that the engine copies experts for, or 0, and the time
  // at which the copy times out.
  uint64_t Preparing = 0;
  TimePoint PreparingUntil{};
  // Whether the engine is armed for a map, and the map in use when the last
  // heartbeat was sent.
  bool IsArmed = false;
  uint64_t SentMapVersion = 0;
  TimePoint SentAt{};
};

} // namespace ragwort::rankgroup

#endif
