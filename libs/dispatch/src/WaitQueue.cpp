//===- WaitQueue.cpp - Requests that wait for a slot at one service -------===//
#include "ragwort/dispatch/WaitQueue.h"
#include <algorithm>

namespace ragwort::dispatch {

void WaitQueue::push(const Waiter &W) {
  SortKey Key(W.Priority, W.Since, W.Ticket);
  Waiters.emplace(Key, W);
  KeyByTicket.emplace(W.Ticket, Key);
}

void WaitQueue::remove(uint64_t Ticket) {
  auto Found = KeyByTicket.find(Ticket);
  if (Found == KeyByTicket.end())
    return;
  Waiters.erase(Found->second);
  KeyByTicket.erase(Found);
}

std::vector<const Waiter *> WaitQueue::startingOrder(TimePoint Now) const {
  std::vector<const Waiter *> Order;
  Order.reserve(Waiters.size());
  for (const auto &[Key, W] : Waiters)
    Order.push_back(&W);
  std::stable_partition(Order.begin(), Order.end(), [Now](const Waiter *W) {
    return Now <= W->OnTimeUntil;
  });
  return Order;
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

void DrainRate::record(TimePoint Now) { Completions.push_back(Now); }

std::optional<Duration> DrainRate::timeToComplete(size_t Ahead, TimePoint Now) {
  std::erase_if(Completions, [Now](TimePoint Completion) {
    return Now - Completion > Window;
  });
  if (Completions.empty())
    return std::nullopt;
  return Window * static_cast<int64_t>(Ahead) /
         static_cast<int64_t>(Completions.size());
}

} // namespace ragwort::dispatch
