//===- CircuitBreaker.h - Circuit breaker for a backend server ------------===//
//
// The breaker opens after a number of consecutive failures. While open, it
// allows one probe request at a time, with exponential backoff, and closes when
// a request succeeds.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_CIRCUITBREAKER_H
#define RAGWORT_ROUTING_CIRCUITBREAKER_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <string_view>

namespace ragwort::routing {

/// Settings of a circuit breaker.
struct BreakerLimits {
  /// Consecutive failures that open the breaker.
  uint32_t FailureThreshold = 3;
  /// Delay before the first probe; doubles with each failure up to MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(250);
  Duration MaxBackoff = std::chrono::seconds(4);
};

/// \code
///   CircuitBreaker Breaker{BreakerLimits()};
///   if (Breaker.allows(Now)) { Breaker.onSent(Now); ... Breaker.onSuccess(); }
/// \endcode
class CircuitBreaker {
public:
  explicit CircuitBreaker(BreakerLimits Limits) : Limits(Limits) {}

  /// Whether a request, or a probe if the breaker is open, may be sent.
  bool allows(TimePoint Now) const;
  /// Records that a request is sent. If the breaker is open, the request is the
  /// probe.
  void onSent(TimePoint Now);
  void onSuccess();
  void onFailure(TimePoint Now);
  bool isOpen() const { return Failures >= Limits.FailureThreshold; }
  /// "open" or "closed", for the admin interface.
  std::string_view stateName() const { return isOpen() ? "open" : "closed"; }

private:
  const BreakerLimits Limits;
  uint32_t Failures = 0;
  Duration Backoff{};
  // Earliest time of the next probe. Only used while the breaker is open.
  TimePoint NextProbe{};
};

} // namespace ragwort::routing

#endif
