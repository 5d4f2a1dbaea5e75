//===- MapSwitch.cpp - Changes the expert map of a group of ranks ---------===//
#include "ragwort/rankgroup/MapSwitch.h"
#include <algorithm>

namespace ragwort::rankgroup {

std::string_view toString(SwitchPhase Phase) {
  switch (Phase) {
  case SwitchPhase::Idle:
    return "idle";
  case SwitchPhase::Preparing:
    return "preparing";
  case SwitchPhase::Holding:
    return "holding";
  case SwitchPhase::Arming:
    return "arming";
  case SwitchPhase::CollectingReports:
    return "collecting-reports";
  case SwitchPhase::RollingBack:
    return "rolling-back";
  case SwitchPhase::Releasing:
    return "releasing";
  }
  return "invalid";
}

MapSwitch::MapSwitch(uint32_t RankCount, uint64_t FirstNumber)
    : Ranks(RankCount), NextNumber(FirstNumber) {}

void MapSwitch::resetChange() {
  Phase = SwitchPhase::Idle;
  IsHolding = false;
  IsCommitted = false;
  IsRecheckingRank0 = false;
  for (Rank &R : Ranks) {
    R.PendingOrder.reset();
    R.AwaitedToken = 0;
    R.IsPrepared = false;
    R.IsArmed = false;
    R.MayBeArmed = false;
  }
}

void MapSwitch::onReport(uint32_t Index, const EngineReport &Report,
                         uint64_t Token, TimePoint Now) {
  if (Index >= Ranks.size() || Report.Epoch < Epoch)
    return;
  if (Report.Epoch > Epoch) {
    // The group was re-formed: orders of earlier epochs fail from now on.
    Epoch = Report.Epoch;
    if (Phase != SwitchPhase::Idle)
      ++Abandoned;
    resetChange();
    for (Rank &R : Ranks)
      R.IsKnown = false;
    LastStep = 0;
    CommittedVersion = 0;
  }
  Rank &R = Ranks[Index];
  // Ignore unsolicited reports that arrive out of order.
  if (R.IsKnown && Report.Step < R.Report.Step && Token == 0)
    return;
  R.IsKnown = true;
  R.Report = Report;
  if (Report.Held == ReleasedStep && Now - ReleasedAt < StaleReportTime)
    R.Report.Held.reset();
  LastStep = std::max(LastStep, Report.Step);
  HighestVersion =
      std::max({HighestVersion, Report.MapVersion, Report.Prepared.value_or(0),
                Report.Armed ? Report.Armed->Version : 0});
  if (Phase == SwitchPhase::Preparing && Report.Prepared == Version) {
    R.IsPrepared = true;
    // The answer to the order was lost.
    R.PendingOrder.reset();
  }
  if (R.AwaitedToken != 0 && Token >= R.AwaitedToken) {
    R.AwaitedToken = 0;
    onAwaitedReport(Index, Now);
  }
  advance(Now);
}

bool MapSwitch::haveAllReported() const {
  return std::all_of(Ranks.begin(), Ranks.end(),
                     [](const Rank &R) { return R.IsKnown; });
}

uint64_t MapSwitch::currentVersion() const {
  return CommittedVersion ? CommittedVersion : Ranks[0].Report.MapVersion;
}

bool MapSwitch::canBegin() const {
  if (Phase != SwitchPhase::Idle || Epoch == 0)
    return false;
  uint64_t Current = currentVersion();
  return std::all_of(Ranks.begin(), Ranks.end(), [Current](const Rank &R) {
    return R.IsKnown && R.Report.IsOpen && !R.Report.Armed && !R.Report.Held &&
           R.Report.MapVersion == Current;
  });
}

bool MapSwitch::needsRecovery() const {
  return Phase == SwitchPhase::Idle && Epoch != 0 && Ranks[0].IsKnown &&
         Ranks[0].Report.IsOpen && Ranks[0].Report.Held;
}

void MapSwitch::begin(ExpertMap MapInUse, ExpertMap NewTarget,
                      uint64_t NewVersion, TimePoint Now) {
  Phase = SwitchPhase::Preparing;
  InUse = std::move(MapInUse);
  VersionInUse = currentVersion();
  Target = std::move(NewTarget);
  Version = NewVersion;
  HighestVersion = std::max(HighestVersion, NewVersion);
  Times = SwitchTimes();
  Times.Begun = Now;
  HoldAttempts = 0;
  for (uint32_t I = 0; I < Ranks.size(); ++I)
    setPendingOrder(I, OrderKind::Prepare, Version, 0, &Target);
}

void MapSwitch::beginRecovery(ExpertMap MapInUse, TimePoint Now) {
  Phase = SwitchPhase::CollectingReports;
  InUse = std::move(MapInUse);
  VersionInUse.reset();
  IsRecheckingRank0 = false;
  for (uint32_t I = 0; I < Ranks.size(); ++I)
    awaitReport(I, Now);
}

void MapSwitch::setPendingOrder(uint32_t Index, OrderKind Kind,
                                uint64_t OrderVersion, uint64_t Step,
                                const ExpertMap *Map) {
  Rank &R = Ranks[Index];
  RankOrder Order;
  Order.Kind = Kind;
  Order.Epoch = Epoch;
  Order.Version = OrderVersion;
  Order.Step = Step;
  if (Map)
    Order.Map = *Map;
  R.PendingOrder = std::move(Order);
  R.Attempts = 0;
}

void MapSwitch::awaitReport(uint32_t Index, TimePoint Now) {
  Ranks[Index].AwaitedToken = NextNumber++;
  Ranks[Index].AwaitedSince = Now;
}

bool MapSwitch::isDue(const Rank &R, TimePoint Now) {
  return R.PendingOrder &&
         (R.Attempts == 0 ||
          Now - R.SentAt >=
              ResendAfter * std::min(R.Attempts, MaxResendFactor));
}

std::vector<OutgoingOrder> MapSwitch::takeOrders(TimePoint Now, size_t Limit) {
  advance(Now);
  std::vector<uint32_t> Due;
  for (uint32_t I = 0; I < Ranks.size(); ++I)
    if (isDue(Ranks[I], Now))
      Due.push_back(I);
  std::stable_partition(Due.begin(), Due.end(),
                        [this](uint32_t I) { return Ranks[I].Attempts == 0; });
  Due.resize(std::min(Due.size(), Limit));
  std::vector<OutgoingOrder> Result;
  for (uint32_t I : Due) {
    Rank &R = Ranks[I];
    R.Number = NextNumber;
    if (R.Attempts == 0)
      R.FirstNumber = NextNumber;
    else
      Times.ArmingRepeats += R.PendingOrder->Kind == OrderKind::Arm;
    ++R.Attempts;
    R.SentAt = Now;
    Result.push_back({I, R.Number, *R.PendingOrder, R.Attempts});
  }
  NextNumber += !Result.empty();
  return Result;
}

void MapSwitch::onNoAnswer(uint32_t Index, uint64_t Number, TimePoint) {
  Rank &R = Ranks[Index];
  // Makes the order due at the next takeOrders().
  if (R.PendingOrder && R.Attempts > 0 && R.Number == Number)
    R.SentAt = TimePoint();
}

// An acceptance of any attempt counts. A refusal counts only if it answers the
// last attempt, since an earlier one may have been executed in the meantime.
bool MapSwitch::isValidAnswer(const Rank &R, uint64_t Number,
                              OrderAnswer Answer) {
  if (!R.PendingOrder || R.Attempts == 0)
    return false;
  return Answer == OrderAnswer::Accepted
             ? Number >= R.FirstNumber && Number <= R.Number
             : Number == R.Number;
}

void MapSwitch::onAnswer(uint32_t Index, uint64_t Number, OrderAnswer Answer,
                         TimePoint Now) {
  Rank &R = Ranks[Index];
  if (!isValidAnswer(R, Number, Answer))
    return;
  RankOrder Order = std::move(*R.PendingOrder);
  R.PendingOrder.reset();
  if (Answer == OrderAnswer::Accepted)
    onAccepted(Index, Order, Now);
  else
    onConflict(Index, Order, Now);
  advance(Now);
}

void MapSwitch::onAccepted(uint32_t Index, const RankOrder &Done,
                           TimePoint Now) {
  Rank &R = Ranks[Index];
  switch (Done.Kind) {
  case OrderKind::Prepare:
    // Earlier versions can no longer be armed on this rank.
    if (Phase == SwitchPhase::RollingBack)
      R.MayBeArmed = false;
    break;
  case OrderKind::Hold:
    IsHolding = true;
    break;
  case OrderKind::Arm:
    R.IsArmed = true;
    Times.LastArmed = Index;
    break;
  case OrderKind::Disarm:
    R.IsArmed = false;
    break;
  case OrderKind::Release:
    if (IsCommitted)
      CommittedVersion = Version;
    R.Report.Held.reset();
    ReleasedStep = Done.Step;
    ReleasedAt = Now;
    finish(IsCommitted);
    break;
  }
}

void MapSwitch::onConflict(uint32_t Index, const RankOrder &Refused,
                           TimePoint Now) {
  switch (Refused.Kind) {
  case OrderKind::Prepare:
    // During a rollback the rank is armed or has already used this version; its
    // report tells which. Otherwise a refusal of a resent order may mean that
    // an earlier attempt was accepted, which the rank's reports will show.
    if (Phase == SwitchPhase::RollingBack)
      awaitReport(Index, Now);
    else if (Ranks[Index].Attempts == 1)
      finish(false);
    break;
  case OrderKind::Hold:
    // The pass has already begun; try a later one.
    if (++HoldAttempts < MaxHoldAttempts)
      hold(std::max(LastStep, Refused.Step) + PassesAhead);
    else
      finish(false);
    break;
  case OrderKind::Arm:
  case OrderKind::Disarm:
    awaitReport(Index, Now);
    break;
  case OrderKind::Release:
    finish(false); // The group has been re-formed.
    break;
  }
}

void MapSwitch::onAwaitedReport(uint32_t Index, TimePoint Now) {
  Rank &R = Ranks[Index];
  switch (Phase) {
  case SwitchPhase::Arming:
    R.IsArmed = R.Report.Armed == ArmedMap{Version, HeldStep};
    // The rank has definitely refused: an accepted earlier attempt would show
    // in the report.
    if (!R.IsArmed)
      Phase = SwitchPhase::RollingBack;
    break;
  case SwitchPhase::RollingBack:
    R.IsArmed = R.Report.Armed.has_value();
    break;
  case SwitchPhase::CollectingReports: {
    bool IsComplete =
        std::all_of(Ranks.begin(), Ranks.end(),
                    [](const Rank &Each) { return Each.AwaitedToken == 0; });
    if (!IsComplete)
      break;
    if (IsRecheckingRank0) {
      decideRecovery();
    } else {
      IsRecheckingRank0 = true;
      awaitReport(0, Now);
    }
    break;
  }
  default:
    break;
  }
}

void MapSwitch::decideRecovery() {
  if (!Ranks[0].Report.Held) {
    finish(false); // Released in the meantime.
    return;
  }
  HeldStep = *Ranks[0].Report.Held;
  IsHolding = true;
  std::optional<ArmedMap> First = Ranks[0].Report.Armed;
  bool AreArmed =
      First && First->Step == HeldStep &&
      std::all_of(Ranks.begin(), Ranks.end(),
                  [&First](const Rank &R) { return R.Report.Armed == First; });
  if (AreArmed) {
    Version = First->Version;
    release(true);
    return;
  }
  Phase = SwitchPhase::RollingBack;
  for (Rank &R : Ranks) {
    R.IsArmed = R.Report.Armed.has_value();
    // Orders of the previous controller may still be in flight.
    R.MayBeArmed = true;
  }
}

void MapSwitch::hold(uint64_t Step) {
  HeldStep = Step;
  setPendingOrder(0, OrderKind::Hold, 0, Step);
}

void MapSwitch::release(bool IsCommit) {
  Phase = SwitchPhase::Releasing;
  IsCommitted = IsCommit;
  setPendingOrder(0, OrderKind::Release, 0, HeldStep);
}

bool MapSwitch::hasNothingPending() const {
  return std::none_of(Ranks.begin(), Ranks.end(), [](const Rank &R) {
    return R.PendingOrder || R.AwaitedToken != 0;
  });
}

void MapSwitch::rollBackRank(uint32_t Index) {
  Rank &R = Ranks[Index];
  if (R.IsArmed) {
    uint64_t Armed = R.Report.Armed ? R.Report.Armed->Version : Version;
    setPendingOrder(Index, OrderKind::Disarm, Armed, 0);
  } else if (R.MayBeArmed) {
    setPendingOrder(Index, OrderKind::Prepare, ++HighestVersion, 0, &InUse);
  }
}

void MapSwitch::advance(TimePoint Now) {
  auto All = [this](bool Rank::*Flag) {
    return std::all_of(Ranks.begin(), Ranks.end(),
                       [Flag](const Rank &R) { return R.*Flag; });
  };
  switch (Phase) {
  case SwitchPhase::Idle:
  case SwitchPhase::CollectingReports:
  case SwitchPhase::Releasing:
    break;
  case SwitchPhase::Preparing:
    if (All(&Rank::IsPrepared)) {
      Times.Prepared = Now;
      for (Rank &R : Ranks)
        R.PendingOrder.reset();
      Phase = SwitchPhase::Holding;
      hold(LastStep + PassesAhead);
    } else if (Now - Times.Begun > PrepareTimeout) {
      finish(false);
    }
    break;
  case SwitchPhase::Holding:
    if (IsHolding) {
      Phase = SwitchPhase::Arming;
      Times.Holding = Now;
      for (uint32_t I = 0; I < Ranks.size(); ++I) {
        Ranks[I].MayBeArmed = true;
        setPendingOrder(I, OrderKind::Arm, Version, HeldStep);
      }
    }
    break;
  case SwitchPhase::Arming:
    if (hasNothingPending() && All(&Rank::IsArmed)) {
      Times.Armed = Now;
      release(true);
    }
    break;
  case SwitchPhase::RollingBack: {
    for (uint32_t I = 0; I < Ranks.size(); ++I) {
      Rank &R = Ranks[I];
      // Stop resending arm orders.
      if (R.PendingOrder && R.PendingOrder->Kind == OrderKind::Arm)
        R.PendingOrder.reset();
      if (!R.PendingOrder && R.AwaitedToken == 0)
        rollBackRank(I);
    }
    if (hasNothingPending())
      release(false);
    break;
  }
  }
}

void MapSwitch::finish(bool IsCompleted) {
  ++(IsCompleted ? Completed : Abandoned);
  resetChange();
}

std::vector<ReportRequest> MapSwitch::awaitedReports() const {
  std::vector<ReportRequest> Result;
  for (uint32_t I = 0; I < Ranks.size(); ++I)
    if (Ranks[I].AwaitedToken != 0)
      Result.push_back({I, Ranks[I].AwaitedToken, Ranks[I].AwaitedSince});
  return Result;
}

} // namespace ragwort::rankgroup
