//===- RetryBudget.cpp - This node's part of the budget for repeats -------===//
#include "ragwort/gateway/RetryBudget.h"
#include <algorithm>

namespace ragwort::gateway {

namespace {

// Part of the bound that is spent, so that windows which begin between two
// expiries and nodes that know of one peer too few stay within it.
constexpr double SafeFraction = 0.7;

} // namespace

void RetryBudget::expire(TimePoint Now) {
  while (!Requests.empty() && Now - Requests.front() > Limits.Window)
    Requests.pop_front();
  while (!Repeats.empty() && Now - Repeats.front() > Limits.Window)
    Repeats.pop_front();
}

void RetryBudget::recordRequest(TimePoint Now) {
  expire(Now);
  Requests.push_back(Now);
}

bool RetryBudget::hasRoom(TimePoint Now, size_t Nodes) {
  expire(Now);
  double Share =
      Limits.Allowance / static_cast<double>(std::max<size_t>(Nodes, 1));
  double Bound = SafeFraction *
                 (Limits.Ratio * static_cast<double>(Requests.size()) + Share);
  return static_cast<double>(Repeats.size()) + 1 <= Bound;
}

void RetryBudget::spend(TimePoint Now) {
  expire(Now);
  Repeats.push_back(Now);
}

} // namespace ragwort::gateway
