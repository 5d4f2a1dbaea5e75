//===- Time.h - Monotonic time and the clock concept ----------------------===//
//
// Decision libraries never read a clock. They take `Now` as an argument, so
// that the same code runs in a daemon and in a simulation with virtual time.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_BASE_TIME_H
#define RAGWORT_BASE_TIME_H

#include <chrono>
#include <concepts>

namespace ragwort {

/// The unit of all durations inside the system: microseconds.
using Duration = std::chrono::microseconds;

/// A point on a process's monotonic clock. Time points of two processes are
/// never compared; processes send each other durations only.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A source of monotonic time.
template <class T>
concept MonotonicClock = requires(const T &Clock) {
  { Clock.now() } -> std::same_as<TimePoint>;
};

/// The clock of the running process.
///
/// \code
///   SteadyClock Clock;
///   Table.expire(Clock.now());
/// \endcode
struct SteadyClock {
  TimePoint now() const {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// A clock that a test advances explicitly.
///
/// \code
///   VirtualClock Clock;
///   Clock.advance(std::chrono::seconds(5));
/// \endcode
class VirtualClock {
public:
  TimePoint now() const { return Current; }
  void advance(Duration Step) { Current += Step; }

private:
  TimePoint Current{};
};

} // namespace ragwort

#endif
