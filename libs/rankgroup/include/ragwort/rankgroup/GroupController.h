//===- GroupController.h - Keeps the ranks of one group evenly loaded -----===//
//
// The duty of the agent beside a group's first rank: gathers the ranks' counts,
// plans a better map when demand has shifted, and carries the change out.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_GROUPCONTROLLER_H
#define RAGWORT_RANKGROUP_GROUPCONTROLLER_H

#include "ragwort/rankgroup/GroupShape.h"
#include "ragwort/rankgroup/MapSwitch.h"
#include "ragwort/rankgroup/Popularity.h"
#include "ragwort/rankgroup/SetPlanner.h"

namespace ragwort::rankgroup {

/// The experts that a rank holds, by set, under one version of the map.
struct RankExperts {
  uint64_t MapVersion = 0;
  std::vector<std::vector<ExpertId>> Sets;
};

/// A map change that has been planned, for the log.
struct PlannedChange {
  uint64_t Version = 0;
  /// Mean over the sets: load of the slowest rank over the mean load.
  double SkewBefore = 1;
  double SkewAfter = 1;
  uint32_t Copies = 0;
};

/// \code
///   Controller.onReport(...); Controller.onExperts(...);
///   Controller.onCounts(...); if (auto Change = Controller.plan(Now))
///   log(*Change); for (const OutgoingOrder &S :
///   Controller.mapSwitch().takeOrders(Now)) ...
/// \endcode
class GroupController {
public:
  /// Part of the target gap up to which passes are fast enough as they are. A
  /// pass that reads prompts takes up to about twice the usual.
  static constexpr double FastPassFraction = 0.55;
  /// The same while the slowest rank has LargeSkew times the mean load, as
  /// after a group has formed: passes grow with the load, which is to come.
  static constexpr double FastPassFractionWhenSkewed = 0.4;
  static constexpr double LargeSkew = 2.0;
  /// Part of the groups' expert time that a change must save: it slows the
  /// group while weights are copied, and copies and orders cost.
  static constexpr double MinGain = 0.15;
  /// The same for one copied expert, in units of the load of a whole group: a
  /// copy costs the same in every group, and what it saves grows with the ranks
  /// that wait for the slowest one.
  static constexpr double MinGroupGainPerCopy = 0.32;
  /// Time in which the controller arms one rank: a datagram and its answer at a
  /// seventh of a core.
  static constexpr double ArmMillisPerRank = 2;
  /// Requests that must run in the group before its counts say anything.
  static constexpr uint32_t MinRunningRequests = 4;
  /// Least time between two plans that led to nothing.
  static constexpr Duration MinPlanInterval = std::chrono::milliseconds(100);

  /// \p Salt differs between controllers, so that no two give different maps
  /// one version.
  GroupController(GroupShape Shape, uint32_t Ranks, uint64_t Salt);

  void onReport(uint32_t Rank, const EngineReport &Report, uint64_t Token,
                TimePoint Now);
  /// \returns whether \p Experts fit the group; others are left out.
  bool onExperts(uint32_t Rank, RankExperts Experts);
  void onCounts(const std::vector<std::vector<uint64_t>> &Selections,
                TimePoint Now);

  /// Starts a change if one is due and worthwhile.
  std::optional<PlannedChange> plan(TimePoint Now);
  /// Takes back what a former controller left. \returns whether it did.
  bool recover(TimePoint Now);

  /// Usual length of a pass, zero while unknown.
  Duration passTime() const {
    return Duration(static_cast<int64_t>(PassMillis * 1000));
  }
  MapSwitch &mapSwitch() { return Switch; }
  const MapSwitch &mapSwitch() const { return Switch; }
  const GroupShape &shape() const { return Shape; }
  uint32_t ranks() const { return static_cast<uint32_t>(Held.size()); }

private:
  std::optional<ExpertMap> mapInUse() const;
  void notePass(const EngineReport &Report, TimePoint Now);
  bool isFastEnough(double Skew, uint32_t Running) const;
  std::vector<double> slowdownOfRanks() const;
  double skewInUse(const ExpertMap &InUse,
                   std::span<const double> Slowdown) const;
  uint64_t armingPasses() const;
  uint64_t nextVersion() const;

  const GroupShape Shape;
  const uint64_t Salt;
  MapSwitch Switch;
  Popularity Demand;
  // By rank.
  std::vector<RankExperts> Held;
  std::vector<EngineReport> Reports;
  TimePoint LastPlan{};
  // Rank 0's last pass that was seen, and when.
  uint64_t SeenStep = 0;
  TimePoint SeenAt{};
  // Usual length of a pass while requests run, 0 while unknown.
  double PassMillis = 0;
};

} // namespace ragwort::rankgroup

#endif
