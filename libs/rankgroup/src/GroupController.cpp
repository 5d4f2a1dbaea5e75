//===- GroupController.cpp - Keeps the ranks of one group evenly loaded ---===//
#include "ragwort/rankgroup/GroupController.h"
#include <algorithm>
#include <cmath>

namespace ragwort::rankgroup {

namespace {

// Versions are dealt in blocks; the controller's salt picks one of a block.
constexpr uint64_t VersionBlock = 1'000'000;

// Numbers of orders and requests that a controller may use: ten a second last
// for thirteen years.
constexpr uint64_t OrdersPerController = uint64_t(1) << 32;

// Factor of slowness beyond which a rank is not told apart: it already gets the
// least that a rank can hold.
constexpr double MaxSlowdown = 20;

// Weight of the newest observation of the length of a pass.
constexpr double PassWeight = 0.4;

} // namespace

GroupController::GroupController(GroupShape Shape, uint32_t Ranks,
                                 uint64_t Salt)
    : Shape(Shape), Salt(Salt % VersionBlock),
      Switch(Ranks, this->Salt * OrdersPerController + 1),
      Demand(Shape.Sets, Shape.Experts), Held(Ranks), Reports(Ranks) {}

void GroupController::onReport(uint32_t Rank, const EngineReport &Report,
                               uint64_t Token, TimePoint Now) {
  if (Rank >= Reports.size())
    return;
  if (Rank == 0)
    notePass(Report, Now);
  Reports[Rank] = Report;
  Switch.onReport(Rank, Report, Token, Now);
}

void GroupController::notePass(const EngineReport &Report, TimePoint Now) {
  bool IsBusy = Report.Running > 0 && Reports[0].Running > 0 &&
                Report.Epoch == Reports[0].Epoch;
  if (IsBusy && Report.Step > SeenStep) {
    double Millis =
        std::chrono::duration<double, std::milli>(Now - SeenAt).count() /
        static_cast<double>(Report.Step - SeenStep);
    PassMillis = PassMillis == 0
                     ? Millis
                     : (1 - PassWeight) * PassMillis + PassWeight * Millis;
  }
  if (Report.Step != SeenStep || !IsBusy) {
    SeenStep = Report.Step;
    SeenAt = Now;
  }
}

bool GroupController::isFastEnough(double Skew, uint32_t Running) const {
  // Right after a group has opened its passes are unknown; with so many
  // requests they will be slow.
  if (PassMillis == 0)
    return Skew < LargeSkew || Running < Held.size();
  double TargetMillis =
      std::chrono::duration<double, std::milli>(Shape.TargetGap).count();
  double Part =
      Skew >= LargeSkew ? FastPassFractionWhenSkewed : FastPassFraction;
  return PassMillis < Part * TargetMillis;
}

uint64_t GroupController::armingPasses() const {
  if (PassMillis <= 0)
    return 0;
  double Millis =
      ArmMillisPerRank * static_cast<double>(Held.size()) +
      std::chrono::duration<double, std::milli>(MapSwitch::ResendAfter).count();
  return static_cast<uint64_t>(std::ceil(Millis / PassMillis));
}

bool GroupController::onExperts(uint32_t Rank, RankExperts Experts) {
  auto IsKnown = [this](ExpertId E) { return E < Shape.Experts; };
  bool AreKnown = std::all_of(
      Experts.Sets.begin(), Experts.Sets.end(), [&](const auto &Set) {
        return std::all_of(Set.begin(), Set.end(), IsKnown);
      });
  if (Rank >= Held.size() || !AreKnown)
    return false;
  Held[Rank] = std::move(Experts);
  return true;
}

void GroupController::onCounts(
    const std::vector<std::vector<uint64_t>> &Selections, TimePoint Now) {
  Demand.add(Selections, Now);
}

std::optional<ExpertMap> GroupController::mapInUse() const {
  ExpertMap Result;
  Result.At.resize(Shape.Sets);
  for (size_t Rank = 0; Rank < Held.size(); ++Rank) {
    const RankExperts &Experts = Held[Rank];
    if (Experts.Sets.size() != Shape.Sets ||
        Experts.MapVersion != Reports[Rank].MapVersion ||
        Experts.MapVersion != Held[0].MapVersion)
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

uint64_t GroupController::nextVersion() const {
  uint64_t Block = Switch.highestVersion() / VersionBlock + 1;
  return Block * VersionBlock + Salt;
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

std::optional<PlannedChange> GroupController::plan(TimePoint Now) {
  if (!Switch.canBegin() || Now - LastPlan < MinPlanInterval)
    return std::nullopt;
  LastPlan = Now;
  uint32_t Running = 0;
  for (const EngineReport &R : Reports)
    Running += R.Running;
  std::optional<ExpertMap> InUse = mapInUse();
  if (Running < MinRunningRequests || Demand.totalWeight() <= 0 || !InUse)
    return std::nullopt;
  PlannedChange Change;
  Change.SkewAfter = 0;
  ExpertMap Target;
  std::vector<double> Slowdown = slowdownOfRanks();
  double Skew = skewInUse(*InUse, Slowdown);
  Change.SkewBefore = Skew;
  // Even loads on all ranks are the best that can be planned.
  if (isFastEnough(Skew, Running) || Skew * (1 - MinGain) < 1)
    return std::nullopt;
  SetLimits Limits{Shape.Places, Shape.Spare,
                   MinGroupGainPerCopy / static_cast<double>(Held.size())};
  for (uint32_t Set = 0; Set < Shape.Sets; ++Set) {
    SetPlan P =
        planSet(InUse->At[Set], {Demand.weightsOf(Set), Slowdown}, Limits);
    Change.SkewAfter += P.SkewAfter / Shape.Sets;
    Change.Copies += P.Copies;
    Target.At.push_back(std::move(P.Target));
  }
  if (Change.SkewAfter > Change.SkewBefore * (1 - MinGain))
    return std::nullopt;
  Change.Version = nextVersion();
  Switch.setArmingPasses(armingPasses());
  Switch.begin(std::move(*InUse), std::move(Target), Change.Version, Now);
  return Change;
}

} // namespace ragwort::rankgroup
