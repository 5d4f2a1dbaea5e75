//===- StopSchedule.h - Which requests a node that stops still takes ------===//
#ifndef RAGWORT_GATEWAY_STOPSCHEDULE_H
#define RAGWORT_GATEWAY_STOPSCHEDULE_H

#include "ragwort/base/Time.h"
#include <optional>

namespace ragwort::gateway {

/// The times of one node's stop, and what it still promises to callers. See
/// docs/design/requests.md.
///
/// \code
///   StopSchedule Stop(Now, Grace);
///   if (!Stop.admits(Now, Deadline, Usual))
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

  /// Whether a request that was read at \p Now is taken. \p Usual is how long
  /// such requests have taken lately. Before noticedAt() it is taken if it
  /// usually ends before endsAt(), later only if its deadline is before that.
  bool admits(TimePoint Now, TimePoint Deadline,
              std::optional<Duration> Usual) const;
  /// When a caller that was refused at \p Now should come back; other nodes
  /// serve it.
  Duration retryAfter(TimePoint Now) const;

private:
  TimePoint NoticedAt;
  TimePoint StopsAcceptingAt;
  TimePoint EndsAt;
};

} // namespace ragwort::gateway

#endif
