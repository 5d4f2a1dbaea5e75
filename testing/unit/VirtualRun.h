//===- VirtualRun.h - Virtual-time event queue and seeds ------------------===//
//
// Shared by the randomised simulation tests. Events scheduled for the same time
// run in the order in which they were added, so a run is reproducible from its
// seed.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TESTING_UNIT_VIRTUALRUN_H
#define RAGWORT_TESTING_UNIT_VIRTUALRUN_H

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

namespace ragwort::testing {

/// Queue of callbacks, ordered by virtual time. \p Time is any ordered type.
///
/// \code
///   EventQueue<TimePoint> Events;
///   Events.at(When, [] { ... });
///   while (Events.runNext()) ...
/// \endcode
template <class Time> class EventQueue {
public:
  Time now() const { return Current; }

  /// Adds an event that runs at \p When.
  void at(Time When, std::function<void()> Action) {
    Pending.push({When, NextOrder++, std::move(Action)});
  }

  /// Advances to the earliest event and runs it. \returns false if the queue is
  /// empty.
  bool runNext() {
    if (Pending.empty())
      return false;
    Event Next = Pending.top();
    Pending.pop();
    Current = Next.At;
    Next.Action();
    return true;
  }

private:
  struct Event {
    Time At;
    uint64_t Order;
    std::function<void()> Action;
    // std::priority_queue yields the greatest element first, so the order is
    // reversed.
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  Time Current{};
  uint64_t NextOrder = 0;
  std::priority_queue<Event> Pending;
};

/// Value of the environment variable \p Name as a number; zero if it is unset
/// or not a number.
inline uint64_t numberFromEnvironment(const char *Name) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : 0;
}

/// Calls \p RunSeed(Seed, IsTraced) once per seed:
/// - with RAGWORT_SEED not zero, for that seed only, with tracing;
/// - with RAGWORT_SOAK_SECONDS not zero, without tracing for consecutive seeds
///   from a random one until that many seconds have passed;
/// - otherwise without tracing for seeds 1 to \p Count.
/// \returns false if RAGWORT_SEED selected a single seed.
template <class Runner> bool runSeeds(uint64_t Count, Runner RunSeed) {
  if (uint64_t Seed = numberFromEnvironment("RAGWORT_SEED")) {
    RunSeed(Seed, true);
    return false;
  }
  uint64_t SoakSeconds = numberFromEnvironment("RAGWORT_SOAK_SECONDS");
  if (SoakSeconds == 0) {
    for (uint64_t Seed = 1; Seed <= Count; ++Seed)
      RunSeed(Seed, false);
    return true;
  }
  auto End =
      std::chrono::steady_clock::now() + std::chrono::seconds(SoakSeconds);
  uint64_t Seed = std::random_device()();
  for (; std::chrono::steady_clock::now() < End; ++Seed)
    RunSeed(Seed, false);
  return true;
}

} // namespace ragwort::testing

#endif
