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
  case PlacementRefusal::Displaced:
    return "displaced";
  case PlacementRefusal::Expired:
    return "queue-timeout";
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
// Bounds of the work of a request, as a multiple of the usual one's.
constexpr double MinWork = 0.1;
constexpr double MaxWork = 10;
constexpr Duration MinRetryAfter = Admission::MinRetryAfter;
constexpr Duration MaxRetryAfter = Admission::MaxRetryAfter;
// Random part of the Retry-After time, as a fraction of the rest.
constexpr double RetryAfterSpread = 0.5;

double workOf(const PlacementRequest &R) {
  if (R.PromptTokens <= 0 && R.AnswerTokens <= 0)
    return 1;
  double Usual =
      R.Speed.requestMillis(R.Speed.UsualPrompt, R.Speed.UsualAnswer);
  if (Usual <= 0)
    return 1;
  return std::clamp(R.Speed.requestMillis(R.PromptTokens, R.AnswerTokens) /
                        Usual,
                    MinWork, MaxWork);
}

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
              {"waiting", State.Waiting.queue().size()}});
}

bool Dispatcher::hasRoom(const Choice &C, bool IsBatched) {
  uint32_t Slots = C.Server->Slots;
  // A server that does not batch may have twice as many requests as slots.
  return C.InFlight < Slots + (IsBatched ? ExtraBatchedRequests : Slots);
}

Duration Dispatcher::spread(Duration RetryAfter) {
  std::uniform_real_distribution<double> Factor(1.0, 1.0 + RetryAfterSpread);
  return scaled(RetryAfter, Factor(Random));
}

Duration Dispatcher::retryAfter(std::string_view Service, ServiceState &State,
                                const Waiter &W, TimePoint Now) {
  Selection Among = W.among(Service);
  if (Tracker.isRecovering(Among, Now))
    return std::min(spread(RecoveringRetryAfter), MaxRetryAfter);
  // A pause is stated by the servers, so its length is not limited here.
  if (!Tracker.choose(Among, Now))
    if (auto Turn = nextTurn(Among, State, Now))
      return spread(std::max(*Turn - Now, MinRetryAfter));
  if (std::optional<Duration> Turn = State.Waiting.retryAfter(W, Now))
    return *Turn;
  return scaled(spread(MaxRetryAfter), 1 / (1 + RetryAfterSpread));
}

std::optional<TimePoint> Dispatcher::nextTurn(const Selection &Among,
                                              const ServiceState &State,
                                              TimePoint Now) const {
  std::optional<TimePoint> Turn = Tracker.pauseEnd(Among, Now);
  double Rate = Tracker.ownRate(Among, Now);
  if (Turn && Rate > 0)
    *Turn += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(State.Waiting.queue().size()) / Rate));
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

Waiter Dispatcher::waiterOf(const ServiceState &State,
                            const PlacementRequest &R, TimePoint GiveUpAt,
                            TimePoint Now) {
  Waiter W;
  W.Ticket = NextTicket++;
  W.Priority = R.Priority;
  W.Since = Now;
  // Reading a long prompt takes a part of the time.
  auto Read = static_cast<int64_t>(1000 * R.Speed.readMillis(R.PromptTokens));
  W.OnTimeUntil =
      R.Arrived + scaled(R.TargetLatency, OnTimeQueueFraction) - Duration(Read);
  W.GiveUpAt = GiveUpAt;
  W.Excluded = {R.Excluded.begin(), R.Excluded.end()};
  if (R.Regions)
    W.Regions = *R.Regions;
  W.Work = workOf(R);
  W.HasComeBack = R.HasComeBack;
  W.HasBeenSent = R.HasBeenSent;
  return W;
}

Placement Dispatcher::place(const PlacementRequest &R, TimePoint Now) {
  ServiceState &State = stateOf(R.Service);
  State.IsBatched = R.IsBatched;
  if (!R.HasBeenSent && R.Excluded.empty())
    State.Waiting.onArrival(R.Priority, workOf(R), Now);
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
    P.Work = workOf(R);
    return P;
  }
  if (Best)
    return waitForSlot(State, R, Now);
  if (std::optional<TimePoint> Since = Tracker.recoveringSince(R.among(), Now))
    return waitForRecovery(State, R, *Since, Now);
  return waitForTurn(State, R, Now);
}

Placement Dispatcher::carryOut(const Admission::Answer &A,
                               PlacementRefusal Refusal, ServiceState &State,
                               const PlacementRequest &R, const Waiter &W,
                               TimePoint Now) {
  Placement P;
  if (A.Waits) {
    P.Result = Placement::Decision::Wait;
    P.Ticket = W.Ticket;
    if (A.Displaced)
      State.Displaced.push_back(*A.Displaced);
  } else {
    P = refuse(Refusal, retryAfter(R.Service, State, W, Now));
  }
  P.Expected = A.Expected;
  P.Work = W.Work;
  P.Waiting = State.Waiting.queue().size();
  return P;
}

