//===- CircuitBreaker.cpp - Circuit breaker for a backend server ----------===//
#include "ragwort/routing/CircuitBreaker.h"
#include <algorithm>

namespace ragwort::routing {

bool CircuitBreaker::allows(TimePoint Now) const {
  return !isOpen() || Now >= NextProbe;
}

void CircuitBreaker::onSent(TimePoint Now) {
  // Allow the next probe after one backoff, even if this probe never completes.
  if (isOpen())
    NextProbe = Now + Backoff;
}

void CircuitBreaker::onSuccess() {
  Failures = 0;
  Backoff = Duration{};
}

void CircuitBreaker::onFailure(TimePoint Now) {
  ++Failures;
  if (!isOpen())
    return;
  Backoff = Backoff == Duration{} ? Limits.InitialBackoff
                                  : std::min(2 * Backoff, Limits.MaxBackoff);
  NextProbe = Now + Backoff;
}

} // namespace ragwort::routing
