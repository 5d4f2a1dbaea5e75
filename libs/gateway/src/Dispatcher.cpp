//===- Dispatcher.cpp - Send, wait or refuse ------------------------------===//
#include "ragwort/gateway/Dispatcher.h"
#include <algorithm>

namespace ragwort::gateway {

std::string_view toString(PlacementRefusal Value) {
  switch (Value) {
  case PlacementRefusal::NoServer:
    return "no-server";
  case PlacementRefusal::Recovering:
    return "servers-recovering";
  case PlacementRefusal::Overloaded:
    return "overloaded";
  }
  return "invalid";
}

namespace {

// Requests beyond its slots that a batching server is given, so that a slot
// that frees between two heartbeats is filled at once.
constexpr uint32_t BatchedMargin = 2;
// Part of the latency target that may pass in the queue with the answer still
// on time.
constexpr double OnTimeQueueFraction = 0.5;
// Part of the caller's patience after which waiting is given up: the rest is
// needed for the answer itself.
constexpr double GiveUpFraction = 0.6;
// The same while no server works: nothing runs ahead of the request then, and
// callers come back only once, so the most is made of each try.
constexpr double RecoveringGiveUpFraction = 0.8;
// Bounds of the return time that is told.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(2500);
// Callers that were refused together return spread by this part of the time.
constexpr double RetryAfterSpread = 0.5;

Duration scaled(Duration Length, double Factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Length.count()) * Factor));
}

} // namespace

Dispatcher::Dispatcher(std::string LocalDataCentre, RetryBudgetLimits Budget,
                       uint64_t Seed)
    : Tracker(std::move(LocalDataCentre), Seed), Budget(Budget), Random(~Seed) {
}

Dispatcher::Desk &Dispatcher::desk(std::string_view Service) {
  auto Found = Desks.find(Service);
  if (Found == Desks.end())
    Found = Desks.emplace(std::string(Service), Desk(Budget)).first;
  return Found->second;
}

bool Dispatcher::hasRoom(const Choice &C, bool IsBatched) const {
  uint32_t Slots = C.Server->Slots;
  return C.InFlight < Slots + (IsBatched ? BatchedMargin : Slots);
}

Duration Dispatcher::retryAfter(Desk &D, bool IsRecovering, TimePoint Now) {
  Duration Wait = IsRecovering ? RecoveringRetryAfter
                               : D.Drain.timeToComplete(D.Queue.size() + 1, Now)
                                     .value_or(MaxRetryAfter);
  std::uniform_real_distribution<double> Spread(1.0, 1.0 + RetryAfterSpread);
  return std::min(
      scaled(std::clamp(Wait, MinRetryAfter, MaxRetryAfter), Spread(Random)),
      MaxRetryAfter);
}

Placement Dispatcher::refuse(PlacementRefusal Refusal,
                             Duration RetryAfter) const {
  Placement P;
  P.Result = Placement::Decision::Refuse;
  P.Refusal = Refusal;
  P.RetryAfter = RetryAfter;
  return P;
}

TimePoint Dispatcher::giveUpAt(const PlacementRequest &R, bool IsRecovering) {
  return R.Arrived +
         scaled(R.ExpiresAt - R.Arrived,
                IsRecovering ? RecoveringGiveUpFraction : GiveUpFraction);
}

Placement Dispatcher::wait(Desk &D, const PlacementRequest &R,
                           TimePoint GiveUpAt, TimePoint Now) {
  Placement P;
  P.Result = Placement::Decision::Wait;
  P.Ticket = NextTicket++;
  D.Queue.push({P.Ticket, R.Priority, Now,
                R.Arrived + scaled(R.TargetLatency, OnTimeQueueFraction),
                GiveUpAt});
  return P;
}

Placement Dispatcher::place(const PlacementRequest &R, TimePoint Now) {
  Desk &D = desk(R.Service);
  D.IsBatched = R.IsBatched;
  std::optional<Choice> Best = Tracker.choose(R.Service, R.Excluded, Now);
  if (Best && hasRoom(*Best, R.IsBatched)) {
    Placement P;
    P.Result = Placement::Decision::Send;
    P.Server = *Best->Server;
    P.InFlight = Best->InFlight;
    return P;
  }
  bool IsRecovering = !Best && Tracker.isRecovering(R.Service);
  if (!Best && !IsRecovering)
    return refuse(PlacementRefusal::NoServer, NoServerRetryAfter);
  TimePoint GiveUpAt = giveUpAt(R, IsRecovering);
  bool IsHopeless = D.Queue.size() >= MaxWaiting || Now >= GiveUpAt;
  if (!IsRecovering) {
    std::optional<Duration> Wait =
        D.Drain.timeToComplete(D.Queue.size() + 1, Now);
    IsHopeless |= Wait && Now + *Wait >= GiveUpAt;
  }
  if (IsHopeless)
    return refuse(IsRecovering ? PlacementRefusal::Recovering
                               : PlacementRefusal::Overloaded,
                  retryAfter(D, IsRecovering, Now));
  return wait(D, R, GiveUpAt, Now);
}

bool Dispatcher::hasFreeServer(std::string_view Service,
                               std::span<const std::string> Excluded,
                               TimePoint Now) {
  std::optional<Choice> Best = Tracker.choose(Service, Excluded, Now);
  return Best && Best->HasFreeSlot;
}

void Dispatcher::cancelWait(std::string_view Service, uint64_t Ticket) {
  desk(Service).Queue.remove(Ticket);
}

std::vector<DequeuedRequest> Dispatcher::takeReady(TimePoint Now) {
  std::vector<DequeuedRequest> Result;
  for (auto &[Service, D] : Desks) {
    bool IsRecovering = Tracker.isRecovering(Service);
    for (uint64_t Ticket : D.Queue.takeExpired(Now))
      Result.push_back({Ticket, true, retryAfter(D, IsRecovering, Now)});
    if (D.Queue.size() == 0)
      continue;
    std::optional<Choice> Best = Tracker.choose(Service, {}, Now);
    if (!Best || !hasRoom(*Best, D.IsBatched))
      continue;
    if (std::optional<uint64_t> Ticket = D.Queue.pop(Now))
      Result.push_back({*Ticket, false, Duration(0)});
  }
  return Result;
}

size_t Dispatcher::waiting() const {
  size_t Total = 0;
  for (const auto &[Service, D] : Desks)
    Total += D.Queue.size();
  return Total;
}

void Dispatcher::onEnded(std::string_view Service, std::string_view Id,
                         TimePoint Now) {
  Tracker.onEnded(Id);
  desk(Service).Drain.record(Now);
}

void Dispatcher::onRequest(std::string_view Service, TimePoint Now) {
  desk(Service).Budget.recordRequest(Now);
}

bool Dispatcher::hasRetryBudget(std::string_view Service, TimePoint Now) {
  return desk(Service).Budget.hasRoom(Now, Nodes);
}

void Dispatcher::onRetry(std::string_view Service, TimePoint Now) {
  desk(Service).Budget.spend(Now);
}

} // namespace ragwort::gateway
