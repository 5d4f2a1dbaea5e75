//===- GroupController.cpp - Keeps the ranks of one group evenly loaded ---===//
#include "ragwort/rankgroup/GroupController.h"
#include <algorithm>
#include <cmath>

namespace ragwort::rankgroup {

namespace {

// Versions are grouped in blocks of this size; a controller only uses the one
// version of each block that its salt selects.
constexpr uint64_t VersionBlockSize = 1'000'000;

// Size of the range of order and request numbers of one controller. At ten
// numbers per second it lasts for thirteen years.
constexpr uint64_t OrdersPerController = uint64_t(1) << 32;

// Larger slowdown factors are clamped: such a rank already gets the least load
// that a rank can have.
constexpr double MaxSlowdown = 20;

// Most time that arming is expected to take, as a multiple of the time without
// any measurement.
constexpr double MaxArmingFactor = 2;

// Weight of the newest sample in the moving average of the pass time.
constexpr double PassTimeSmoothing = 0.4;

} // namespace

GroupController::GroupController(GroupShape Shape, uint32_t Ranks,
                                 uint64_t Salt)
    : Shape(Shape), Salt(Salt % VersionBlockSize),
      Switch(Ranks, this->Salt * OrdersPerController + 1),
      Demand(Shape.Sets, Shape.Experts), HeldExperts(Ranks), Reports(Ranks) {}

void GroupController::onReport(uint32_t Rank, const EngineReport &Report,
                               uint64_t Token, TimePoint Now) {
  if (Rank >= Reports.size())
    return;
  if (Rank == 0)
    updatePassTime(Report, Now);
  Reports[Rank] = Report;
  // Versions are never used twice, so the rank need not list its experts.
  if (Report.MapVersion == LatestVersion && LatestVersion != 0 &&
      HeldExperts[Rank].MapVersion != LatestVersion) {
    HeldExperts[Rank] = {LatestVersion, {}};
    for (const SetMap &Set : LatestMap.At)
      HeldExperts[Rank].Sets.push_back(Set[Rank]);
  }
  Switch.onReport(Rank, Report, Token, Now);
}

void GroupController::updatePassTime(const EngineReport &Report,
                                     TimePoint Now) {
  bool IsBusy = Report.Running > 0 && Reports[0].Running > 0 &&
                Report.Epoch == Reports[0].Epoch;
  if (IsBusy && Report.Step > LastSeenStep) {
    double Millis =
        std::chrono::duration<double, std::milli>(Now - LastSeenAt).count() /
        static_cast<double>(Report.Step - LastSeenStep);
    PassMillis = PassMillis == 0 ? Millis
                                 : (1 - PassTimeSmoothing) * PassMillis +
                                       PassTimeSmoothing * Millis;
  }
  if (Report.Step != LastSeenStep || !IsBusy) {
    LastSeenStep = Report.Step;
    LastSeenAt = Now;
  }
}

bool GroupController::arePassesFastEnough(double Skew, uint32_t Running) const {
  // The pass time is unknown right after a group has opened. With a large skew
  // and at least one running request per rank, passes will be slow.
  if (PassMillis == 0)
    return Skew < LargeSkew || Running < HeldExperts.size();
  double TargetMillis =
      std::chrono::duration<double, std::milli>(Shape.TargetGap).count();
  double Fraction =
      Skew >= LargeSkew ? FastPassFractionWhenSkewed : FastPassFraction;
  return PassMillis < Fraction * TargetMillis;
}

uint64_t GroupController::armingPasses() const {
  if (PassMillis <= 0)
    return 0;
  double ResendMillis =
      std::chrono::duration<double, std::milli>(MapSwitch::ResendAfter).count();
  if (ArmingMillis > 0) {
    // Of MinPassesAhead, one pass is still to begin when the first order is
    // sent, and to end before the held one.
    double Millis = ArmingMillis + ResendMillis - PassMillis;
    return static_cast<uint64_t>(std::ceil(std::max(0.0, Millis) / PassMillis));
  }
  double Millis =
      ArmMillisPerRank * static_cast<double>(HeldExperts.size()) + ResendMillis;
  return static_cast<uint64_t>(std::ceil(Millis / PassMillis));
}

void GroupController::updateArmingTime() {
  const SwitchTimes &Times = Switch.times();
  if (Switch.completed() == std::exchange(Completed, Switch.completed()) ||
      Times.Prepared == TimePoint() || Times.Armed == TimePoint())
    return;
  double Millis =
      std::chrono::duration<double, std::milli>(Times.Armed - Times.Prepared)
          .count();
  // A change that waited for a rank that stood still says nothing about the
  // next: held far ahead, that would wait for many passes.
  double MostMillis =
      MaxArmingFactor * ArmMillisPerRank * static_cast<double>(Reports.size());
  ArmingMillis = std::min(std::max(Millis, ArmingMillis / 2), MostMillis);
}

bool GroupController::onExperts(uint32_t Rank, RankExperts Experts) {
  auto IsKnown = [this](ExpertId E) { return E < Shape.Experts; };
  bool AreKnown = std::all_of(
      Experts.Sets.begin(), Experts.Sets.end(), [&](const auto &Set) {
        return std::all_of(Set.begin(), Set.end(), IsKnown);
      });
  if (Rank >= HeldExperts.size() || !AreKnown)
    return false;
  HeldExperts[Rank] = std::move(Experts);
  return true;
}

void GroupController::onCounts(
    const std::vector<std::vector<uint64_t>> &Selections, TimePoint Now) {
  bool WasSettled = Demand.isSettled(Now);
  Demand.add(Selections, Now);
  // The map no longer fits, so the next plan is made without delay.
  if (!WasSettled && Demand.isSettled(Now))
    LastPlan = TimePoint();
}

std::optional<ExpertMap> GroupController::mapInUse() const {
  ExpertMap Result;
  Result.At.resize(Shape.Sets);
  for (size_t Rank = 0; Rank < HeldExperts.size(); ++Rank) {
    const RankExperts &Experts = HeldExperts[Rank];
    if (Experts.Sets.size() != Shape.Sets ||
        Experts.MapVersion != Reports[Rank].MapVersion ||
        Experts.MapVersion != HeldExperts[0].MapVersion)
      return std::nullopt;
    for (uint32_t Set = 0; Set < Shape.Sets; ++Set)
      Result.At[Set].push_back(Experts.Sets[Set]);
  }
  return Result;
}

std::vector<double> GroupController::slowdownOfRanks() const {
  std::vector<double> Result;
  for (const EngineReport &R : Reports)
    Result.push_back(std::clamp(R.Slowdown, 1.0, MaxSlowdown));
  return Result;
}

double GroupController::skewInUse(const ExpertMap &InUse,
                                  std::span<const double> Slowdown) const {
  double Skew = 0;
  for (uint32_t Set = 0; Set < Shape.Sets; ++Set)
    Skew +=
        skewOf(InUse.At[Set], {Demand.weightsOf(Set), Slowdown}) / Shape.Sets;
  return Skew;
}

void GroupController::observe(double Skew, uint64_t VersionInUse,
                              TimePoint Now) {
  if (!Demand.isSettled(Now)) {
    if (!ShiftingSince)
      ShiftingSince = Now;
    return;
  }
  if (ShiftingSince) {
    Shifted = {SettledSkew, Skew, Now - *ShiftingSince};
    ShiftingSince.reset();
  }
  SettledSkew = Skew;
  if (!Latest || Latest->Version != VersionInUse)
    return;
  if (!InUseSince)
    InUseSince = Now;
  // By then most of the counts are of passes that used the new map.
  if (Now - *InUseSince >= Popularity::HalfLife) {
    Reached = {Latest->Version, Latest->SkewAfter, Skew};
    Latest.reset();
  }
}

uint64_t GroupController::nextVersion() const {
  uint64_t Block = Switch.highestVersion() / VersionBlockSize + 1;
  return Block * VersionBlockSize + Salt;
}

bool GroupController::recover(TimePoint Now) {
  if (!Switch.needsRecovery())
    return false;
  std::optional<ExpertMap> InUse = mapInUse();
  if (!InUse)
    return false;
  Switch.beginRecovery(std::move(*InUse), Now);
  return true;
}

PlannedChange GroupController::planCopies(const ExpertMap &InUse,
                                          std::span<const double> Slowdown,
                                          double MinGroupGain,
                                          ExpertMap &Target) const {
  PlannedChange Change;
  Change.SkewAfter = 0;
  Target.At.clear();
  SetLimits Limits{Shape.Places, Shape.Spare,
                   MinGroupGain / static_cast<double>(HeldExperts.size())};
  for (uint32_t Set = 0; Set < Shape.Sets; ++Set) {
    SetPlan P =
        planSet(InUse.At[Set], {Demand.weightsOf(Set), Slowdown}, Limits);
    Change.SkewAfter += P.SkewAfter / Shape.Sets;
    Change.Copies += P.Copies;
    Target.At.push_back(std::move(P.Target));
  }
  return Change;
}

std::optional<PlannedChange> GroupController::plan(TimePoint Now) {
  bool CanBegin = Switch.canBegin();
  bool IsPossibleAgain = CanBegin && !std::exchange(CouldBegin, CanBegin);
  if (!CanBegin || (!IsPossibleAgain && Now - LastPlan < MinPlanInterval))
    return std::nullopt;
  LastPlan = Now;
  updateArmingTime();
  uint32_t Running = 0;
  for (const EngineReport &R : Reports)
    Running += R.Running;
  std::optional<ExpertMap> InUse = mapInUse();
  if (Running < MinRunningRequests || Demand.totalWeight() <= 0 || !InUse)
    return std::nullopt;
  std::vector<double> Slowdown = slowdownOfRanks();
  double Skew = skewInUse(*InUse, Slowdown);
  observe(Skew, HeldExperts[0].MapVersion, Now);
  // No plan can be better than an even load, which has a skew of 1.
  if (!Demand.isSettled(Now) || Skew * (1 - MinGain) < 1 ||
      (!IsRestDue && arePassesFastEnough(Skew, Running)))
    return std::nullopt;
  ExpertMap Target;
  PlannedChange Change;
  bool IsUrgent = Skew >= LargeSkew;
  if (IsUrgent) {
    Change = planCopies(*InUse, Slowdown, MinGroupGainPerUrgentCopy, Target);
    IsUrgent = Change.SkewAfter - 1 <= (Skew - 1) * (1 - MinUrgentGain);
  }
  if (!IsUrgent)
    Change = planCopies(*InUse, Slowdown, MinGroupGainPerCopy, Target);
  if (Change.SkewAfter > Skew * (1 - MinGain))
    return std::nullopt;
  Change.SkewBefore = Skew;
  Change.CountsAge = Demand.meanAge(Now);
  Change.Version = nextVersion();
  Switch.setArmingPasses(armingPasses());
  IsRestDue = IsUrgent;
  LatestVersion = Change.Version;
  LatestMap = Target;
  Latest = Change;
  InUseSince.reset();
  Switch.begin(std::move(*InUse), std::move(Target), Change.Version, Now);
  return Change;
}

} // namespace ragwort::rankgroup
