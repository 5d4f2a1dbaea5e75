//===- RetryBudget.cpp - This node's share of the retry budget ------------===//
#include "ragwort/dispatch/RetryBudget.h"
#include <algorithm>

namespace ragwort::dispatch {

namespace {

// Fraction of the limit that a node uses. The rest covers windows that begin
// between two expiries and nodes that know of a few peers too few.
constexpr double SafeFraction = 0.7;

} // namespace

void RetryBudget::expire(TimePoint Now) {
  while (!Requests.empty() && Now - Requests.front() > Limits.Window)
    Requests.pop_front();
  while (!Retries.empty() && Now - Retries.front() > Limits.Window)
    Retries.pop_front();
}

void RetryBudget::recordRequest(TimePoint Now) {
  expire(Now);
  Requests.push_back(Now);
}

bool RetryBudget::hasRoom(TimePoint Now, std::optional<size_t> Nodes) {
  expire(Now);
  double Share = 0;
  if (Nodes)
    Share = Limits.Allowance / static_cast<double>(std::max<size_t>(*Nodes, 1));
  double Bound = SafeFraction *
                 (Limits.Ratio * static_cast<double>(Requests.size()) + Share);
  return static_cast<double>(Retries.size()) + 1 <= Bound;
}

void RetryBudget::spend(TimePoint Now) {
  expire(Now);
  Retries.push_back(Now);
}

} // namespace ragwort::dispatch
