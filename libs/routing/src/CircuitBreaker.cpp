//===- CircuitBreaker.cpp - Opening, probing, closing ---------------------===//
#include "ragwort/routing/CircuitBreaker.h"
#include <algorithm>

namespace ragwort::routing {

bool CircuitBreaker::allows(TimePoint Now) const {
  return !isOpen() || Now >= NextProbe;
}

void CircuitBreaker::onSent(TimePoint Now) {
  // The probe in progress keeps others away for one pause, also when its
  // answer never comes.
  if (isOpen())
    NextProbe = Now + Pause;
}

void CircuitBreaker::onSuccess() {
  Failures = 0;
  Pause = Duration{};
}

void CircuitBreaker::onFailure(TimePoint Now) {
  ++Failures;
  if (!isOpen())
    return;
  Pause = Pause == Duration{} ? Limits.InitialBackoff
                              : std::min(2 * Pause, Limits.MaxBackoff);
  NextProbe = Now + Pause;
}

} // namespace ragwort::routing
