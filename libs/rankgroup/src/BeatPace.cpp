//===- BeatPace.cpp - How often an agent reports to its controller --------===//
#include "ragwort/rankgroup/BeatPace.h"

namespace ragwort::rankgroup {

namespace {

// Timers end a little early or late; a beat is not put off by a whole interval
// for that.
constexpr Duration TimerSlack = std::chrono::milliseconds(5);

} // namespace

bool BeatPace::onReport(const EngineReport &Report, TimePoint Now) {
  bool HasOpened = Report.IsOpen && Report.Epoch != Epoch;
  if (HasOpened) {
    Epoch = Report.Epoch;
    OpeningUntil = Now + OpeningTime;
    Preparing = 0;
  }
  bool IsCopied = Preparing != 0 && Report.Prepared == Preparing;
  if (IsCopied || Now >= PreparingUntil)
    Preparing = 0;
  bool IsDue =
      IsCopied || isOpening(Now) || Now - SentAt + TimerSlack >= UsualInterval;
  if (IsDue)
    SentAt = Now;
  return IsDue;
}

void BeatPace::onPrepareAccepted(uint64_t Version, TimePoint Now) {
  Preparing = Version;
  PreparingUntil = Now + LongestCopy;
}

Duration BeatPace::interval(TimePoint Now) const {
  return isOpening(Now) || Preparing != 0 ? ShortInterval : UsualInterval;
}

} // namespace ragwort::rankgroup
