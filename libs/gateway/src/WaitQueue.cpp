//===- WaitQueue.cpp - Requests that wait for a slot at one service -------===//
#include "ragwort/gateway/WaitQueue.h"
#include <algorithm>

namespace ragwort::gateway {

void WaitQueue::push(const Waiter &W) {
  Order Key(W.Priority, W.Since, W.Ticket);
  Waiters.emplace(Key, W);
  Places.emplace(W.Ticket, Key);
}

void WaitQueue::remove(uint64_t Ticket) {
  auto Place = Places.find(Ticket);
  if (Place == Places.end())
    return;
  Waiters.erase(Place->second);
  Places.erase(Place);
}

std::optional<uint64_t> WaitQueue::pop(TimePoint Now) {
  if (Waiters.empty())
    return std::nullopt;
  auto Next = std::find_if(Waiters.begin(), Waiters.end(), [Now](auto &Item) {
    return Now <= Item.second.OnTimeUntil;
  });
  if (Next == Waiters.end())
    Next = Waiters.begin();
  uint64_t Ticket = Next->second.Ticket;
  remove(Ticket);
  return Ticket;
}

std::vector<uint64_t> WaitQueue::takeExpired(TimePoint Now) {
  std::vector<uint64_t> Expired;
  for (const auto &[Key, W] : Waiters)
    if (Now >= W.GiveUpAt)
      Expired.push_back(W.Ticket);
  for (uint64_t Ticket : Expired)
    remove(Ticket);
  return Expired;
}

void DrainRate::record(TimePoint Now) { Ends.push_back(Now); }

std::optional<Duration> DrainRate::timeToComplete(size_t Ahead, TimePoint Now) {
  std::erase_if(Ends, [Now](TimePoint End) { return Now - End > Window; });
  if (Ends.empty())
    return std::nullopt;
  return Window * static_cast<int64_t>(Ahead) /
         static_cast<int64_t>(Ends.size());
}

} // namespace ragwort::gateway
