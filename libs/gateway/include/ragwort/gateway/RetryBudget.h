//===- RetryBudget.h - This node's part of the budget for repeats ---------===//
//
// Repeats multiply a load just when servers are weakest. The fleet allows
// them a ratio of its requests and a fixed allowance over a sliding window.
// Each node spends its own arrivals' ratio and an even part of the allowance,
// so the sum over all nodes stays within the bound without an exchange.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_RETRYBUDGET_H
#define RAGWORT_GATEWAY_RETRYBUDGET_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <deque>

namespace ragwort::gateway {

/// The bound that holds for the fleet.
struct RetryBudgetLimits {
  /// Repeats allowed for each request.
  double Ratio = 0.2;
  /// Repeats allowed beyond the ratio, for the whole fleet.
  double Allowance = 0;
  Duration Window = std::chrono::seconds(10);
};

/// Repeats to one service.
///
/// \code
///   Budget.recordRequest(Now);
///   if (Budget.hasRoom(Now, LiveNodes)) {
///     Budget.spend(Now);
///     sendAgain();
///   }
/// \endcode
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetLimits Limits) : Limits(Limits) {}

  void recordRequest(TimePoint Now);
  /// Whether a repeat is allowed now; \p Nodes share the allowance.
  bool hasRoom(TimePoint Now, size_t Nodes);
  void spend(TimePoint Now);

private:
  void expire(TimePoint Now);

  const RetryBudgetLimits Limits;
  // Instants within the window, oldest first.
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Repeats;
};

} // namespace ragwort::gateway

#endif
