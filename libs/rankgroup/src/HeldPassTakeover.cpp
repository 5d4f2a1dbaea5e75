//===- HeldPassTakeover.cpp - Frees a group whose controller went silent --===//
#include "ragwort/rankgroup/HeldPassTakeover.h"
#include "ragwort/rankgroup/GroupController.h"
#include <algorithm>

namespace ragwort::rankgroup {

std::string_view toString(HeldPassTakeover::Stage Stage) {
  switch (Stage) {
  case HeldPassTakeover::Stage::HoldingOwn:
    return "holding-own";
  case HeldPassTakeover::Stage::Fencing:
    return "fencing";
  case HeldPassTakeover::Stage::ReleasingController:
    return "releasing-controller";
  case HeldPassTakeover::Stage::ReleasingOwn:
    return "releasing-own";
  case HeldPassTakeover::Stage::Freed:
    return "freed";
  case HeldPassTakeover::Stage::Needless:
    return "needless";
  }
  return "invalid";
}

HeldPassTakeover::HeldPassTakeover(uint32_t RankCount, uint32_t OwnRank,
                                   uint64_t Epoch, uint64_t HeldStep,
                                   ExpertMap MapInUse, uint64_t Salt)
    : OwnRank(OwnRank), Epoch(Epoch), HeldStep(HeldStep),
      InUse(std::move(MapInUse)), Salt(Salt), Ranks(RankCount) {
  giveOrder(OwnRank, OrderKind::Hold, 0);
}

uint64_t HeldPassTakeover::nextVersion() {
  HighestVersion = newerVersion(HighestVersion, Salt);
  return HighestVersion;
}

void HeldPassTakeover::giveOrder(uint32_t Index, OrderKind Kind,
                                 uint64_t Version) {
  Rank &R = Ranks[Index];
  RankOrder Order;
  Order.Kind = Kind;
  Order.Epoch = Epoch;
  Order.Version = Version;
  Order.Step = HeldStep;
  if (Kind == OrderKind::Prepare)
    Order.Map = InUse;
  R.Open = std::move(Order);
  R.IsSent = false;
}

void HeldPassTakeover::awaitReport(uint32_t Index, TimePoint Now) {
  Ranks[Index].AwaitedToken = NextNumber++;
  Ranks[Index].AwaitedSince = Now;
}

std::vector<SendOrder> HeldPassTakeover::takeOrders(TimePoint Now) {
  std::vector<SendOrder> Result;
  for (uint32_t I = 0; I < Ranks.size(); ++I) {
    Rank &R = Ranks[I];
    if (isOver() || !R.Open ||
        (R.IsSent && Now - R.SentAt < MapSwitch::ResendAfter))
      continue;
    R.IsSent = true;
    R.SentAt = Now;
    R.Number = NextNumber++;
    Result.push_back({I, R.Number, *R.Open});
  }
  return Result;
}

void HeldPassTakeover::onNoAnswer(uint32_t Index, uint64_t Number, TimePoint) {
  if (Ranks[Index].Number == Number)
    Ranks[Index].IsSent = false;
}

void HeldPassTakeover::onAnswer(uint32_t Index, uint64_t Number,
                                OrderAnswer Answer, TimePoint Now) {
  Rank &R = Ranks[Index];
  if (isOver() || !R.Open || R.Number != Number)
    return;
  OrderKind Kind = R.Open->Kind;
  R.Open.reset();
  switch (Current) {
  case Stage::HoldingOwn:
    if (Answer == OrderAnswer::Conflict) {
      Current = Stage::Needless; // The pass has begun.
      return;
    }
    Current = Stage::Fencing;
    // Only what is read from now on counts: the pass is held here.
    for (uint32_t I = 0; I < Ranks.size(); ++I)
      awaitReport(I, Now);
    return;
  case Stage::Fencing:
    onFencingAnswer(Index, Kind, Answer, Now);
    return;
  case Stage::ReleasingController:
    Current = Stage::ReleasingOwn;
    giveOrder(OwnRank, OrderKind::Release, 0);
    return;
  case Stage::ReleasingOwn:
    Current = Stage::Freed;
    return;
  case Stage::Freed:
  case Stage::Needless:
    return;
  }
}

void HeldPassTakeover::onFencingAnswer(uint32_t Index, OrderKind Kind,
                                       OrderAnswer Answer, TimePoint Now) {
  if (Kind != OrderKind::Prepare || Answer == OrderAnswer::Conflict) {
    // Disarmed, or armed in the meantime, or a newer version is known there.
    awaitReport(Index, Now);
    return;
  }
  Ranks[Index].IsFenced = true;
  bool AreFenced = std::all_of(Ranks.begin(), Ranks.end(),
                               [](const Rank &R) { return R.IsFenced; });
  if (!AreFenced)
    return;
  Current = Stage::ReleasingController;
  giveOrder(0, OrderKind::Release, 0);
}

void HeldPassTakeover::onReport(uint32_t Index, const EngineReport &Report,
                                uint64_t Token) {
  if (isOver() || Index >= Ranks.size() || Report.Epoch < Epoch)
    return;
  if (Report.Epoch > Epoch || Report.Step >= HeldStep) {
    Current = Stage::Needless;
    return;
  }
  HighestVersion =
      std::max({HighestVersion, Report.MapVersion, Report.Prepared.value_or(0),
                Report.Armed ? Report.Armed->Version : 0});
  Rank &R = Ranks[Index];
  if (R.AwaitedToken == 0 || Token < R.AwaitedToken)
    return;
  R.AwaitedToken = 0;
  if (Report.Armed && Report.Armed->Step == HeldStep)
    giveOrder(Index, OrderKind::Disarm, Report.Armed->Version);
  else if (Report.Armed)
    onFencingAnswer(Index, OrderKind::Prepare, OrderAnswer::Accepted,
                    R.AwaitedSince);
  else
    giveOrder(Index, OrderKind::Prepare, nextVersion());
}

std::vector<ReportRequest> HeldPassTakeover::awaitedReports() const {
  std::vector<ReportRequest> Result;
  for (uint32_t I = 0; I < Ranks.size(); ++I)
    if (!isOver() && Ranks[I].AwaitedToken != 0)
      Result.push_back({I, Ranks[I].AwaitedToken, Ranks[I].AwaitedSince});
  return Result;
}

} // namespace ragwort::rankgroup
