//===- Dispatcher.cpp - Send, wait or refuse ------------------------------===//
#include "ragwort/dispatch/Dispatcher.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <utility>

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
  case PlacementRefusal::Evacuated:
    return "servers-evacuated";
  case PlacementRefusal::OutsideRegions:
    return "servers-outside-regions";
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
    : Tracker(std::move(LocalDataCentre), Seed), Budget(Budget), Seed(Seed),
      Random(~Seed) {}

Dispatcher::ServiceState &Dispatcher::stateOf(std::string_view Service) {
  auto Found = ServiceStates.find(Service);
  if (Found == ServiceStates.end())
    Found =
        ServiceStates.emplace(std::string(Service), ServiceState(Budget, Seed))
            .first;
  return Found->second;
}

void Dispatcher::updateRamp(std::string_view Service, ServiceState &State,
                            TimePoint Now) {
  if (Tracker.isGroupClosed(Service, Now)) {
    State.Ramp.onClosed();
    return;
  }
  if (!State.Ramp.isPending() || Tracker.isRecovering({Service, {}}, Now))
    return;
  uint32_t Slots = Tracker.availableSlots(Service, Now);
  if (State.Ramp.onAvailable(Slots, Nodes.value_or(Tracker.nodeCount()), Now))
    logEvent(LogLevel::Info, "group-opens",
             {{"service", Service},
              {"slots", Slots},
              {"waiting", State.Queue.size()}});
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

Duration Dispatcher::retryAfter(const Selection &Among, ServiceState &State,
                                TimePoint Now) {
  Duration Wait = RecoveringRetryAfter;
  if (!Tracker.isRecovering(Among, Now)) {
    // A pause is stated by the servers, so its length is not limited here.
    if (!Tracker.choose(Among, Now))
      if (auto Turn = nextTurn(Among, State, Now))
        return spread(std::max(*Turn - Now, MinRetryAfter));
    Wait = State.Drain.timeToComplete(State.Queue.size() + 1, Now)
               .value_or(MaxRetryAfter);
  }
  return std::min(spread(std::clamp(Wait, MinRetryAfter, MaxRetryAfter)),
                  MaxRetryAfter);
}

std::optional<TimePoint> Dispatcher::nextTurn(const Selection &Among,
                                              const ServiceState &State,
                                              TimePoint Now) const {
  std::optional<TimePoint> Turn = Tracker.pauseEnd(Among, Now);
  double Rate = Tracker.ownRate(Among, Now);
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
                    {R.Excluded.begin(), R.Excluded.end()},
                    R.Regions ? std::optional(*R.Regions) : std::nullopt});
  return P;
}

Placement Dispatcher::place(const PlacementRequest &R, TimePoint Now) {
  ServiceState &State = stateOf(R.Service);
  State.IsBatched = R.IsBatched;
  updateRamp(R.Service, State, Now);
  std::optional<Choice> Best = Tracker.choose(R.among(), Now);
  if (Best && !State.Ramp.maySend())
    return waitForOpening(State, R, Now);
  if (Best && hasRoom(*Best, R.IsBatched)) {
    State.Ramp.onSent();
    Placement P;
    P.Result = Placement::Decision::Send;
    P.Server = *Best->Server;
    P.InFlight = Best->InFlight;
    return P;
  }
  if (Best)
    return waitForSlot(State, R, Now);
  if (std::optional<TimePoint> Since = Tracker.recoveringSince(R.among(), Now))
    return waitForRecovery(State, R, *Since, Now);
  return waitForTurn(State, R, Now);
}

Placement Dispatcher::waitUnless(bool IsRefused, PlacementRefusal Refusal,
                                 ServiceState &State, const PlacementRequest &R,
                                 TimePoint GiveUpAt, TimePoint Now) {
  if (IsRefused || State.Queue.size() >= MaxWaiting || Now >= GiveUpAt)
    return refuse(Refusal, retryAfter(R.among(), State, Now));
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

Placement Dispatcher::waitForOpening(ServiceState &State,
                                     const PlacementRequest &R, TimePoint Now) {
  return waitUnless(/*IsRefused=*/false, PlacementRefusal::Recovering, State, R,
                    giveUpAt(R, /*IsRecovering=*/true), Now);
}

Placement Dispatcher::waitForRecovery(ServiceState &State,
                                      const PlacementRequest &R,
                                      TimePoint Since, TimePoint Now) {
  return waitUnless(Now - Since > MaxRecovery, PlacementRefusal::Recovering,
                    State, R, giveUpAt(R, /*IsRecovering=*/true), Now);
}

Placement Dispatcher::waitForTurn(ServiceState &State,
                                  const PlacementRequest &R, TimePoint Now) {
  if (std::optional<PlacementRefusal> Bar = barOf(R.among()))
    return refuse(*Bar, spread(NoServerRetryAfter));
  std::optional<TimePoint> Turn = nextTurn(R.among(), State, Now);
  bool IsRateLimited = Tracker.isRateLimited(R.among(), Now);
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

std::optional<PlacementRefusal>
Dispatcher::barOf(const Selection &Among) const {
  std::optional<SelectionBar> Bar = Tracker.barOf(Among);
  if (!Bar)
    return std::nullopt;
  return *Bar == SelectionBar::Evacuated ? PlacementRefusal::Evacuated
                                         : PlacementRefusal::OutsideRegions;
}

void Dispatcher::takeBarred(std::string_view Service, ServiceState &State,
                            std::vector<DequeuedRequest> &Taken) {
  if (std::exchange(State.CheckedPlaces, Tracker.placesVersion()) ==
      Tracker.placesVersion())
    return;
  State.Queue.takeIf([&](const Waiter &W) {
    std::optional<PlacementRefusal> Bar = barOf({Service, {}, W.regions()});
    if (Bar)
      Taken.push_back(
          {W.Ticket, std::nullopt, spread(NoServerRetryAfter), Bar});
    return Bar.has_value();
  });
}

bool Dispatcher::hasFreeServer(const Selection &Among, TimePoint Now) {
  ServiceState &State = stateOf(Among.Service);
  updateRamp(Among.Service, State, Now);
  std::optional<Choice> Best = Tracker.choose(Among, Now);
  return Best && Best->HasFreeSlot && !State.Ramp.isActive();
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
      Result.push_back({Ticket, std::nullopt,
                        retryAfter({Service, {}}, State, Now), std::nullopt});
    takeBarred(Service, State, Result);
    if (State.Queue.size() == 0)
      continue;
    updateRamp(Service, State, Now);
    if (!State.Ramp.maySend())
      continue;
    // Choosing a server is slow: most waiting requests can use the same one.
    std::optional<BackendInstance> Usual =
        serverWithRoom({Service, {}}, State, Now);
    if (!Usual)
      continue;
    // A request must not be dequeued for a server that has already failed it or
    // that it may not be sent to: it would only join the queue again.
    std::optional<BackendInstance> Server;
    std::optional<uint64_t> Ticket =
        State.Queue.popFirst(Now, [&](const Waiter &W) {
          Server = W.Excluded.empty() && !W.Regions
                       ? Usual
                       : serverWithRoom({Service, W.Excluded, W.regions()},
                                        State, Now);
          return Server.has_value();
        });
    if (!Ticket)
      continue;
    State.Ramp.onSent();
    Result.push_back({*Ticket, std::move(Server), Duration(0), std::nullopt});
  }
  return Result;
}

std::optional<BackendInstance>
Dispatcher::serverWithRoom(const Selection &Among, const ServiceState &State,
                           TimePoint Now) {
  std::optional<Choice> Best = Tracker.choose(Among, Now);
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
