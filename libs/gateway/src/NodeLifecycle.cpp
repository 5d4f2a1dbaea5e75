//===- NodeLifecycle.cpp - Leaving in order, and standing still -----------===//
#include "ragwort/gateway/NodeLifecycle.h"
#include "ragwort/observe/Log.h"
#include <ctime>

namespace ragwort::gateway {

namespace {

// The balancer asks once a second and takes a node out after two misses; new
// callers may come until then.
constexpr Duration LeaveRotation = std::chrono::milliseconds(3200);
// Left at the end of the grace for the process to end by itself.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
constexpr Duration StopPoll = std::chrono::milliseconds(50);
constexpr Duration ClockCheckInterval = std::chrono::milliseconds(250);
// A gap that is no scheduling delay.
constexpr Duration SuspendedGap = std::chrono::milliseconds(700);

TimePoint now() { return SteadyClock().now(); }

/// How far the clock that counts suspensions is ahead of the steady one.
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

asio::awaitable<void> shutDownGracefully(Gateway &Node, PeerExchange &Peers,
                                         Duration Grace) {
  TimePoint Begun = now();
  TimePoint LastMoment = Begun + Grace - StopMargin;
  logEvent(LogLevel::Info, "stopping",
           {{"active", Node.activeRequests()}, {"callers", Node.callers()}});
  Node.beginDrain();
  Peers.announceLeaving();
  co_await sleepFor(std::min(LeaveRotation, Grace / 2));
  Node.closeIdle();
  while (Node.activeRequests() > 0 && now() < LastMoment) {
    co_await sleepFor(StopPoll);
    Node.closeIdle();
  }
  logEvent(LogLevel::Info, "stopped-serving",
           {{"cut", Node.activeRequests()},
            {"after_ms", (now() - Begun).count() / 1000}});
}

asio::awaitable<void> watchForSuspension(Gateway &Node,
                                         const bool &IsStopping) {
  Duration Before = suspendedTime();
  TimePoint Last = now();
  while (!IsStopping) {
    co_await sleepFor(ClockCheckInterval);
    TimePoint At = now();
    Duration Offset = suspendedTime();
    Duration Gap = (Offset - Before) + (At - Last - ClockCheckInterval);
    if (Gap > SuspendedGap)
      Node.onSuspended(Gap);
    Before = Offset;
    Last = At;
  }
}

} // namespace ragwort::gateway
