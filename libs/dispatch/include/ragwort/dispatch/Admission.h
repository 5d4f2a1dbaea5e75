//===- Admission.h - Who waits for room and who is refused ----------------===//
//
// Decides, while all servers of one service are full, whether a request waits,
// displaces a waiting one or is refused, and when a refused caller should come
// back. The decision predicts when the request would start: it compares the
// work that goes before it, and the more urgent work that keeps arriving, with
// the rate at which this node's work has been completing. See
// docs/design/scarce-room.md.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_ADMISSION_H
#define RAGWORT_DISPATCH_ADMISSION_H

#include "ragwort/dispatch/WaitQueue.h"
#include "ragwort/dispatch/WorkRate.h"
#include <map>

namespace ragwort::dispatch {

/// When a request would start.
struct Forecast {
  /// Work that starts before it, in usual requests.
  double WorkAhead = 0;
  /// Predicted wait; MaxWait if it would not start while the load lasts,
  /// nothing if no work has completed lately.
  std::optional<Duration> Wait;

  static constexpr Duration MaxWait = std::chrono::hours(1);
};

/// \code
///   Admission::Answer A = Waiting.admit(W, Now);
///   if (!A.Waits)
///     refuse(Waiting.retryAfter(W, Now));
/// \endcode
class Admission {
public:
  /// Maximum number of waiting requests per service at one node.
  static constexpr size_t MaxWaiting = 64;
  /// Bounds of the Retry-After time.
  static constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
  static constexpr Duration MaxRetryAfter = std::chrono::milliseconds(2500);

  struct Answer {
    bool Waits = false;
    /// The request that has left the queue for this one.
    std::optional<Waiter> Displaced;
    Forecast Expected;
  };

  /// A request arrived, whatever becomes of it.
  void onArrival(uint32_t Priority, double Work, TimePoint Now);
  /// A request that this node had sent has ended.
  void onCompleted(double Work, TimePoint Now) { Done.record(Work, Now); }
  /// Nothing completes for a while: the rate is measured anew.
  void forgetRate() { Done = WorkRate(); }

  /// \p OnTimeFraction is the part of its time to start on time that the
  /// predicted wait may take before the request counts as late.
  Forecast forecast(const Waiter &W, TimePoint Now, double OnTimeFraction = 1);
  /// Lets \p W wait for room, unless it would not start before its GiveUpAt.
  Answer admit(const Waiter &W, TimePoint Now);
  /// Lets \p W wait for something else than room, unless the queue is full of
  /// requests that go before it.
  Answer enqueue(const Waiter &W, TimePoint Now);
  /// Removes the requests that are not expected to start in time any more,
  /// since others have overtaken them. Only while all servers are full.
  std::vector<Waiter> takeOvertaken(TimePoint Now);
  /// When a refused request should come back: after the work that goes before
  /// it, and one after the other.
  std::optional<Duration> retryAfter(const Waiter &W, TimePoint Now);

  WaitQueue &queue() { return Queue; }
  const WaitQueue &queue() const { return Queue; }

private:
  /// Rate at which work of requests that start after all that is more urgent
  /// than \p Priority is done; not positive if there is none.
  double rateLeft(double Rate, std::optional<uint32_t> Priority, TimePoint Now);

  WaitQueue Queue;
  WorkRate Done;
  // Priority -> work that arrives.
  std::map<uint32_t, WorkRate> Arrived;
  // Priority -> time at which the refused request that came last was told to
  // come back.
  std::map<uint32_t, TimePoint> LastReturn;
};

} // namespace ragwort::dispatch

#endif
