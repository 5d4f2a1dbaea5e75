//===- BoundedOutput.h - Non-blocking line output with bounds -------------===//
//
// Writes lines to a descriptor without blocking. Buffers a bounded number of
// bytes if the reader is slow. Lines that exceed the buffer or the rate limit
// are dropped; their count is written in its own line before the next one.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_OBSERVE_BOUNDEDOUTPUT_H
#define RAGWORT_OBSERVE_BOUNDEDOUTPUT_H

#include "ragwort/base/Bytes.h"
#include "ragwort/base/Time.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwort {

/// Decides which lines are dropped first.
enum class LinePriority : uint8_t {
  /// Routine events; may use at most half of the buffer and of the burst.
  Routine,
  /// Failures and state changes; may use all of both.
  Important,
};

/// \code
///   BoundedOutput Out(STDOUT_FILENO, Limits);
///   Out.write("event=started\n", LinePriority::Important, Clock.now());
/// \endcode
class BoundedOutput {
public:
  struct Limits {
    size_t BufferBytes = 256 * KiB;
    /// Token bucket: sustained rate and size of a burst.
    size_t BytesPerSecond = 64 * KiB;
    size_t BurstBytes = 256 * KiB;
  };

  /// Makes \p Descriptor non-blocking.
  BoundedOutput(int Descriptor, Limits Bounds);

  /// \returns false if the line was dropped. \p Line must end with a newline.
  bool write(std::string_view Line, LinePriority Class, TimePoint Now);
  uint64_t dropped() const { return DroppedTotal; }

private:
  bool hasRoom(size_t Bytes, LinePriority Class) const;
  void refill(TimePoint Now);
  void flush();

  const int Descriptor;
  const Limits Bounds;
  std::string Pending;
  // Bytes that the rate limit permits now. Invariant: at most BurstBytes.
  double Tokens;
  TimePoint LastRefill{};
  uint64_t DroppedTotal = 0;
  uint64_t DroppedUnreported = 0;
};

} // namespace ragwort

#endif
