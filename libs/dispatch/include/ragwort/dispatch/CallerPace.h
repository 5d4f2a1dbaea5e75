//===- CallerPace.h - How fast a caller reads its answer ------------------===//
//
// Judges one caller by what it has taken of its answer: whether reading from
// its server goes on, and whether the caller is given up. A server cuts off an
// answer that stays unread for some seconds, so reading never pauses for long.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_CALLERPACE_H
#define RAGWORT_DISPATCH_CALLERPACE_H

#include "ragwort/base/Time.h"
#include <cstddef>
#include <cstdint>

namespace ragwort::dispatch {

/// What to do while reading from a server is paused.
enum class PausedStep : uint8_t { Keep, Resume, GiveUp };

/// \code
///   Pace.update(Socket.written(), Socket.unsent(), Now);
///   switch (Pace.whilePaused(Budget.unreadLimit(), IsExhausted, Now)) ...
/// \endcode
class CallerPace {
public:
  /// A caller that takes nothing for this time while its server waits is given
  /// up: well before servers cut off an unread answer.
  static constexpr Duration MaxPause = std::chrono::milliseconds(2000);
  /// Time between two reads for a caller that is slow but takes its answer.
  static constexpr Duration ReadInterval = std::chrono::milliseconds(1000);
  /// A finished answer is discarded if its caller takes nothing of it for this
  /// time.
  static constexpr Duration MaxUnread = std::chrono::seconds(10);

  /// \p Taken bytes were taken since the connection began, \p Unread are
  /// waiting.
  void update(uint64_t Taken, size_t Unread, TimePoint Now);
  /// Reading from the server pauses.
  void onPaused(TimePoint Now) { PausedAt = Now; }
  /// The step while reading a stream is paused, if \p Limit bytes may be
  /// unread.
  PausedStep whilePaused(size_t Limit, bool IsExhausted, TimePoint Now) const;
  /// The step while reading an answer is paused of which the caller has nothing
  /// yet.
  PausedStep whileAnswerPaused(bool IsExhausted, TimePoint Now) const;
  /// Whether a finished answer is discarded.
  bool hasStopped(TimePoint Now) const {
    return LastUnread > 0 && Now - TakenAt >= MaxUnread;
  }

private:
  uint64_t LastTaken = 0;
  size_t LastUnread = 0;
  // When the caller last took something, or had nothing to take.
  TimePoint TakenAt{};
  TimePoint PausedAt{};
};

} // namespace ragwort::dispatch

#endif
