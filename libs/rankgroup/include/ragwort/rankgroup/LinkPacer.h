//===- LinkPacer.h - Sends no faster than a share of a link ---------------===//
//
// A link drops what exceeds its queue. An order for a hundred ranks is many
// times larger than the queue, so it is spread over time (token bucket).
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_LINKPACER_H
#define RAGWORT_RANKGROUP_LINKPACER_H

#include "ragwort/base/Bytes.h"
#include "ragwort/base/Time.h"
#include <algorithm>
#include <cstddef>

namespace ragwort::rankgroup {

/// \code
///   if (Pacer.room(Now) >= Bytes.size()) {
///     Pacer.spend(Bytes.size());
///     send(Bytes);
///   }
/// \endcode
class LinkPacer {
public:
  /// Fraction of the link that is used; replies and other traffic share it.
  static constexpr double LinkShare = 0.5;
  /// Bytes that may be sent at once, some ten datagrams: less than the queue of
  /// any link.
  static constexpr size_t BurstBytes = 16 * KiB;

  /// \p LinkBytesPerSecond is zero if the link's bandwidth is unknown; sending
  /// is not limited then.
  explicit LinkPacer(double LinkBytesPerSecond)
      : BytesPerSecond(LinkShare * LinkBytesPerSecond) {}

  /// Bytes that may be sent now. A message may exceed them: the next ones then
  /// have to wait longer.
  size_t room(TimePoint Now) {
    if (BytesPerSecond <= 0)
      return BurstBytes;
    if (UpdatedAt != TimePoint()) {
      double Seconds = std::chrono::duration<double>(Now - UpdatedAt).count();
      Tokens = std::min(static_cast<double>(BurstBytes),
                        Tokens + BytesPerSecond * Seconds);
    }
    UpdatedAt = Now;
    return Tokens > 0 ? static_cast<size_t>(Tokens) : 0;
  }

  void spend(size_t Bytes) {
    if (BytesPerSecond > 0)
      Tokens -= static_cast<double>(Bytes);
  }

private:
  const double BytesPerSecond;
  // Negative after a message that exceeded the room.
  double Tokens = BurstBytes;
  TimePoint UpdatedAt{};
};

} // namespace ragwort::rankgroup

#endif
