//===- WaitQueue.h - Requests that wait for room at one service -----------===//
//
// Orders the waiting requests of one service. Requests that can no longer meet
// their target latency give way to all others, unless they came back after a
// refusal or a server has been sent them. Within these two, the more urgent go
// first, then the one that must start first. The last in this order gives way
// to an arrival that would start before it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_WAITQUEUE_H
#define RAGWORT_DISPATCH_WAITQUEUE_H

#include "ragwort/base/Time.h"
#include "ragwort/dispatch/Selection.h"
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
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
  /// Work that it needs, as a multiple of the service's usual request.
  double Work = 1;
  /// It was refused before and has come back: it may wait longer than others,
  /// and gives way to none that arrive later.
  bool HasComeBack = false;
  /// A server has been sent it. It goes first among requests of its priority
  /// and is never displaced.
  bool HasBeenSent = false;

  /// The regions that it is confined to; nothing if it is not.
  std::optional<RegionSet> Regions = std::nullopt;

  const RegionSet *regions() const { return Regions ? &*Regions : nullptr; }
  /// The servers of \p Service that it may be sent to.
  Selection among(std::string_view Service) const {
    return {Service, Excluded, regions()};
  }
  /// When it must start; among requests of one priority, the earliest is next.
  TimePoint startBy() const { return HasBeenSent ? Since : OnTimeUntil; }
};

/// \code
///   Queue.push(W);
///   while (auto Ticket = Queue.popFirst(
///              Now, [&](const Waiter &W) { return hasFreeSlotFor(W); }))
///     start(*Ticket);
/// \endcode
class WaitQueue {
public:
  void push(const Waiter &W) { Waiters.push_back(W); }
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
    std::erase_if(Waiters, Condition);
  }
  /// Removes the requests whose GiveUpAt has passed.
  std::vector<Waiter> takeExpired(TimePoint Now);
  /// Removes the last request in starting order that may be displaced, if \p W
  /// would start before it.
  std::optional<Waiter> displaceFor(const Waiter &W, TimePoint Now);
  /// The waiting requests in the order in which they start.
  std::vector<const Waiter *> startingOrder(TimePoint Now) const;
  /// The work of all requests that start before \p W.
  double workBefore(const Waiter &W, TimePoint Now) const;
  size_t size() const { return Waiters.size(); }

private:
  std::vector<Waiter> Waiters;
};

} // namespace ragwort::dispatch

#endif
