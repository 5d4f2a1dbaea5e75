//===- Retry.h - Retry budget and backoff ---------------------------------===//
//
// Retries are paid from a budget that first tries fill, so that an outage
// multiplies the load by a known factor at most.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_RETRY_H
#define RAGWORT_ROUTING_RETRY_H

#include "ragwort/base/Time.h"
#include "ragwort/routing/Choosers.h"
#include <cstdint>

namespace ragwort::routing {

/// \code
///   RetryBudget Budget(10);
///   Budget.onFirstAttempt();
///   if (Budget.takeRetry()) ...
/// \endcode
class RetryBudget {
public:
  /// \p Percent is the number of retries for each hundred first tries.
  explicit RetryBudget(double Percent) : PerTry(Percent / 100) {}

  void setPercent(double Percent) { PerTry = Percent / 100; }
  void onFirstAttempt();
  /// Takes one retry from the budget. \returns false when it is spent.
  bool takeRetry();

private:
  // Enough for the first failures of a quiet node, too few to matter in a
  // flood.
  static constexpr double MaxTokens = 10;

  double PerTry;
  double Tokens = MaxTokens;
};

/// Delay before retry number \p Retry (from 0): exponential with full jitter.
Duration retryDelay(uint32_t Retry, Random &Rng);

} // namespace ragwort::routing

#endif
