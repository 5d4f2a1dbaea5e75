//===- Dispatcher.cpp - Send, wait or refuse ------------------------------===//
#include "ragwort/dispatch/Dispatcher.h"
#include <algorithm>

namespace ragwort::dispatch {

std::string_view toString(PlacementRefusal Value) {
  switch (Value) {
  case PlacementRefusal::NoServer:
    return "no-server";
  case PlacementRefusal::Recovering:
    return "servers-recovering";
  case PlacementRefusal::Paused:
    return "servers-paused";
  case PlacementRefusal::RateLimited:
    return "servers-rate-limited";
  case PlacementRefusal::Overloaded:
    return "overloaded";
  }
  return "invalid";
}

namespace {

// Requests that a batching server may have beyond its slots, so that a slot
// that becomes free between two heartbeats is used at once.
constexpr uint32_t ExtraBatchedRequests = 2;
// Fraction of the target latency that a request may spend in the queue and
// still be answered on time.
constexpr double OnTimeQueueFraction = 0.5;
// Fraction of the caller's timeout after which a waiting request is given up;
// the rest is needed for the answer itself.
constexpr double GiveUpFraction = 0.6;
// The same while all servers are unavailable. No other requests run before this
// one then, and callers retry only once, so each attempt waits longer.
constexpr double RecoveringGiveUpFraction = 0.8;
// Bounds of the Retry-After time.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(2500);
// Random part of the Retry-After time, as a fraction of the rest.
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

Dispatcher::ServiceState &Dispatcher::stateOf(std::string_view Service) {
  auto Found = ServiceStates.find(Service);
  if (Found == ServiceStates.end())
    Found =
        ServiceStates.emplace(std::string(Service), ServiceState(Budget)).first;
  return Found->second;
}

bool Dispatcher::hasRoom(const Choice &C, bool IsBatched) const {
  uint32_t Slots = C.Server->Slots;
  // A server that does not batch may have twice as many requests as slots.
  return C.InFlight < Slots + (IsBatched ? ExtraBatchedRequests : Slots);
}

Duration Dispatcher::spread(Duration RetryAfter) {
  std::uniform_real_distribution<double> Factor(1.0, 1.0 + RetryAfterSpread);
  return scaled(RetryAfter, Factor(Random));
}

Duration Dispatcher::retryAfter(std::string_view Service, ServiceState &State,
                                std::span<const std::string> Excluded,
                                TimePoint Now) {
  Duration Wait = RecoveringRetryAfter;
  if (!Tracker.isRecovering(Service, Now)) {
    // A pause is stated by the servers, so its length is not limited here.
    if (!Tracker.choose({Service, Excluded}, Now))
      if (auto Turn = nextTurn(Service, State, Excluded, Now))
        return spread(std::max(*Turn - Now, MinRetryAfter));
    Wait = State.Drain.timeToComplete(State.Queue.size() + 1, Now)
               .value_or(MaxRetryAfter);
  }
  return std::min(spread(std::clamp(Wait, MinRetryAfter, MaxRetryAfter)),
                  MaxRetryAfter);
}

std::optional<TimePoint>
Dispatcher::nextTurn(std::string_view Service, const ServiceState &State,
                     std::span<const std::string> Excluded,
                     TimePoint Now) const {
  std::optional<TimePoint> Turn = Tracker.pauseEnd({Service, Excluded}, Now);
  double Rate = Tracker.ownRate(Service);
  if (Turn && Rate > 0)
    *Turn += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(State.Queue.size()) / Rate));
  return Turn;
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

Placement Dispatcher::wait(ServiceState &State, const PlacementRequest &R,
                           TimePoint GiveUpAt, TimePoint Now) {
  Placement P;
  P.Result = Placement::Decision::Wait;
  P.Ticket = NextTicket++;
  State.Queue.push({P.Ticket,
                    R.Priority,
                    Now,
                    R.Arrived + scaled(R.TargetLatency, OnTimeQueueFraction),
                    GiveUpAt,
                    {R.Excluded.begin(), R.Excluded.end()}});
  return P;
}

Placement Dispatcher::place(const PlacementRequest &R, TimePoint Now) {
  ServiceState &State = stateOf(R.Service);
  State.IsBatched = R.IsBatched;
  std::optional<Choice> Best = Tracker.choose({R.Service, R.Excluded}, Now);
  if (Best && hasRoom(*Best, R.IsBatched)) {
    Placement P;
    P.Result = Placement::Decision::Send;
    P.Server = *Best->Server;
    P.InFlight = Best->InFlight;
    return P;
  }
  if (Best)
    return waitForSlot(State, R, Now);
  if (std::optional<TimePoint> Since = Tracker.recoveringSince(R.Service, Now))
    return waitForRecovery(State, R, *Since, Now);
  return waitForTurn(State, R, Now);
}

Placement Dispatcher::waitUnless(bool IsRefused, PlacementRefusal Refusal,
                                 ServiceState &State, const PlacementRequest &R,
                                 TimePoint GiveUpAt, TimePoint Now) {
  if (IsRefused || State.Queue.size() >= MaxWaiting || Now >= GiveUpAt)
    return refuse(Refusal, retryAfter(R.Service, State, R.Excluded, Now));
  return wait(State, R, GiveUpAt, Now);
}

Placement Dispatcher::waitForSlot(ServiceState &State,
                                  const PlacementRequest &R, TimePoint Now) {
  TimePoint GiveUpAt = giveUpAt(R, /*IsRecovering=*/false);
  std::optional<Duration> Wait =
      State.Drain.timeToComplete(State.Queue.size() + 1, Now);
  return waitUnless(Wait && Now + *Wait >= GiveUpAt,
                    PlacementRefusal::Overloaded, State, R, GiveUpAt, Now);
}

Placement Dispatcher::waitForRecovery(ServiceState &State,
                                      const PlacementRequest &R,
                                      TimePoint Since, TimePoint Now) {
  return waitUnless(Now - Since > MaxRecovery, PlacementRefusal::Recovering,
                    State, R, giveUpAt(R, /*IsRecovering=*/true), Now);
}

Placement Dispatcher::waitForTurn(ServiceState &State,
                                  const PlacementRequest &R, TimePoint Now) {
  std::optional<TimePoint> Turn = nextTurn(R.Service, State, R.Excluded, Now);
  bool IsRateLimited = Tracker.isRateLimited(R.Service);
  if (!Turn && IsRateLimited)
    return refuse(PlacementRefusal::RateLimited, spread(NoServerRetryAfter));
  if (!Turn)
    return refuse(PlacementRefusal::NoServer, NoServerRetryAfter);
  TimePoint GiveUpAt = giveUpAt(R, /*IsRecovering=*/false);
  return waitUnless(*Turn >= GiveUpAt,
                    IsRateLimited ? PlacementRefusal::RateLimited
                                  : PlacementRefusal::Paused,
                    State, R, GiveUpAt, Now);
}

bool Dispatcher::hasFreeServer(std::string_view Service,
                               std::span<const std::string> Excluded,
                               TimePoint Now) {
  std::optional<Choice> Best = Tracker.choose({Service, Excluded}, Now);
  return Best && Best->HasFreeSlot;
}

void Dispatcher::cancelWait(std::string_view Service, uint64_t Ticket) {
  stateOf(Service).Queue.remove(Ticket);
}

std::vector<DequeuedRequest> Dispatcher::takeReady(TimePoint Now) {
  std::vector<DequeuedRequest> Result;
  for (auto &Item : ServiceStates) {
    const std::string &Service = Item.first;
    ServiceState &State = Item.second;
    for (uint64_t Ticket : State.Queue.takeExpired(Now))
      Result.push_back(
          {Ticket, std::nullopt, retryAfter(Service, State, {}, Now)});
    if (State.Queue.size() == 0)
      continue;
    // Choosing a server is slow: most waiting requests can use the same one.
    std::optional<BackendInstance> Usual =
        serverWithRoom(Service, State, {}, Now);
    if (!Usual)
      continue;
    // A request must not be dequeued for a server that has already failed it:
    // it would only join the queue again.
    std::optional<BackendInstance> Server;
    std::optional<uint64_t> Ticket =
        State.Queue.popFirst(Now, [&](const Waiter &W) {
          Server = W.Excluded.empty()
                       ? Usual
                       : serverWithRoom(Service, State, W.Excluded, Now);
          return Server.has_value();
        });
    if (Ticket)
      Result.push_back({*Ticket, std::move(Server), Duration(0)});
  }
  return Result;
}

std::optional<BackendInstance>
Dispatcher::serverWithRoom(std::string_view Service, const ServiceState &State,
                           std::span<const std::string> Excluded,
                           TimePoint Now) {
  std::optional<Choice> Best = Tracker.choose({Service, Excluded}, Now);
  if (!Best || !hasRoom(*Best, State.IsBatched))
    return std::nullopt;
  return *Best->Server;
}

size_t Dispatcher::waiting() const {
  size_t Total = 0;
  for (const auto &[Service, State] : ServiceStates)
    Total += State.Queue.size();
  return Total;
}

void Dispatcher::onEnded(std::string_view Service, std::string_view Id,
                         TimePoint Now) {
  Tracker.onEnded(Id);
  stateOf(Service).Drain.record(Now);
}

void Dispatcher::onRequest(std::string_view Service, TimePoint Now) {
  stateOf(Service).Budget.recordRequest(Now);
}

bool Dispatcher::hasRetryBudget(std::string_view Service, TimePoint Now) {
  return stateOf(Service).Budget.hasRoom(Now, Nodes);
}

void Dispatcher::onRetry(std::string_view Service, TimePoint Now) {
  stateOf(Service).Budget.spend(Now);
}

} // namespace ragwort::dispatch
