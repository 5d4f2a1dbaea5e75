//===- RetryBudget.h - This node's share of the retry budget --------------===//
//
// Limits retries, which would otherwise multiply the load while servers are
// failing. Over a sliding window the fleet may retry a fixed ratio of its
// requests plus a fixed allowance. Each node uses the ratio of its own requests
// and an equal share of the allowance, so the fleet stays within the limit
// without communication between nodes. FleetSize.h tells how they are counted.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_RETRYBUDGET_H
#define RAGWORT_DISPATCH_RETRYBUDGET_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace ragwort::dispatch {

/// Limits for the whole fleet.
struct RetryBudgetLimits {
  /// Retries allowed per request.
  double Ratio = 0.2;
  /// Retries per window that the whole fleet may make beyond the ratio.
  double Allowance = 0;
  Duration Window = std::chrono::seconds(10);
};

/// The retry budget of one service.
///
/// \code
///   Budget.recordRequest(Now);
///   if (Budget.hasRoom(Now, Fleet.nodes(Now))) {
///     Budget.spend(Now);
///     sendAgain();
///   }
/// \endcode
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetLimits Limits) : Limits(Limits) {}

  void recordRequest(TimePoint Now);
  /// Whether a retry is allowed now. \p Nodes is the number of nodes that share
  /// the allowance; this node has no share while it is unknown.
  bool hasRoom(TimePoint Now, std::optional<size_t> Nodes);
  /// Counts a retry.
  void spend(TimePoint Now);

private:
  void expire(TimePoint Now);

  const RetryBudgetLimits Limits;
  // Times of the requests and retries within the window, oldest first.
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
};

} // namespace ragwort::dispatch

#endif
