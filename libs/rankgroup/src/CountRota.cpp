//===- CountRota.cpp - Which ranks report their counts when ---------------===//
#include "ragwort/rankgroup/CountRota.h"
#include "ragwort/rankgroup/HeartbeatSchedule.h"
#include <algorithm>
#include <cmath>

namespace ragwort::rankgroup {

void CountRota::setGroup(uint32_t NewRanks, uint32_t OwnRank, size_t Bytes) {
  if (NewRanks == Ranks && Bytes == BytesPerReport)
    return;
  Ranks = NewRanks;
  BytesPerReport = Bytes;
  UntilReport = OwnRank % period(HeartbeatSchedule::UsualInterval);
}

uint32_t CountRota::period(Duration Interval) const {
  auto ShareOfLink = [this](Duration Each) {
    double Seconds = std::chrono::duration<double>(Each).count();
    return static_cast<double>(Ranks) * static_cast<double>(BytesPerReport) /
           (Seconds * LinkBytesPerSecond);
  };
  if (LinkBytesPerSecond <= 0 ||
      ShareOfLink(HeartbeatSchedule::UsualInterval) <= MaxShareOfAll)
    return 1;
  return static_cast<uint32_t>(
      std::max(2.0, std::ceil(ShareOfLink(Interval) / ShareInTurns)));
}

CountTurn CountRota::next(Duration Interval) {
  uint32_t Period = period(Interval);
  if (Period == 1)
    return CountTurn::Report;
  if (UntilReport == 0) {
    UntilReport = Period - 1;
    // The counts of this report are the base if the next one follows at once.
    return CountTurn::Report;
  }
  UntilReport = std::min(UntilReport, Period - 1) - 1;
  return UntilReport == 0 ? CountTurn::ReadBase : CountTurn::None;
}

} // namespace ragwort::rankgroup
