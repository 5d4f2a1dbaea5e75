//===- VirtualRun.h - Events in virtual time and lists of seeds -----------===//
//
// Shared by the randomised runs. Events with equal times keep their order, so
// a seed replays a run exactly.
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

/// Events by time. \p Time is any ordered type.
///
/// \code
///   EventQueue<TimePoint> Events;
///   Events.at(When, [] { ... });
///   while (Events.runNext()) ...
/// \endcode
template <class Time> class EventQueue {
public:
  Time now() const { return Current; }

  void at(Time When, std::function<void()> Act) {
    Pending.push({When, NextOrder++, std::move(Act)});
  }

  /// Runs the earliest event. \returns false when there is none.
  bool runNext() {
    if (Pending.empty())
      return false;
    Event Next = Pending.top();
    Pending.pop();
    Current = Next.At;
    Next.Act();
    return true;
  }

private:
  struct Event {
    Time At;
    uint64_t Order;
    std::function<void()> Act;
    // The queue's top is the greatest, which has to be the earliest event.
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  Time Current{};
  uint64_t NextOrder = 0;
  std::priority_queue<Event> Pending;
};

/// Number in an environment variable, or zero.
inline uint64_t numberFromEnvironment(const char *Name) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : 0;
}

/// Calls \p RunSeed(Seed, IsTraced) for the seed of RAGWORT_SEED with a trace,
/// or for fresh seeds during RAGWORT_SOAK_SECONDS, or for seeds 1 to \p Count.
/// \returns whether more than one seed was run.
template <class Runner> bool runSeeds(uint64_t Count, Runner RunSeed) {
  if (uint64_t Seed = numberFromEnvironment("RAGWORT_SEED")) {
    RunSeed(Seed, true);
    return false;
  }
  uint64_t Soak = numberFromEnvironment("RAGWORT_SOAK_SECONDS");
  if (Soak == 0) {
    for (uint64_t Seed = 1; Seed <= Count; ++Seed)
      RunSeed(Seed, false);
    return true;
  }
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(Soak);
  uint64_t Seed = std::random_device()();
  for (; std::chrono::steady_clock::now() < End; ++Seed)
    RunSeed(Seed, false);
  return true;
}

} // namespace ragwort::testing

#endif
