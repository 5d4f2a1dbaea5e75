//===- Admission.cpp - Who waits for room and who is refused --------------===//
#include "ragwort/dispatch/Admission.h"
#include <algorithm>

namespace ragwort::dispatch {

namespace {

// Part of the rate of completions below which the rate that is left for a
// request counts as none: the rates are estimates.
constexpr double MinRateFraction = 0.05;
// Fractions of the time that a request can wait, to start on time or at all,
// below which the predicted wait of an arrival and of a waiting request must
// stay. The estimate varies from one moment to the next.
constexpr double AdmittedFraction = 0.8;
constexpr double OvertakenFraction = 1.5;

bool isLonger(Duration Wait, double Fraction, Duration Limit) {
  return static_cast<double>(Wait.count()) >=
         Fraction * static_cast<double>(Limit.count());
}

Duration timeFor(double Work, double Rate) {
  auto Wait = std::chrono::duration<double>(Work / Rate);
  return std::min(std::chrono::duration_cast<Duration>(Wait),
                  Forecast::MaxWait);
}

} // namespace

void Admission::onArrival(uint32_t Priority, double Work, TimePoint Now) {
  Arrived[Priority].record(Work, Now);
}

double Admission::rateLeft(double Rate, std::optional<uint32_t> Priority,
                           TimePoint Now) {
  double Left = Rate;
  for (auto &[Other, Arrivals] : Arrived)
    if (!Priority || Other < *Priority)
      Left -= Arrivals.perSecond(Now).value_or(0);
  return Left > MinRateFraction * Rate ? Left : 0;
}

Forecast Admission::forecast(const Waiter &W, TimePoint Now,
                             double OnTimeFraction) {
  Forecast Result;
  Result.WorkAhead = Queue.workBefore(W, Now);
  std::optional<double> Rate = Done.perSecond(Now);
  // After an outage the first completions say little about the rate.
  if (!Rate || !Done.isSteady(Now))
    return Result;
  auto WaitAt = [&](double Left, double Ahead) {
    // One more completes before there is room; its own work comes after.
    return Left > 0 ? timeFor(Ahead + 1, Left) : Forecast::MaxWait;
  };
  Duration Wait = WaitAt(rateLeft(*Rate, W.Priority, Now), Result.WorkAhead);
  if (!W.HasComeBack && !W.HasBeenSent &&
      isLonger(Wait, OnTimeFraction, W.OnTimeUntil - Now)) {
    // From then on it gives way to all that arrive.
    Waiter Late = W;
    Late.OnTimeUntil = TimePoint::min();
    Wait = std::max(Wait, WaitAt(rateLeft(*Rate, std::nullopt, Now),
                                 Queue.workBefore(Late, Now)));
  }
  Result.Wait = Wait;
  return Result;
}

Admission::Answer Admission::admit(const Waiter &W, TimePoint Now) {
  Forecast Expected = forecast(W, Now, AdmittedFraction);
  if (Expected.Wait &&
      isLonger(*Expected.Wait, AdmittedFraction, W.GiveUpAt - Now))
    return {false, std::nullopt, Expected};
  Answer Result = enqueue(W, Now);
  Result.Expected = Expected;
  return Result;
}

Admission::Answer Admission::enqueue(const Waiter &W, TimePoint Now) {
  Answer Result;
  if (Now >= W.GiveUpAt)
    return Result;
  if (Queue.size() >= MaxWaiting) {
    Result.Displaced = Queue.displaceFor(W, Now);
    if (!Result.Displaced)
      return Result;
  }
  Queue.push(W);
  Result.Waits = true;
  return Result;
}

std::vector<Waiter> Admission::takeOvertaken(TimePoint Now) {
  std::vector<Waiter> Overtaken;
  for (const Waiter *W : Queue.startingOrder(Now)) {
    if (W->HasBeenSent)
      continue;
    Forecast Expected = forecast(*W, Now, OvertakenFraction);
    if (Expected.Wait &&
        isLonger(*Expected.Wait, OvertakenFraction, W->GiveUpAt - Now))
      Overtaken.push_back(*W);
  }
  for (const Waiter &W : Overtaken)
    Queue.remove(W.Ticket);
  return Overtaken;
}

std::optional<Duration> Admission::retryAfter(const Waiter &W, TimePoint Now) {
  std::optional<double> Rate = Done.perSecond(Now);
  double Left = Rate ? rateLeft(*Rate, W.Priority, Now) : 0;
  if (Left <= 0)
    return std::nullopt;
  Waiter Returned = W;
  Returned.HasComeBack = true;
  TimePoint &Last = LastReturn[W.Priority];
  TimePoint Turn = Now + timeFor(Queue.workBefore(Returned, Now), Left);
  Turn = std::max(Turn, Last) + timeFor(W.Work, Left);
  if (Turn - Now > MaxRetryAfter)
    return std::nullopt;
  Last = Turn;
  return std::max(Turn - Now, MinRetryAfter);
}

} // namespace ragwort::dispatch
