//===- WorkQueue.cpp - Scheduling of requests for one backend server ------===//
#include "WorkQueue.h"
#include <cstdlib>

namespace ragwort::agent {

namespace {

// Weight of the newest service time in the moving average.
constexpr double ServiceTimeSmoothing = 0.1;

} // namespace

WorkQueue::WorkQueue(Incarnation Self, QueueLimits Limits)
    : Self(Self), Limits(Limits), Attempts(Self, attempts::TableLimits()),
      Queue(Limits.MaxQueued + Limits.Capacity) {}

RefusalReason WorkQueue::refusalReason(attempts::Admission Admission) const {
  if (Admission == attempts::Admission::WrongIncarnation)
    return RefusalReason::WrongIncarnation;
  if (Admission == attempts::Admission::Full)
    return RefusalReason::Overloaded;
  return RefusalReason::Cancelled;
}

Decisions WorkQueue::submit(WorkItemPtr Item, double Weight, TimePoint Now) {
  Decisions D;
  const wire::StartRequest &Request = Item->Request;
  if (IsDraining) {
    D.ToRefuse.push_back({Item->Id, RefusalReason::Leaving});
    return D;
  }
  if (Request.ToIncarnation != Self.Value) {
    D.ToRefuse.push_back({Item->Id, RefusalReason::WrongIncarnation});
    return D;
  }
  if (Request.NonIdempotent) {
    auto Admission = Attempts.admit(Request.Attempt,
                                    Incarnation{Request.ToIncarnation}, Now);
    // A duplicate gets no reply. The first request will get its answer, and a
    // refusal would say that the attempt never started.
    if (Admission == attempts::Admission::Duplicate)
      return D;
    if (Admission != attempts::Admission::Admitted) {
      D.ToRefuse.push_back({Item->Id, refusalReason(Admission)});
      return D;
    }
  }
  shares::QueueTicket Ticket;
  Ticket.Organisation = Request.Organisation;
  Ticket.Weight = Weight;
  Ticket.Priority = Request.Priority;
  Ticket.Deadline = Item->Deadline;
  if (std::optional<WorkItemPtr> Evicted = Queue.push(Ticket, Item))
    refuse(D, *Evicted, RefusalReason::Overloaded, Now);
  fillSlots(D, Now);
  return D;
}

void WorkQueue::refuse(Decisions &D, const WorkItemPtr &Item,
                       RefusalReason Reason, TimePoint Now) {
  // The attempt has not started, so it can always be forbidden.
  if (Item->Request.NonIdempotent &&
      !Attempts.cancel(Item->Request.Attempt, Now))
    std::abort();
  D.ToRefuse.push_back({Item->Id, Reason});
}

void WorkQueue::fillSlots(Decisions &D, TimePoint Now) {
  while (Active < Limits.Capacity) {
    std::optional<WorkItemPtr> Next = Queue.pop();
    if (!Next)
      return;
    if ((*Next)->Deadline <= Now) {
      refuse(D, *Next, RefusalReason::DeadlineExceeded, Now);
      continue;
    }
    if (startsTooLate(**Next, Now)) {
      refuse(D, *Next, RefusalReason::Leaving, Now);
      continue;
    }
    ++Active;
    SlotTakenAt[(*Next)->Id] = Now;
    D.ToRun.push_back(std::move(*Next));
  }
}

bool WorkQueue::startsTooLate(const WorkItem &Item, TimePoint Now) const {
  return Now >= DrainEndsAt ||
         (Item.Request.NonIdempotent && Item.Deadline > DrainEndsAt);
}

bool WorkQueue::tryStart(const WorkItem &Item) {
  return !Item.Request.NonIdempotent || Attempts.start(Item.Request.Attempt);
}

void WorkQueue::releaseSlot(const WorkItem &Item, TimePoint Now) {
  auto It = SlotTakenAt.find(Item.Id);
  if (It == SlotTakenAt.end() || Active == 0)
    std::abort(); // A request occupies one slot and ends only once.
  double SlotTime = static_cast<double>((Now - It->second).count());
  ServiceMicros =
      ServiceMicros == 0
          ? SlotTime
          : ServiceMicros + ServiceTimeSmoothing * (SlotTime - ServiceMicros);
  SlotTakenAt.erase(It);
  --Active;
}

Decisions WorkQueue::finishUnstarted(const WorkItem &Item, TimePoint Now) {
  if (Item.Request.NonIdempotent)
    Attempts.cancel(Item.Request.Attempt, Now);
  releaseSlot(Item, Now);
  Decisions D;
  fillSlots(D, Now);
  return D;
}

Decisions WorkQueue::finish(const WorkItem &Item, bool IsComplete,
                            attempts::Result Answer, TimePoint Now) {
  if (Item.Request.NonIdempotent) {
    if (IsComplete)
      Attempts.complete(Item.Request.Attempt, std::move(Answer), Now);
    else
      Attempts.markBroken(Item.Request.Attempt, Now);
  }
  releaseSlot(Item, Now);
  Decisions D;
  fillSlots(D, Now);
  return D;
}

Decisions WorkQueue::cancel(StreamId Id, TimePoint Now) {
  Decisions D;
  std::optional<WorkItemPtr> Found =
      Queue.remove([&](const WorkItemPtr &Item) { return Item->Id == Id; });
  if (Found)
    refuse(D, *Found, RefusalReason::Cancelled, Now);
  return D;
}

Decisions WorkQueue::cancelConnection(uint64_t Connection, TimePoint Now) {
  Decisions D;
  while (std::optional<WorkItemPtr> Found =
             Queue.remove([&](const WorkItemPtr &Item) {
               return Item->Id.Connection == Connection;
             }))
    refuse(D, *Found, RefusalReason::Cancelled, Now);
  return D;
}

Decisions WorkQueue::expire(TimePoint Now) {
  Decisions D;
  for (const WorkItemPtr &Item : Queue.expire(Now))
    refuse(D, Item, RefusalReason::DeadlineExceeded, Now);
  while (std::optional<WorkItemPtr> Found =
             Queue.remove([&](const WorkItemPtr &Item) {
               return startsTooLate(*Item, Now);
             }))
    refuse(D, *Found, RefusalReason::Leaving, Now);
  return D;
}

std::optional<attempts::Report>
WorkQueue::query(AttemptId Id, Incarnation AddressedTo, TimePoint Now) {
  return Attempts.query(Id, AddressedTo, Now);
}

wire::LoadReport WorkQueue::load() const {
  wire::LoadReport Load;
  Load.Active = Active;
  Load.Queued = static_cast<uint32_t>(Queue.size());
  Load.Capacity = Limits.Capacity;
  Load.ServiceMicros = static_cast<uint32_t>(ServiceMicros);
  Load.Leaving = IsDraining;
  return Load;
}

} // namespace ragwort::agent
