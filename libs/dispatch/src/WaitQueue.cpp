//===- WaitQueue.cpp - Requests that wait for room at one service ---------===//
#include "ragwort/dispatch/WaitQueue.h"
#include <algorithm>
#include <tuple>

namespace ragwort::dispatch {

namespace {

auto startingKey(const Waiter &W, TimePoint Now) {
  bool GivesWay = !W.HasComeBack && !W.HasBeenSent && Now > W.OnTimeUntil;
  return std::tuple(GivesWay, W.Priority, W.startBy(), W.Ticket);
}

} // namespace

void WaitQueue::remove(uint64_t Ticket) {
  std::erase_if(Waiters,
                [Ticket](const Waiter &W) { return W.Ticket == Ticket; });
}

std::vector<const Waiter *> WaitQueue::startingOrder(TimePoint Now) const {
  std::vector<const Waiter *> Order;
  Order.reserve(Waiters.size());
  for (const Waiter &W : Waiters)
    Order.push_back(&W);
  std::sort(Order.begin(), Order.end(),
            [Now](const Waiter *A, const Waiter *B) {
              return startingKey(*A, Now) < startingKey(*B, Now);
            });
  return Order;
}

std::vector<Waiter> WaitQueue::takeExpired(TimePoint Now) {
  auto FirstExpired = std::stable_partition(
      Waiters.begin(), Waiters.end(),
      [Now](const Waiter &W) { return Now < W.GiveUpAt; });
  std::vector<Waiter> Expired(FirstExpired, Waiters.end());
  Waiters.erase(FirstExpired, Waiters.end());
  return Expired;
}

std::optional<Waiter> WaitQueue::displaceFor(const Waiter &W, TimePoint Now) {
  std::vector<const Waiter *> Order = startingOrder(Now);
  auto Last = std::find_if(Order.rbegin(), Order.rend(),
                           [](const Waiter *Any) { return !Any->HasBeenSent; });
  if (Last == Order.rend() || startingKey(**Last, Now) < startingKey(W, Now))
    return std::nullopt;
  Waiter Displaced = **Last;
  remove(Displaced.Ticket);
  return Displaced;
}

double WaitQueue::workBefore(const Waiter &W, TimePoint Now) const {
  double Sum = 0;
  for (const Waiter &Other : Waiters)
    if (startingKey(Other, Now) < startingKey(W, Now))
      Sum += Other.Work;
  return Sum;
}

} // namespace ragwort::dispatch
