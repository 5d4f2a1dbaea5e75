//===- Retry.cpp - Retry budget and backoff -------------------------------===//
#include "ragwort/routing/Retry.h"
#include <algorithm>

namespace ragwort::routing {

namespace {

using namespace std::chrono_literals;

constexpr Duration BaseDelay = 5ms;
constexpr Duration MaxDelay = 1s;
// Bounds the shift in retryDelay(); the delay reaches MaxDelay earlier.
constexpr uint32_t MaxDoublings = 10;

} // namespace

void RetryBudget::onFirstAttempt() {
  Tokens = std::min(MaxTokens, Tokens + TokensPerAttempt);
}

bool RetryBudget::takeRetry() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

Duration retryDelay(uint32_t Retry, Random &Rng) {
  Duration DelayCap = BaseDelay * (1 << std::min(Retry, MaxDoublings));
  DelayCap = std::min(DelayCap, MaxDelay);
  return Duration(
      std::uniform_int_distribution<int64_t>(0, DelayCap.count())(Rng));
}

} // namespace ragwort::routing
