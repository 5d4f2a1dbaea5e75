//===- WorkQueue.h - The agent's decisions about requests -----------------===//
//
// Admission, fair queueing, slots and attempts of one backend server, without
// sockets. The caller serializes access and carries out what is returned.
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

/// Names a stream: the connection that it came on and its number there.
struct StreamId {
  uint64_t Connection = 0;
  uint64_t Stream = 0;
  friend auto operator<=>(const StreamId &, const StreamId &) = default;
};

/// A request that an entry node sent.
struct Work {
  StreamId Id;
  wire::StartRequest Request;
  TimePoint Deadline;
};
using WorkPtr = std::shared_ptr<Work>;

/// A request that will not be started.
struct Refused {
  StreamId Id;
  RefusalReason Reason = RefusalReason::InternalError;
};

/// What to do after an event.
struct Decisions {
  std::vector<WorkPtr> ToRun;
  std::vector<Refused> ToRefuse;
};

/// Bounds of the queue.
struct QueueLimits {
  uint32_t Capacity = 8;
  uint32_t MaxQueued = 256;
};

/// \code
///   WorkQueue Queue(Self, {8, 256});
///   Decisions D = Queue.submit(Work, Weight, Now);
///   ... run D.ToRun, refuse D.ToRefuse; later Queue.finish(Work, Now) ...
/// \endcode
class WorkQueue {
public:
  WorkQueue(Incarnation Self, QueueLimits Limits);

  /// Takes a request in, with its organisation's agreed share as weight.
  Decisions submit(WorkPtr Item, double Weight, TimePoint Now);

  /// Gives the permission to send the first byte of a running request.
  bool mayStart(const Work &Item);
  /// Ends a running request that never sent a byte.
  Decisions finishUnstarted(const Work &Item, TimePoint Now);
  /// Ends a running request that was started.
  Decisions finish(const Work &Item, bool IsWhole, attempts::Result Answer,
                   TimePoint Now);

  /// Withdraws a waiting request. A running one is left to its runner.
  Decisions cancel(StreamId Id, TimePoint Now);
  /// Withdraws all waiting requests of a lost connection.
  Decisions cancelConnection(uint64_t Connection, TimePoint Now);
  /// Refuses what waited past its deadline.
  Decisions expire(TimePoint Now);
  void setMaxQueued(uint32_t MaxQueued) {
    Queue.setMaxItems(MaxQueued + Limits.Capacity);
  }
  /// From now on nothing new is taken in; what is queued is still run.
  void leave() { IsLeaving = true; }

  std::optional<attempts::Report> query(AttemptId Id, Incarnation AddressedTo,
                                        TimePoint Now);
  /// Smoothed load; the service time counts finished requests.
  wire::LoadReport load() const;
  bool isIdle() const { return Active == 0 && Queue.size() == 0; }
  size_t attempts() const { return Attempts.size(); }

private:
  RefusalReason refusalOf(attempts::Admission Admission) const;
  void refuse(Decisions &D, const WorkPtr &Item, RefusalReason Reason,
              TimePoint Now);
  void fillSlots(Decisions &D, TimePoint Now);
  void release(const Work &Item, TimePoint Now);

  const Incarnation Self;
  const QueueLimits Limits;
  attempts::AttemptTable Attempts;
  shares::FairQueue<WorkPtr> Queue;
  // Invariant: at most Limits.Capacity.
  uint32_t Active = 0;
  std::map<StreamId, TimePoint> StartedAt;
  double ServiceMicros = 0;
  bool IsLeaving = false;
};

} // namespace ragwort::agent

#endif
