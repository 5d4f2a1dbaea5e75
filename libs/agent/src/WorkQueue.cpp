//===- WorkQueue.cpp - The agent's decisions about requests ---------------===//
#include "WorkQueue.h"
#include <cstdlib>

namespace ragwort::agent {

namespace {

constexpr double ServiceSmoothing = 0.1;

} // namespace

WorkQueue::WorkQueue(Incarnation Self, QueueLimits Limits)
    : Self(Self), Limits(Limits), Attempts(Self, attempts::TableLimits()),
      Queue(Limits.MaxQueued + Limits.Capacity) {}

RefusalReason WorkQueue::refusalOf(attempts::Admission Admission) const {
  if (Admission == attempts::Admission::WrongIncarnation)
    return RefusalReason::WrongIncarnation;
  if (Admission == attempts::Admission::Full)
    return RefusalReason::Overloaded;
  return RefusalReason::Cancelled;
}

Decisions WorkQueue::submit(WorkPtr Item, double Weight, TimePoint Now) {
  Decisions D;
  const wire::StartRequest &Request = Item->Request;
  if (IsLeaving) {
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
    // A doubled start gets no answer: the first one's answer is on its way,
    // and a refusal would claim that it never started.
    if (Admission == attempts::Admission::Duplicate)
      return D;
    if (Admission != attempts::Admission::Admitted) {
      D.ToRefuse.push_back({Item->Id, refusalOf(Admission)});
      return D;
    }
  }
  shares::QueueTicket Ticket;
  Ticket.Organisation = Request.Organisation;
  Ticket.Weight = Weight;
  Ticket.Priority = Request.Priority;
  Ticket.Deadline = Item->Deadline;
  if (std::optional<WorkPtr> Evicted = Queue.push(Ticket, Item))
    refuse(D, *Evicted, RefusalReason::Overloaded, Now);
  fillSlots(D, Now);
  return D;
}

void WorkQueue::refuse(Decisions &D, const WorkPtr &Item, RefusalReason Reason,
                       TimePoint Now) {
  // Only a waiting attempt comes here, so this always forbids it.
  if (Item->Request.NonIdempotent &&
      !Attempts.cancel(Item->Request.Attempt, Now))
    std::abort();
  D.ToRefuse.push_back({Item->Id, Reason});
}

void WorkQueue::fillSlots(Decisions &D, TimePoint Now) {
  while (Active < Limits.Capacity) {
    std::optional<WorkPtr> Next = Queue.pop();
    if (!Next)
      return;
    if ((*Next)->Deadline <= Now) {
      refuse(D, *Next, RefusalReason::DeadlineExceeded, Now);
      continue;
    }
    ++Active;
    StartedAt[(*Next)->Id] = Now;
    D.ToRun.push_back(std::move(*Next));
  }
}

bool WorkQueue::mayStart(const Work &Item) {
  return !Item.Request.NonIdempotent || Attempts.start(Item.Request.Attempt);
}

void WorkQueue::release(const Work &Item, TimePoint Now) {
  auto Place = StartedAt.find(Item.Id);
  if (Place == StartedAt.end() || Active == 0)
    std::abort(); // Each running request holds one slot and ends once.
  double Held = static_cast<double>((Now - Place->second).count());
  ServiceMicros =
      ServiceMicros == 0
          ? Held
          : ServiceMicros + ServiceSmoothing * (Held - ServiceMicros);
  StartedAt.erase(Place);
  --Active;
}

Decisions WorkQueue::finishUnstarted(const Work &Item, TimePoint Now) {
  if (Item.Request.NonIdempotent)
    Attempts.cancel(Item.Request.Attempt, Now);
  release(Item, Now);
  Decisions D;
  fillSlots(D, Now);
  return D;
}

Decisions WorkQueue::finish(const Work &Item, bool IsWhole,
                            attempts::Result Answer, TimePoint Now) {
  if (Item.Request.NonIdempotent) {
    if (IsWhole)
      Attempts.complete(Item.Request.Attempt, std::move(Answer), Now);
    else
      Attempts.markBroken(Item.Request.Attempt, Now);
  }
  release(Item, Now);
  Decisions D;
  fillSlots(D, Now);
  return D;
}

Decisions WorkQueue::cancel(StreamId Id, TimePoint Now) {
  Decisions D;
  std::optional<WorkPtr> Found =
      Queue.remove([&](const WorkPtr &Item) { return Item->Id == Id; });
  if (Found)
    refuse(D, *Found, RefusalReason::Cancelled, Now);
  return D;
}

Decisions WorkQueue::cancelConnection(uint64_t Connection, TimePoint Now) {
  Decisions D;
  while (std::optional<WorkPtr> Found = Queue.remove([&](const WorkPtr &Item) {
    return Item->Id.Connection == Connection;
  }))
    refuse(D, *Found, RefusalReason::Cancelled, Now);
  return D;
}

Decisions WorkQueue::expire(TimePoint Now) {
  Decisions D;
  for (const WorkPtr &Item : Queue.expire(Now))
    refuse(D, Item, RefusalReason::DeadlineExceeded, Now);
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
  Load.Leaving = IsLeaving;
  return Load;
}

} // namespace ragwort::agent
