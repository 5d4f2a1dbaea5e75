//===- WorkQueue.h - Scheduling of requests for one backend server --------===//
//
// Decides on admission, fair queueing, slots and attempts without any I/O. The
// caller serializes access and executes the returned decisions.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_WORKQUEUE_H
#define RAGWORT_AGENT_WORKQUEUE_H

#include "ragwort/attempts/AttemptTable.h"
#include "ragwort/base/Outcome.h"
#include "ragwort/shares/FairQueue.h"
#include "ragwort/wire/Messages.h"
#include <memory>
#include <set>
#include <vector>

namespace ragwort::agent {

/// Identifies a stream by its connection and its number on that connection.
struct StreamId {
  uint64_t Connection = 0;
  uint64_t Stream = 0;
  friend auto operator<=>(const StreamId &, const StreamId &) = default;
};

/// A request from an entry node.
struct WorkItem {
  StreamId Id;
  wire::StartRequest Request;
  TimePoint Deadline;
};
using WorkItemPtr = std::shared_ptr<WorkItem>;

/// A request that will not be started.
struct RefusedItem {
  StreamId Id;
  RefusalReason Reason = RefusalReason::InternalError;
};

/// Requests to run and to refuse as the result of an event.
struct Decisions {
  std::vector<WorkItemPtr> ToRun;
  std::vector<RefusedItem> ToRefuse;
};

/// Limits of a work queue.
struct QueueLimits {
  /// Number of slots, that is, requests that run at the same time.
  uint32_t Capacity = 8;
  /// At most MaxQueued + Capacity requests wait for a slot.
  uint32_t MaxQueued = 256;
};

/// \code
///   WorkQueue Queue(Self, {8, 256});
///   Decisions D = Queue.submit(Item, Weight, Now);
///   ... run D.ToRun and refuse D.ToRefuse; after an item has run: ...
///   D = Queue.finish(*Item, IsComplete, Answer, Now);
/// \endcode
class WorkQueue {
public:
  WorkQueue(Incarnation Self, QueueLimits Limits);

  /// Queues or refuses a request. \p Weight is the configured share of its
  /// organisation.
  Decisions submit(WorkItemPtr Item, double Weight, TimePoint Now);

  /// Must be called directly before the first byte of a request in \c ToRun is
  /// sent. \returns false if the request must not be sent because its attempt
  /// was forbidden.
  bool tryStart(const WorkItem &Item);
  /// Frees the slot of a request of which no byte was sent.
  Decisions finishUnstarted(const WorkItem &Item, TimePoint Now);
  /// Frees the slot of a request that was started. \p IsComplete says whether
  /// the whole answer was received.
  Decisions finish(const WorkItem &Item, bool IsComplete,
                   attempts::Result Answer, TimePoint Now);

  /// Refuses a waiting request. Has no effect on a running one, which the
  /// caller may abort.
  Decisions cancel(StreamId Id, TimePoint Now);
  /// Refuses all waiting requests of a lost connection.
  Decisions cancelConnection(uint64_t Connection, TimePoint Now);
  /// Refuses all waiting requests whose deadline has passed, and while it
  /// drains those that must not be started any more.
  Decisions expire(TimePoint Now);
  void setMaxQueued(uint32_t MaxQueued) {
    Queue.setMaxItems(MaxQueued + Limits.Capacity);
  }
  /// Refuses new requests from now on. The process exits at \p EndsAt: queued
  /// requests still run until then, but non-idempotent ones only if their
  /// deadline is before it, since a started one would end with an unknown
  /// outcome.
  void drain(TimePoint EndsAt) {
    IsDraining = true;
    DrainEndsAt = EndsAt;
  }

  /// See AttemptTable::query().
  std::optional<attempts::Report> query(AttemptId Id, Incarnation AddressedTo,
                                        TimePoint Now);
  /// Current load, with the smoothed service time of the ended requests.
  wire::LoadReport load() const;
  bool isIdle() const { return Active == 0 && Queue.size() == 0; }
  /// Number of entries in the attempt table.
  size_t attempts() const { return Attempts.size(); }

private:
  RefusalReason refusalReason(attempts::Admission Admission) const;
  void refuse(Decisions &D, const WorkItemPtr &Item, RefusalReason Reason,
              TimePoint Now);
  void fillSlots(Decisions &D, TimePoint Now);
  /// Whether the process exits too early for a request that starts now.
  bool startsTooLate(const WorkItem &Item, TimePoint Now) const;
  void releaseSlot(const WorkItem &Item, TimePoint Now);

  const Incarnation Self;
  const QueueLimits Limits;
  attempts::AttemptTable Attempts;
  shares::FairQueue<WorkItemPtr> Queue;
  // Number of used slots. Invariant: at most Limits.Capacity.
  uint32_t Active = 0;
  std::map<StreamId, TimePoint> SlotTakenAt;
  // Moving average of the time that a request occupies its slot. Zero until the
  // first request has ended.
  double ServiceMicros = 0;
  bool IsDraining = false;
  TimePoint DrainEndsAt = TimePoint::max();
};

} // namespace ragwort::agent

#endif
