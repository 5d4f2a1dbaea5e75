//===- NodeLifecycle.cpp - Graceful shutdown and suspension detection -----===//
#include "ragwort/fleet/NodeLifecycle.h"
#include "ragwort/observe/Log.h"
#include <ctime>

namespace ragwort::fleet {

namespace {

constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
// Time for the last answers to leave before the process exits.
constexpr Duration LastAnswerTime = std::chrono::milliseconds(150);
constexpr Duration ClockCheckInterval = std::chrono::milliseconds(250);
// Longer gaps count as a suspension, shorter ones as a scheduling delay.
constexpr Duration SuspendedGap = std::chrono::milliseconds(700);

TimePoint now() { return SteadyClock().now(); }

/// Total time that the machine was suspended: CLOCK_BOOTTIME includes it and
/// CLOCK_MONOTONIC does not.
Duration suspendedTime() {
  auto Reading = [](clockid_t Clock) {
    timespec At{};
    ::clock_gettime(Clock, &At);
    return std::chrono::seconds(At.tv_sec) +
           std::chrono::duration_cast<Duration>(
               std::chrono::nanoseconds(At.tv_nsec));
  };
  return Reading(CLOCK_BOOTTIME) - Reading(CLOCK_MONOTONIC);
}

/// Closes idle callers until no request is left or \p Limit is reached.
asio::awaitable<void> waitForRequests(gateway::Gateway &Node, TimePoint Limit) {
  Node.closeIdle();
  while (Node.activeRequests() > 0 && now() < Limit) {
    co_await sleepFor(DrainPollInterval);
    Node.closeIdle();
  }
}

} // namespace

asio::awaitable<void> shutDownGracefully(gateway::Gateway &Node,
                                         PeerExchange &Peers, Duration Grace) {
  TimePoint Begun = now();
  gateway::StopSchedule Stop(Begun, Grace);
  logEvent(LogLevel::Info, "stopping",
           {{"active", Node.activeRequests()}, {"callers", Node.callers()}});
  Node.beginDrain(Stop);
  Peers.announceLeaving();
  co_await sleepFor(Stop.noticedAt() - now());
  Node.closeIdle();
  co_await sleepFor(Stop.stopsAcceptingAt() - now());
  Node.stopAccepting();
  co_await waitForRequests(Node, Stop.endsAt());
  size_t Ended = Node.activeRequests();
  Node.endRequests();
  co_await waitForRequests(Node, Stop.endsAt() + LastAnswerTime);
  logEvent(LogLevel::Info, "stopped-serving",
           {{"cut", Ended}, {"after_ms", (now() - Begun).count() / 1000}});
}

asio::awaitable<void> watchForSuspension(gateway::Gateway &Node,
                                         const bool &IsStopping) {
  Duration LastSuspended = suspendedTime();
  TimePoint Last = now();
  while (!IsStopping) {
    co_await sleepFor(ClockCheckInterval);
    TimePoint At = now();
    Duration Suspended = suspendedTime();
    Duration Gap =
        (Suspended - LastSuspended) + (At - Last - ClockCheckInterval);
    if (Gap > SuspendedGap)
      Node.onSuspended(Gap);
    LastSuspended = Suspended;
    Last = At;
  }
}

} // namespace ragwort::fleet
