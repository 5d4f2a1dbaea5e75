//===- WaitQueue.h - Requests that wait for a slot at one service ---------===//
//
// Orders the waiting requests of one service while all its servers are full, to
// bridge short overloads. Requests that can still meet their target latency go
// first, the others follow, and those whose answer would come after the
// caller's timeout are removed. During longer overloads the Dispatcher refuses
// requests on arrival if their predicted wait is too long.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_WAITQUEUE_H
#define RAGWORT_DISPATCH_WAITQUEUE_H

#include "ragwort/base/Time.h"
#include "ragwort/dispatch/RegionSet.h"
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace ragwort::dispatch {

/// A waiting request.
struct Waiter {
  uint64_t Ticket = 0;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  TimePoint Since;
  /// Latest start time for an answer within the target latency.
  TimePoint OnTimeUntil;
  /// Time at which the request is removed from the queue.
  TimePoint GiveUpAt;
  /// Instances that have already failed or declined the request.
  std::vector<std::string> Excluded;
  /// The regions that the request is confined to; nothing if it is not.
  std::optional<RegionSet> Regions = std::nullopt;

  const RegionSet *regions() const { return Regions ? &*Regions : nullptr; }
};

/// \code
///   Queue.push({Ticket, Priority, Now, OnTimeUntil, GiveUpAt, Excluded});
///   while (auto Ticket = Queue.popFirst(
///              Now, [&](const Waiter &W) { return hasFreeSlotFor(W); }))
///     start(*Ticket);
/// \endcode
class WaitQueue {
public:
  void push(const Waiter &W);
  void remove(uint64_t Ticket);
  /// Removes the first request in starting order that satisfies \p CanStart.
  /// \returns its ticket, or nothing if there is none.
  template <std::predicate<const Waiter &> Condition>
  std::optional<uint64_t> popFirst(TimePoint Now, Condition CanStart) {
    for (const Waiter *Next : startingOrder(Now))
      if (CanStart(*Next)) {
        uint64_t Ticket = Next->Ticket;
        remove(Ticket);
        return Ticket;
      }
    return std::nullopt;
  }
  /// Removes the requests that satisfy \p Condition, which is called once for
  /// each.
  template <std::predicate<const Waiter &> Predicate>
  void takeIf(Predicate Condition) {
    std::erase_if(Waiters, [&](const auto &Item) {
      if (!Condition(Item.second))
        return false;
      KeyByTicket.erase(Item.second.Ticket);
      return true;
    });
  }
  /// Removes the requests whose GiveUpAt has passed. \returns their tickets.
  std::vector<uint64_t> takeExpired(TimePoint Now);
  size_t size() const { return Waiters.size(); }

private:
  std::vector<const Waiter *> startingOrder(TimePoint Now) const;

  // Priority, time of joining the queue, ticket.
  using SortKey = std::tuple<uint32_t, TimePoint, uint64_t>;
  std::map<SortKey, Waiter> Waiters;
  // Ticket -> key in Waiters.
  std::map<uint64_t, SortKey> KeyByTicket;
};

/// Rate at which a service's requests have been completing at this node, from
/// which the wait of a new request is predicted.
class DrainRate {
public:
  void record(TimePoint Now);
  /// Predicted time for \p Ahead requests to complete; nothing if there was no
  /// completion within the window.
  std::optional<Duration> timeToComplete(size_t Ahead, TimePoint Now);

private:
  static constexpr Duration Window = std::chrono::seconds(2);
  std::vector<TimePoint> Completions;
};

} // namespace ragwort::dispatch

#endif
