//===- HeartbeatSchedule.cpp - When an agent reads its engine and reports -===//
#include "ragwort/rankgroup/HeartbeatSchedule.h"

namespace ragwort::rankgroup {

namespace {

// Timers fire a little early or late. The slack keeps a heartbeat from being
// delayed by a whole interval when its timer fires early.
constexpr Duration TimerSlack = std::chrono::milliseconds(5);

} // namespace

bool HeartbeatSchedule::onReport(const EngineReport &Report, TimePoint Now) {
  bool HasOpened = Report.IsOpen && Report.Epoch != Epoch;
  if (HasOpened) {
    Epoch = Report.Epoch;
    OpeningUntil = Now + OpeningTime;
    Preparing = 0;
  }
  bool IsCopied = Preparing != 0 && Report.Prepared == Preparing;
  if (IsCopied || Now >= PreparingUntil)
    Preparing = 0;
  Duration Usual = isOpening(Now) ? OpeningInterval : UsualInterval;
  bool HasSwitched = IsArmed && Report.MapVersion != SentMapVersion;
  IsArmed = Report.Armed.has_value();
  bool IsDue = IsCopied || HasSwitched || Now - SentAt + TimerSlack >= Usual;
  if (IsDue) {
    SentAt = Now;
    SentMapVersion = Report.MapVersion;
  }
  return IsDue;
}

void HeartbeatSchedule::onPrepareAccepted(uint64_t Version, TimePoint Now) {
  Preparing = Version;
  PreparingUntil = Now + CopyTimeout;
}

Duration HeartbeatSchedule::interval(TimePoint Now) const {
  if (Preparing != 0 || IsArmed)
    return CopyInterval;
  return isOpening(Now) ? OpeningInterval : UsualInterval;
}

} // namespace ragwort::rankgroup
