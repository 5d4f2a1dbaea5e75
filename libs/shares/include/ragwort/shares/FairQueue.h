//===- FairQueue.h - Weighted fair queueing between organisations ---------===//
//
// Implements start-time fair queueing (SFQ): the queue serves the organisation
// whose next item has the smallest virtual start tag. Organisations with queued
// items share the capacity in proportion to their weights. An idle organisation
// accumulates no credit: others use its share meanwhile, and it gets its share
// again as soon as it queues an item.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SHARES_FAIRQUEUE_H
#define RAGWORT_SHARES_FAIRQUEUE_H

#include "ragwort/base/Time.h"
#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::shares {

/// Weight of an organisation that has no configured share.
inline constexpr double MinWeight = 0.01;

/// Scheduling parameters of an item.
struct QueueTicket {
  std::string Organisation;
  /// Configured share of the organisation; raised to MinWeight if lower.
  double Weight = 1;
  /// Items of higher priority are served first within the organisation and are
  /// evicted last.
  uint32_t Priority = 0;
  /// Expected use of capacity, in an arbitrary unit that all items share.
  double Cost = 1;
  TimePoint Deadline = TimePoint::max();
};

/// A bounded queue of \p Item.
///
/// \code
///   FairQueue<int> Queue(100);
///   std::optional<int> Evicted = Queue.push({"north", 60}, 7);
///   std::optional<int> Next = Queue.pop();
/// \endcode
template <class Item> class FairQueue {
public:
  explicit FairQueue(size_t MaxItems) : MaxItems(MaxItems) {}

  /// Queues an item. If the queue is full, evicts and returns an item of the
  /// lowest priority in the queue: the newest one of the organisation that
  /// exceeds its share the most. That may be \p Value itself.
  std::optional<Item> push(const QueueTicket &Ticket, Item Value) {
    Flow &Target = Flows[Ticket.Organisation];
    Target.Weight = std::max(Ticket.Weight, MinWeight);
    insert(Target, Entry{Ticket, std::move(Value)});
    if (++Count <= MaxItems)
      return std::nullopt;
    return evict();
  }

  /// Removes and returns the item to serve next, or std::nullopt if the queue
  /// is empty.
  std::optional<Item> pop() {
    auto Best = Flows.end();
    for (auto It = Flows.begin(); It != Flows.end(); ++It) {
      if (It->second.Entries.empty())
        continue;
      if (Best == Flows.end() || startTag(It->second) < startTag(Best->second))
        Best = It;
    }
    if (Best == Flows.end())
      return std::nullopt;
    Flow &Chosen = Best->second;
    VirtualTime = startTag(Chosen);
    Entry First = std::move(Chosen.Entries.front());
    Chosen.Entries.pop_front();
    Chosen.FinishTag = VirtualTime + First.Ticket.Cost / Chosen.Weight;
    --Count;
    dropIdleFlows();
    return std::move(First.Value);
  }

  /// Removes and returns every item whose deadline is at or before \p Now.
  std::vector<Item> expire(TimePoint Now) {
    return removeIf([&](const Entry &E) { return E.Ticket.Deadline <= Now; });
  }

  /// Removes and returns every item, for a graceful shutdown.
  std::vector<Item> clear() {
    return removeIf([](const Entry &) { return true; });
  }

  /// Removes and returns the first item for which \p Matches returns true, or
  /// std::nullopt if there is none.
  template <class Predicate> std::optional<Item> remove(Predicate Matches) {
    bool IsFound = false;
    std::vector<Item> Removed = removeIf([&](const Entry &E) {
      bool IsHit = !IsFound && Matches(E.Value);
      IsFound |= IsHit;
      return IsHit;
    });
    if (Removed.empty())
      return std::nullopt;
    return std::move(Removed.front());
  }

  size_t size() const { return Count; }
  /// Sets the capacity for future pushes. Does not evict items that are already
  /// queued.
  void setMaxItems(size_t NewMaxItems) { MaxItems = NewMaxItems; }

private:
  struct Entry {
    QueueTicket Ticket;
    Item Value;
  };
  struct Flow {
    double Weight = 1;
    // Virtual finish time of the flow's last served item.
    double FinishTag = 0;
    // Invariant: sorted by priority, highest first, then by arrival.
    std::deque<Entry> Entries;
  };

  // Virtual start time of the flow's next item.
  double startTag(const Flow &F) const {
    return std::max(F.FinishTag, VirtualTime);
  }

  void insert(Flow &Target, Entry E) {
    auto It = std::find_if(Target.Entries.begin(), Target.Entries.end(),
                           [&](const Entry &Other) {
                             return Other.Ticket.Priority < E.Ticket.Priority;
                           });
    Target.Entries.insert(It, std::move(E));
  }

  std::optional<Item> evict() {
    // Choose the flows whose last entry has the lowest priority, of those the
    // one that exceeds its share of the queue the most, and evict its newest
    // entry.
    double TotalWeight = 0;
    for (const auto &[Name, F] : Flows)
      TotalWeight += F.Entries.empty() ? 0 : F.Weight;
    double ItemsPerWeight = static_cast<double>(MaxItems) / TotalWeight;
    auto Victim = Flows.end();
    for (auto It = Flows.begin(); It != Flows.end(); ++It) {
      if (It->second.Entries.empty())
        continue;
      if (Victim == Flows.end() ||
          isBetterVictim(It->second, Victim->second, ItemsPerWeight))
        Victim = It;
    }
    Item Evicted = std::move(Victim->second.Entries.back().Value);
    Victim->second.Entries.pop_back();
    --Count;
    return Evicted;
  }

  // Whether \p A is to lose an entry rather than \p B.
  static bool isBetterVictim(const Flow &A, const Flow &B,
                             double ItemsPerWeight) {
    uint32_t PriorityA = A.Entries.back().Ticket.Priority;
    uint32_t PriorityB = B.Entries.back().Ticket.Priority;
    if (PriorityA != PriorityB)
      return PriorityA < PriorityB;
    // Every flow is entitled to at least one item. A small share of a short
    // queue would otherwise be less than one item.
    auto Usage = [&](const Flow &F) {
      return static_cast<double>(F.Entries.size()) /
             std::max(1.0, F.Weight * ItemsPerWeight);
    };
    return Usage(A) > Usage(B);
  }

  template <class Predicate> std::vector<Item> removeIf(Predicate Matches) {
    std::vector<Item> Removed;
    for (auto &[Name, F] : Flows) {
      std::deque<Entry> Kept;
      for (Entry &E : F.Entries) {
        if (Matches(E))
          Removed.push_back(std::move(E.Value));
        else
          Kept.push_back(std::move(E));
      }
      F.Entries = std::move(Kept);
    }
    Count -= Removed.size();
    return Removed;
  }

  // Bounds the memory for flows, since thousands of organisations may use the
  // queue over time. An empty flow whose finish tag is not ahead of the virtual
  // time can be removed without effect on the order.
  void dropIdleFlows() {
    constexpr size_t CleanupThreshold = 1024;
    if (Flows.size() < CleanupThreshold)
      return;
    std::erase_if(Flows, [&](const auto &Pair) {
      return Pair.second.Entries.empty() &&
             Pair.second.FinishTag <= VirtualTime;
    });
  }

  size_t MaxItems;
  size_t Count = 0;
  // Invariant: never decreases.
  double VirtualTime = 0;
  std::map<std::string, Flow, std::less<>> Flows;
};

} // namespace ragwort::shares

#endif
