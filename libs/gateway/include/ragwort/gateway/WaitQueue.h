//===- WaitQueue.h - Requests that wait for a slot at one service ---------===//
//
// Orders the requests of one service while every server is full. It answers to
// short overloads: requests that can still be on time go first, the others
// take what is left, and nobody waits past the time at which the answer would
// come too late. Longer overloads are refused on arrival by the predicted wait.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_WAITQUEUE_H
#define RAGWORT_GATEWAY_WAITQUEUE_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace ragwort::gateway {

/// A waiting request.
struct Waiter {
  uint64_t Ticket = 0;
  /// 0 is served first.
  uint32_t Priority = 0;
  TimePoint Since;
  /// Until when a start still gives an answer in time.
  TimePoint OnTimeUntil;
  /// When waiting longer is of no use to the caller.
  TimePoint GiveUpAt;
};

/// \code
///   Queue.push({Ticket, Priority, Now, OnTimeUntil, GiveUpAt});
///   while (hasFreeSlot())
///     start(Queue.pop(Now));
/// \endcode
class WaitQueue {
public:
  void push(const Waiter &W);
  void remove(uint64_t Ticket);
  /// The next request to start, if any waits.
  std::optional<uint64_t> pop(TimePoint Now);
  /// Takes out the requests whose time to give up has come.
  std::vector<uint64_t> takeExpired(TimePoint Now);
  size_t size() const { return Waiters.size(); }

private:
  // Priority, then arrival.
  using Order = std::tuple<uint32_t, TimePoint, uint64_t>;
  std::map<Order, Waiter> Waiters;
  // Ticket -> key in Waiters.
  std::map<uint64_t, Order> Places;
};

/// Completions of a service at this node over the last seconds, from which the
/// wait of a new request is predicted.
class DrainRate {
public:
  void record(TimePoint Now);
  /// How long \p Ahead requests take to leave; nothing while unknown.
  std::optional<Duration> timeToComplete(size_t Ahead, TimePoint Now);

private:
  static constexpr Duration Window = std::chrono::seconds(2);
  std::vector<TimePoint> Ends;
};

} // namespace ragwort::gateway

#endif
