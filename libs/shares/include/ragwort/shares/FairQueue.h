//===- FairQueue.h - Weighted fair queueing between organisations ---------===//
//
// Start-time fair queueing: each item gets a virtual start tag, and the queue
// serves the organisation with the smallest one. An organisation that waits
// gets capacity in proportion to its weight; an idle one saves up nothing, so
// unused share is lent and taken back at once.
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

/// Weight of an organisation whose agreement names no share.
inline constexpr double MinWeight = 0.01;

/// How an item is queued.
struct QueueTicket {
  std::string Organisation;
  /// Agreed share; values below MinWeight are raised to it.
  double Weight = 1;
  /// Higher values are served first within the organisation and refused last.
  uint32_t Priority = 0;
  /// Expected use of capacity, in any unit that is the same for all items.
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

  /// Queues an item. When the queue is full, the item of lowest priority of
  /// the organisation that exceeds its share the most is returned instead;
  /// that may be \p Value itself.
  std::optional<Item> push(const QueueTicket &Ticket, Item Value) {
    Flow &Target = Flows[Ticket.Organisation];
    Target.Weight = std::max(Ticket.Weight, MinWeight);
    insert(Target, Entry{Ticket, std::move(Value)});
    if (++Count <= MaxItems)
      return std::nullopt;
    return evict();
  }

  /// The item to serve next, or nothing when empty.
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

  /// Removes and returns every item, for a planned stop.
  std::vector<Item> clear() {
    return removeIf([](const Entry &) { return true; });
  }

  /// Removes the first item for which \p Matches holds.
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
  /// Applies to the next push; what is queued beyond it stays.
  void setMaxItems(size_t Most) { MaxItems = Most; }

private:
  struct Entry {
    QueueTicket Ticket;
    Item Value;
  };
  struct Flow {
    double Weight = 1;
    // Virtual time at which the flow's last served item ends.
    double FinishTag = 0;
    // Invariant: sorted by priority, highest first, then by arrival.
    std::deque<Entry> Entries;
  };

  double startTag(const Flow &F) const {
    return std::max(F.FinishTag, VirtualTime);
  }

  void insert(Flow &Target, Entry E) {
    auto Place = std::find_if(
        Target.Entries.begin(), Target.Entries.end(), [&](const Entry &Other) {
          return Other.Ticket.Priority < E.Ticket.Priority;
        });
    Target.Entries.insert(Place, std::move(E));
  }

  std::optional<Item> evict() {
    // Lowest priority first; among those, the flow that takes most of the
    // queue for its share of it; in it, the newest item.
    double TotalWeight = 0;
    for (const auto &[Name, F] : Flows)
      TotalWeight += F.Entries.empty() ? 0 : F.Weight;
    double ItemsPerWeight = static_cast<double>(MaxItems) / TotalWeight;
    auto Worst = Flows.end();
    for (auto It = Flows.begin(); It != Flows.end(); ++It) {
      if (It->second.Entries.empty())
        continue;
      if (Worst == Flows.end() ||
          isWorse(It->second, Worst->second, ItemsPerWeight))
        Worst = It;
    }
    Item Evicted = std::move(Worst->second.Entries.back().Value);
    Worst->second.Entries.pop_back();
    --Count;
    return Evicted;
  }

  static bool isWorse(const Flow &A, const Flow &B, double ItemsPerWeight) {
    uint32_t PriorityA = A.Entries.back().Ticket.Priority;
    uint32_t PriorityB = B.Entries.back().Ticket.Priority;
    if (PriorityA != PriorityB)
      return PriorityA < PriorityB;
    // Everyone may hold one item: a small share of a short queue would
    // otherwise be no place at all.
    auto Excess = [&](const Flow &F) {
      return static_cast<double>(F.Entries.size()) /
             std::max(1.0, F.Weight * ItemsPerWeight);
    };
    return Excess(A) > Excess(B);
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

  // Thousands of organisations pass through; those whose tags no longer
  // matter are forgotten once they are many.
  void dropIdleFlows() {
    constexpr size_t ManyFlows = 1024;
    if (Flows.size() < ManyFlows)
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
