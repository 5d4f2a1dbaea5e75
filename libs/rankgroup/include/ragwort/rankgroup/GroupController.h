//===- GroupController.h - Keeps the ranks of one group evenly loaded -----===//
//
// Run by the agent of a group's rank 0: aggregates the ranks' expert counts,
// plans a better map when demand has shifted, and drives the change to it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_GROUPCONTROLLER_H
#define RAGWORT_RANKGROUP_GROUPCONTROLLER_H

#include "ragwort/rankgroup/GroupShape.h"
#include "ragwort/rankgroup/MapSwitch.h"
#include "ragwort/rankgroup/Popularity.h"
#include "ragwort/rankgroup/SetPlanner.h"
#include <utility>

namespace ragwort::rankgroup {

/// The experts that a rank holds, by set, in one version of the map.
struct RankExperts {
  uint64_t MapVersion = 0;
  std::vector<std::vector<ExpertId>> Sets;
};

/// A map change that has been planned, for the log.
struct PlannedChange {
  uint64_t Version = 0;
  /// Mean of skewOf() over the sets.
  double SkewBefore = 1;
  double SkewAfter = 1;
  uint32_t Copies = 0;
  /// Mean age of the counts that the plan was made from.
  Duration CountsAge{0};
};

/// A shift of demand that is over, for the log.
struct DemandShift {
  /// Mean of skewOf() over the sets, with the map in use.
  double SkewBefore = 1;
  double SkewAfter = 1;
  /// Time until the counts of the new demand were settled.
  Duration Settling{0};
};

/// What a completed change of the map has led to, for the log.
struct ReachedSkew {
  uint64_t Version = 0;
  double Planned = 1;
  double Reached = 1;
};

/// Decides when a group's expert map is changed, and to which map.
///
/// \code
///   Controller.onReport(Rank, Report, Token, Now);
///   Controller.onExperts(Rank, Experts);
///   Controller.onCounts(Selections, Now);
///   if (auto Change = Controller.plan(Now)) log(*Change);
///   for (const OutgoingOrder &S : Controller.mapSwitch().takeOrders(Now))
///     send(S);
/// \endcode
class GroupController {
public:
  /// Passes up to this fraction of the target gap are fast enough that the map
  /// is not changed. A pass that processes prompts takes up to about twice the
  /// usual time.
  static constexpr double FastPassFraction = 0.55;
  /// The same while the skew is at least LargeSkew, as after a group has
  /// formed: the load, and the pass time with it, is still going to rise.
  static constexpr double FastPassFractionWhenSkewed = 0.4;
  static constexpr double LargeSkew = 2.0;
  /// Fraction by which a change must reduce the skew. A change slows the group
  /// while weights are copied, and the copies and orders have a cost.
  static constexpr double MinGain = 0.15;
  /// Minimum gain of one copied expert: the load that it takes off the slowest
  /// rank, in units of the mean load, times the number of ranks. A copy costs
  /// the same in every group, while its gain grows with the number of ranks
  /// that wait for the slowest one.
  static constexpr double MinGroupGainPerCopy = 0.32;
  /// The same for a change from a map with LargeSkew. Few copies take off most
  /// of such a skew; the others would delay them, since all ranks have to copy
  /// before any may use the map. They follow in a change of their own, also if
  /// the few have made passes fast: the load, which was just seen to make them
  /// slow, may rise until the next shift.
  static constexpr double MinGroupGainPerUrgentCopy = 4;
  /// Fraction of the skew beyond an even load that few copies must take off, or
  /// the change is made as a whole.
  static constexpr double MinUrgentGain = 0.5;
  /// Time that the controller takes to arm one rank, in milliseconds: a
  /// datagram and its answer on a seventh of a CPU core. Until a change has
  /// shown how long it takes.
  static constexpr double ArmMillisPerRank = 2;
  /// Running requests in the group below which its counts are not meaningful.
  static constexpr uint32_t MinRunningRequests = 4;
  /// Minimum time between two planning attempts.
  static constexpr Duration MinPlanInterval = std::chrono::milliseconds(100);

