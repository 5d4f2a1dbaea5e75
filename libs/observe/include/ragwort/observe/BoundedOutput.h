//===- BoundedOutput.h - Lines to a descriptor that may not keep up -------===//
//
// Holds a bounded number of bytes while the reader is slow and never blocks.
// Lines that do not fit, or that exceed the rate, are dropped and counted; the
// count is written as a line of its own as soon as there is room.
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

/// Whether a line may be dropped before others.
enum class LinePriority : uint8_t {
  /// Routine successes: dropped from half of the bounds on.
  Routine,
  /// Failures and changes of state.
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
    /// Long-run volume, and how much may come at once.
    size_t BytesPerSecond = 64 * KiB;
    size_t BurstBytes = 256 * KiB;
  };

  /// Makes \p Descriptor non-blocking.
  BoundedOutput(int Descriptor, Limits Bounds);

  /// \returns whether the line was taken. \p Line ends with a newline.
  bool write(std::string_view Line, LinePriority Class, TimePoint Now);
  uint64_t dropped() const { return DroppedTotal; }

private:
  bool hasRoom(size_t Bytes, LinePriority Class) const;
  void refill(TimePoint Now);
  void flush();

  const int Descriptor;
  const Limits Bounds;
  std::string Pending;
  // Bytes that may be written by rate. Invariant: at most BurstBytes.
  double Tokens;
  TimePoint LastRefill{};
  uint64_t DroppedTotal = 0;
  uint64_t DroppedUnsaid = 0;
};

} // namespace ragwort

#endif
