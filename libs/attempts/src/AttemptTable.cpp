//===- AttemptTable.cpp - Each attempt starts at most once ----------------===//
#include "ragwort/attempts/AttemptTable.h"
#include <cstdlib>

namespace ragwort::attempts {

AttemptTable::AttemptTable(Incarnation Self, TableLimits Limits)
    : Self(Self), Limits(Limits) {}

Admission AttemptTable::admit(AttemptId Id, Incarnation AddressedTo,
                              TimePoint Now) {
  if (AddressedTo != Self)
    return Admission::WrongIncarnation;
  forget(Now);
  auto Place = Entries.find(Id);
  if (Place != Entries.end())
    return Place->second.Current == State::Forbidden ? Admission::Forbidden
                                                     : Admission::Duplicate;
  if (Entries.size() >= Limits.MaxAttempts)
    return Admission::Full;
  Entries.emplace(Id, Entry());
  return Admission::Admitted;
}

bool AttemptTable::start(AttemptId Id) {
  auto Place = Entries.find(Id);
  if (Place == Entries.end() || Place->second.Current != State::Waiting)
    return false;
  Place->second.Current = State::Running;
  return true;
}

void AttemptTable::undoStart(AttemptId Id) {
  auto Place = Entries.find(Id);
  if (Place == Entries.end() || Place->second.Current != State::Running)
    std::abort(); // Only a started attempt can be given back.
  Place->second.Current = State::Waiting;
}

bool AttemptTable::cancel(AttemptId Id, TimePoint Now) {
  auto Place = Entries.find(Id);
  if (Place == Entries.end()) {
    Entries.emplace(Id, Entry());
    end(Id, State::Forbidden, Now);
    return true;
  }
  if (Place->second.Current == State::Waiting)
    end(Id, State::Forbidden, Now);
  return Place->second.Current == State::Forbidden;
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
  Report Answer;
  Answer.CurrentState = Found.Current;
  if (Found.HasAnswer)
    Answer.Answer = Found.Answer;
  return Answer;
}

void AttemptTable::end(AttemptId Id, State Final, TimePoint Now) {
  auto Place = Entries.find(Id);
  bool WasRunning =
      Place != Entries.end() && Place->second.Current == State::Running;
  bool WasWaiting =
      Place != Entries.end() && Place->second.Current == State::Waiting;
  if (!(Final == State::Forbidden ? WasWaiting : WasRunning))
    std::abort(); // An attempt ends once, and only from the fitting state.
  Place->second.Current = Final;
  Ended.push_back({Now + Limits.Retention, Id});
}

void AttemptTable::forget(TimePoint Now) {
  while (!Ended.empty() && Ended.front().At <= Now) {
    Entries.erase(Ended.front().Id);
    Ended.pop_front();
  }
}

} // namespace ragwort::attempts
