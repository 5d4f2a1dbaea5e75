//===- Retry.cpp - Retry budget and backoff -------------------------------===//
#include "ragwort/routing/Retry.h"
#include <algorithm>

namespace ragwort::routing {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstDelay = 5ms;
constexpr Duration LongestDelay = 1s;
constexpr uint32_t MaxDoublings = 10;

} // namespace

void RetryBudget::onFirstAttempt() {
  Tokens = std::min(MaxTokens, Tokens + PerTry);
}

bool RetryBudget::takeRetry() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

Duration retryDelay(uint32_t Retry, Random &Rng) {
  Duration Highest = FirstDelay * (1 << std::min(Retry, MaxDoublings));
  Highest = std::min(Highest, LongestDelay);
  return Duration(
      std::uniform_int_distribution<int64_t>(0, Highest.count())(Rng));
}

} // namespace ragwort::routing
