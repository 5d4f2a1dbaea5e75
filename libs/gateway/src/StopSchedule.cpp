//===- StopSchedule.cpp - Which requests a node that stops still takes ----===//
#include "ragwort/gateway/StopSchedule.h"
#include <algorithm>

namespace ragwort::gateway {

namespace {

// The load balancer in front probes once a second and removes a node after two
// failed probes. New callers may arrive until then.
constexpr Duration ProbeRemovalDelay = std::chrono::milliseconds(3200);
// Requests that are sent later than 3 s after the signal must be answered
// completely. The process may receive the signal with some delay.
constexpr Duration NoticeDelay = std::chrono::milliseconds(2800);
// Time reserved at the end of the grace period for the process to exit.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(200);

} // namespace

StopSchedule::StopSchedule(TimePoint Begun, Duration Grace)
    : NoticedAt(Begun + std::min(NoticeDelay, Grace * 7 / 20)),
      StopsAcceptingAt(Begun + std::min(ProbeRemovalDelay, Grace * 2 / 5)),
      EndsAt(Begun + Grace - StopMargin) {}

bool StopSchedule::admits(TimePoint Now, TimePoint Deadline,
                          Duration Assumed) const {
  return Deadline <= EndsAt ||
         (Now < NoticedAt && Now <= latestSend(Deadline, Assumed));
}

TimePoint StopSchedule::latestSend(TimePoint Deadline, Duration Assumed) const {
  return Deadline <= EndsAt ? TimePoint::max() : EndsAt - Assumed;
}

Duration StopSchedule::retryAfter(TimePoint Now) const {
  return std::clamp(StopsAcceptingAt - Now, Duration(0), MaxRetryAfter);
}

Duration assumedDuration(const RouteDurations &Known, const Route &Target,
                         double AnswerTokens) {
  if (Target.Repeat == Repeatability::AtMostOnce)
    return Known.ofNearlyAll(Target.Name, AnswerTokens)
        .value_or(Duration::max());
  return Known.ofMost(Target.Name, AnswerTokens).value_or(Duration(0));
}

} // namespace ragwort::gateway