  /// \p Salt must differ between controllers, so that no two of them assign the
  /// same version to different maps.
  GroupController(GroupShape Shape, uint32_t Ranks, uint64_t Salt);

  void onReport(uint32_t Rank, const EngineReport &Report, uint64_t Token,
                TimePoint Now);
  /// Records the experts that a rank holds. \returns false and ignores them if
  /// they do not fit the shape of the group.
  bool onExperts(uint32_t Rank, RankExperts Experts);
  void onCounts(const std::vector<std::vector<uint64_t>> &Selections,
                TimePoint Now);

  /// Starts a change of the map if it is due and worthwhile.
  std::optional<PlannedChange> plan(TimePoint Now);
  /// \returns the latest shift of demand that plan() has seen the end of, once.
  std::optional<DemandShift> takeDemandShift() {
    return std::exchange(Shifted, std::nullopt);
  }
  /// \returns the skew that the latest change has led to, once, when counts
  /// under the new map are known.
  std::optional<ReachedSkew> takeReachedSkew() {
    return std::exchange(Reached, std::nullopt);
  }
  /// Starts to complete or roll back the unfinished change of a previous
  /// controller. \returns whether there was one to recover.
  bool recover(TimePoint Now);

  /// Smoothed duration of a pass, zero while unknown.
  Duration passTime() const {
    return Duration(static_cast<int64_t>(PassMillis * 1000));
  }
  MapSwitch &mapSwitch() { return Switch; }
  const MapSwitch &mapSwitch() const { return Switch; }
  const GroupShape &shape() const { return Shape; }
  uint32_t ranks() const { return static_cast<uint32_t>(HeldExperts.size()); }

private:
  std::optional<ExpertMap> mapInUse() const;
  void updatePassTime(const EngineReport &Report, TimePoint Now);
  bool arePassesFastEnough(double Skew, uint32_t Running) const;
  std::vector<double> slowdownOfRanks() const;
  double skewInUse(const ExpertMap &InUse,
                   std::span<const double> Slowdown) const;
  PlannedChange planCopies(const ExpertMap &InUse,
                           std::span<const double> Slowdown,
                           double MinGroupGain, ExpertMap &Target) const;
  void updateArmingTime();
  void observe(double Skew, uint64_t VersionInUse, TimePoint Now);
  uint64_t armingPasses() const;
  uint64_t nextVersion() const;

  const GroupShape Shape;
  const uint64_t Salt;
  MapSwitch Switch;
  Popularity Demand;
  // By rank: the experts it holds, and its latest report.
  std::vector<RankExperts> HeldExperts;
  std::vector<EngineReport> Reports;
  TimePoint LastPlan{};
  // Whether a change could begin at the last call of plan().
  bool CouldBegin = false;
  // The latest pass reported by rank 0, and when it was first reported.
  uint64_t LastSeenStep = 0;
  TimePoint LastSeenAt{};
  // Smoothed duration of a pass while requests run, 0 while unknown.
  double PassMillis = 0;
  // Number of completed changes, and the time from the end of the copying until
  // all ranks were armed, as a maximum that halves with each change; 0 while
  // unknown.
  uint64_t Completed = 0;
  double ArmingMillis = 0;
  // The latest skew with settled counts, and since when they are not settled.
  double SettledSkew = 1;
  std::optional<TimePoint> ShiftingSince;
  std::optional<DemandShift> Shifted;
  // Whether the latest change made few copies and the others are to follow.
  bool IsRestDue = false;
  // The latest map that was planned, and its version, or 0.
  uint64_t LatestVersion = 0;
  ExpertMap LatestMap;
  // The same change until its skew is known, when its map was first seen in
  // use, and the skew that it has led to.
  std::optional<PlannedChange> Latest;
  std::optional<TimePoint> InUseSince;
  std::optional<ReachedSkew> Reached;
};

} // namespace ragwort::rankgroup

#endif
