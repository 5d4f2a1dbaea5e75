//===- StopSchedule.h - Which requests a node that stops still takes ------===//
#ifndef RAGWORT_GATEWAY_STOPSCHEDULE_H
#define RAGWORT_GATEWAY_STOPSCHEDULE_H

#include "ragwort/gateway/RouteDurations.h"
#include "ragwort/gateway/TrafficConfig.h"

namespace ragwort::gateway {

/// The times of one node's stop, and what it still promises to callers. See
/// docs/design/requests.md.
///
/// \code
///   StopSchedule Stop(Now, Grace);
///   if (!Stop.admits(Now, Deadline, assumedDuration(Known, Route, Tokens)))
///     refuse(503, Stop.retryAfter(Now));
/// \endcode
class StopSchedule {
public:
  StopSchedule(TimePoint Begun, Duration Grace);

  /// Until then callers may not have learned of the stop. Idle connections
  /// close at this time.
  TimePoint noticedAt() const { return NoticedAt; }
  /// From then on no new caller arrives.
  TimePoint stopsAcceptingAt() const { return StopsAcceptingAt; }
  /// The node exits then, whatever is left.
  TimePoint endsAt() const { return EndsAt; }

  /// Whether a request that was read at \p Now is taken. \p Assumed is its
  /// assumed duration. Before noticedAt() it is taken if it may be sent, later
  /// only if its deadline is before endsAt().
  bool admits(TimePoint Now, TimePoint Deadline, Duration Assumed) const;
  /// Until when a request may be sent to a server, so that it ends before
  /// endsAt().
  TimePoint latestSend(TimePoint Deadline, Duration Assumed) const;
  /// When a caller that was refused at \p Now should come back; other nodes
  /// serve it.
  Duration retryAfter(TimePoint Now) const;

private:
  TimePoint NoticedAt;
  TimePoint StopsAcceptingAt;
  TimePoint EndsAt;
};

/// How long a request is assumed to last when its node stops. One that may run
/// only once must not be cut: nearly all of its route end within this time, and
/// it is endless if nothing is known. Others are run again elsewhere if they
/// are cut: most of their route end within it, and it is zero if nothing is
/// known.
Duration assumedDuration(const RouteDurations &Known, const Route &Target,
                         double AnswerTokens);

} // namespace ragwort::gateway

#endif
