//===- AttemptTable.cpp - At-most-once start of attempts ------------------===//
#include "ragwort/attempts/AttemptTable.h"
#include <cstdlib>

namespace ragwort::attempts {

AttemptTable::AttemptTable(Incarnation Self, TableLimits Limits)
    : Self(Self), Limits(Limits) {}

Admission AttemptTable::admit(AttemptId Id, Incarnation AddressedTo,
                              TimePoint Now) {
  if (AddressedTo != Self)
    return Admission::WrongIncarnation;
  dropExpired(Now);
  auto It = Entries.find(Id);
  if (It != Entries.end())
    return It->second.Current == State::Forbidden ? Admission::Forbidden
                                                  : Admission::Duplicate;
  if (Entries.size() >= Limits.MaxAttempts)
    return Admission::Full;
  Entries.emplace(Id, Entry());
  return Admission::Admitted;
}

bool AttemptTable::start(AttemptId Id) {
  auto It = Entries.find(Id);
  if (It == Entries.end() || It->second.Current != State::Waiting)
    return false;
  It->second.Current = State::Running;
  return true;
}

void AttemptTable::undoStart(AttemptId Id) {
  auto It = Entries.find(Id);
  if (It == Entries.end() || It->second.Current != State::Running)
    std::abort(); // Only the start of a running attempt can be undone.
  It->second.Current = State::Waiting;
}

bool AttemptTable::cancel(AttemptId Id, TimePoint Now) {
  auto It = Entries.find(Id);
  if (It == Entries.end()) {
    Entries.emplace(Id, Entry());
    end(Id, State::Forbidden, Now);
    return true;
  }
  if (It->second.Current == State::Waiting)
    end(Id, State::Forbidden, Now);
  return It->second.Current == State::Forbidden;
}

void AttemptTable::complete(AttemptId Id, Result Answer, TimePoint Now) {
  end(Id, State::Completed, Now);
  Entry &Finished = Entries.at(Id);
  Finished.HasAnswer = Answer.Body.size() <= Limits.MaxResultBytes;
  if (Finished.HasAnswer)
    Finished.Answer = std::move(Answer);
}

void AttemptTable::markBroken(AttemptId Id, TimePoint Now) {
  end(Id, State::Broken, Now);
}

std::optional<Report> AttemptTable::query(AttemptId Id, Incarnation AddressedTo,
                                          TimePoint Now) {
  if (AddressedTo != Self)
    return std::nullopt;
  cancel(Id, Now);
  const Entry &Found = Entries.at(Id);
  Report Reply;
  Reply.CurrentState = Found.Current;
  if (Found.HasAnswer)
    Reply.Answer = Found.Answer;
  return Reply;
}

void AttemptTable::end(AttemptId Id, State Final, TimePoint Now) {
  auto It = Entries.find(Id);
  bool WasRunning = It != Entries.end() && It->second.Current == State::Running;
  bool WasWaiting = It != Entries.end() && It->second.Current == State::Waiting;
  if (!(Final == State::Forbidden ? WasWaiting : WasRunning))
    std::abort(); // Forbidden requires Waiting, Completed and Broken require
                  // Running.
  It->second.Current = Final;
  Ended.push_back({Now + Limits.Retention, Id});
}

void AttemptTable::dropExpired(TimePoint Now) {
  while (!Ended.empty() && Ended.front().At <= Now) {
    Entries.erase(Ended.front().Id);
    Ended.pop_front();
  }
}

} // namespace ragwort::attempts
