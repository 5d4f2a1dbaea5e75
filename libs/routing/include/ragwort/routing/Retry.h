//===- Retry.h - Retry budget and backoff ---------------------------------===//
//
// Each first attempt of a request adds to the retry budget and each retry takes
// from it. This limits how much retries can multiply the load during an outage.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_RETRY_H
#define RAGWORT_ROUTING_RETRY_H

#include "ragwort/base/Time.h"
#include "ragwort/routing/Choosers.h"
#include <cstdint>

namespace ragwort::routing {

/// A token bucket for retries.
///
/// \code
///   RetryBudget Budget(10);
///   Budget.onFirstAttempt();
///   if (Budget.takeRetry()) ...
/// \endcode
class RetryBudget {
public:
  /// \p Percent is the number of retries allowed for every 100 first attempts.
  explicit RetryBudget(double Percent) : TokensPerAttempt(Percent / 100) {}

  void setPercent(double Percent) { TokensPerAttempt = Percent / 100; }
  /// Adds the share of one first attempt to the budget.
  void onFirstAttempt();
  /// Takes one retry from the budget. \returns false if the budget is
  /// exhausted.
  bool takeRetry();

private:
  // Capacity of the bucket: enough for the first failures of a node with little
  // traffic, and negligible under high load.
  static constexpr double MaxTokens = 10;

  double TokensPerAttempt;
  double Tokens = MaxTokens;
};

/// Delay before retry number \p Retry, counted from 0: exponential backoff with
/// full jitter.
Duration retryDelay(uint32_t Retry, Random &Rng);

} // namespace ragwort::routing

#endif