Placement Dispatcher::waitUnless(bool IsRefused, PlacementRefusal Refusal,
                                 ServiceState &State, const PlacementRequest &R,
                                 TimePoint GiveUpAt, TimePoint Now) {
  Waiter W = waiterOf(State, R, GiveUpAt, Now);
  Admission::Answer A;
  if (!IsRefused)
    A = State.Waiting.enqueue(W, Now);
  return carryOut(A, Refusal, State, R, W, Now);
}

Placement Dispatcher::waitForSlot(ServiceState &State,
                                  const PlacementRequest &R, TimePoint Now) {
  Waiter W = waiterOf(State, R, giveUpAt(R, /*IsRecovering=*/false), Now);
  return carryOut(State.Waiting.admit(W, Now), PlacementRefusal::Overloaded,
                  State, R, W, Now);
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
  State.Waiting.queue().takeIf([&](const Waiter &W) {
    std::optional<PlacementRefusal> Bar = barOf({Service, {}, W.regions()});
    if (Bar)
      Taken.push_back(
          {W.Ticket, std::nullopt, *Bar, spread(NoServerRetryAfter)});
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
  stateOf(Service).Waiting.queue().remove(Ticket);
}

DequeuedRequest Dispatcher::refuseWaiting(std::string_view Service,
                                          ServiceState &State, const Waiter &W,
                                          PlacementRefusal Refusal,
                                          TimePoint Now) {
  return {W.Ticket, std::nullopt, Refusal, retryAfter(Service, State, W, Now)};
}

std::vector<DequeuedRequest> Dispatcher::takeReady(TimePoint Now) {
  std::vector<DequeuedRequest> Result;
  for (auto &Item : ServiceStates) {
    const std::string &Service = Item.first;
    ServiceState &State = Item.second;
    WaitQueue &Queue = State.Waiting.queue();
    auto Refuse = [&](const std::vector<Waiter> &Waiters,
                      PlacementRefusal Refusal) {
      for (const Waiter &W : Waiters)
        Result.push_back(refuseWaiting(Service, State, W, Refusal, Now));
    };
    Refuse(std::exchange(State.Displaced, {}), PlacementRefusal::Displaced);
    Refuse(Queue.takeExpired(Now), PlacementRefusal::Expired);
    takeBarred(Service, State, Result);
    if (Queue.size() == 0)
      continue;
    updateRamp(Service, State, Now);
    if (!State.Ramp.maySend())
      continue;
    // Choosing a server is slow: most waiting requests can use the same one.
    std::optional<Choice> Best = Tracker.choose({Service, {}}, Now);
    std::optional<BackendInstance> Usual = withRoom(Best, State);
    if (!Usual) {
      if (Best)
        Refuse(State.Waiting.takeOvertaken(Now), PlacementRefusal::Displaced);
      continue;
    }
    // A request must not be dequeued for a server that has already failed it or
    // that it may not be sent to: it would only join the queue again.
    std::optional<BackendInstance> Server;
    std::optional<uint64_t> Ticket = Queue.popFirst(Now, [&](const Waiter &W) {
      Server = W.Excluded.empty() && !W.Regions
                   ? Usual
                   : withRoom(Tracker.choose(W.among(Service), Now), State);
      return Server.has_value();
    });
    if (!Ticket)
      continue;
    State.Ramp.onSent();
    Result.push_back({*Ticket, std::move(Server), {}, Duration(0)});
  }
  return Result;
}

std::optional<BackendInstance>
Dispatcher::withRoom(const std::optional<Choice> &Best,
                     const ServiceState &State) {
  if (!Best || !hasRoom(*Best, State.IsBatched))
    return std::nullopt;
  return *Best->Server;
}

size_t Dispatcher::waiting() const {
  size_t Total = 0;
  for (const auto &[Service, State] : ServiceStates)
    Total += State.Waiting.queue().size();
  return Total;
}

void Dispatcher::onEnded(std::string_view Service, std::string_view Id,
                         TimePoint Now, double Work) {
  Tracker.onEnded(Id);
  Admission &Waiting = stateOf(Service).Waiting;
  // What ends during an outage says nothing about the rate after it.
  if (Tracker.isRecovering({Service, {}}, Now))
    Waiting.forgetRate();
  else if (Work > 0)
    Waiting.onCompleted(Work, Now);
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
