//===- CircuitBreaker.h - Keeps work away from a failing backend server ---===//
//
// Opens after consecutive failures, then lets single probes through at growing
// intervals until one succeeds.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_CIRCUITBREAKER_H
#define RAGWORT_ROUTING_CIRCUITBREAKER_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <string_view>

namespace ragwort::routing {

/// Thresholds of a breaker.
struct BreakerLimits {
  uint32_t FailureThreshold = 3;
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

  /// Whether a request may be sent at \p Now.
  bool allows(TimePoint Now) const;
  /// Notes that a request is sent; an open breaker counts it as its probe.
  void onSent(TimePoint Now);
  void onSuccess();
  void onFailure(TimePoint Now);
  bool isOpen() const { return Failures >= Limits.FailureThreshold; }
  std::string_view stateName() const { return isOpen() ? "open" : "closed"; }

private:
  const BreakerLimits Limits;
  uint32_t Failures = 0;
  Duration Pause{};
  // Meaningful only while open: no probe before this time.
  TimePoint NextProbe{};
};

} // namespace ragwort::routing

#endif
