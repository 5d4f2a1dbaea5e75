//===- NodeLifecycle.cpp - Graceful shutdown and suspension detection -----===//
#include "ragwort/fleet/NodeLifecycle.h"
#include "ragwort/observe/Log.h"
#include <ctime>

namespace ragwort::fleet {

namespace {

// The load balancer in front probes once a second and removes a node after two
// failed probes. New callers may arrive until then.
constexpr Duration ProbeRemovalDelay = std::chrono::milliseconds(3200);
// Time reserved at the end of the grace period for the process to exit.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
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

} // namespace

asio::awaitable<void> shutDownGracefully(gateway::Gateway &Node,
                                         PeerExchange &Peers, Duration Grace) {
  TimePoint Begun = now();
  TimePoint StopBy = Begun + Grace - StopMargin;
  logEvent(LogLevel::Info, "stopping",
           {{"active", Node.activeRequests()}, {"callers", Node.callers()}});
  Node.beginDrain();
  Peers.announceLeaving();
  co_await sleepFor(std::min(ProbeRemovalDelay, Grace / 2));
  Node.closeIdle();
  while (Node.activeRequests() > 0 && now() < StopBy) {
    co_await sleepFor(DrainPollInterval);
    Node.closeIdle();
  }
  logEvent(LogLevel::Info, "stopped-serving",
           {{"cut", Node.activeRequests()},
            {"after_ms", (now() - Begun).count() / 1000}});
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
