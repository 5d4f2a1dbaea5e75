//===- CallerPace.cpp - How fast a caller reads its answer ----------------===//
#include "ragwort/dispatch/CallerPace.h"

namespace ragwort::dispatch {

void CallerPace::update(uint64_t Taken, size_t Unread, TimePoint Now) {
  // What begins to wait now has not been waiting before.
  if (Taken != LastTaken || Unread == 0 || LastUnread == 0)
    TakenAt = Now;
  LastTaken = Taken;
  LastUnread = Unread;
}

PausedStep CallerPace::whilePaused(size_t Limit, bool IsExhausted,
                                   TimePoint Now) const {
  if (LastUnread <= Limit / 2)
    return PausedStep::Resume;
  if (Now - TakenAt >= MaxPause)
    return PausedStep::GiveUp;
  if (IsExhausted)
    return Now - PausedAt >= MaxPause ? PausedStep::GiveUp : PausedStep::Keep;
  bool IsTaking = TakenAt > PausedAt;
  return IsTaking && Now - PausedAt >= ReadInterval ? PausedStep::Resume
                                                    : PausedStep::Keep;
}

PausedStep CallerPace::whileAnswerPaused(bool IsExhausted,
                                         TimePoint Now) const {
  return !IsExhausted || Now - PausedAt >= ReadInterval ? PausedStep::Resume
                                                        : PausedStep::Keep;
}

} // namespace ragwort::dispatch
