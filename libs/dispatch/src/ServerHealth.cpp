//===- ServerHealth.cpp - Whether a server answers as it should -----------===//
#include "ragwort/dispatch/ServerHealth.h"
#include "ragwort/dispatch/ServerSpeed.h"
#include <algorithm>

namespace ragwort::dispatch {

namespace {

// A server is ejected when its failure rate exceeds this value. It lies above
// the rate of failures that services report in normal operation.
constexpr double EjectionFailureRate = 0.55;

} // namespace

std::string_view toString(EngineCondition Value) {
  switch (Value) {
  case EngineCondition::Straggles:
    return "straggles";
  case EngineCondition::Closed:
    return "closed";
  case EngineCondition::Opened:
    return "opened";
  }
  return "invalid";
}

void ServerHealth::onAnswered(TimePoint SentAt) {
  FailureRate *= 1 - AverageWeight;
  // An answer to a request sent before the server was last reported unavailable
  // does not show that it is available again.
  if (SentAt >= ReportedUnavailableAt)
    UnavailableSince.reset();
  DownSince.reset();
  NextEjection = FirstEjection;
}

void ServerHealth::beginInClosedGroup(TimePoint Since) {
  UnavailableSince = Since;
  IsGroupClosed = true;
  IsAwaitingGroup = true;
}

void ServerHealth::onFault(ServerFault Fault, TimePoint Now) {
  if (Fault == ServerFault::Full)
    return;
  if (Fault == ServerFault::NotConnected) {
    if (!DownSince)
      DownSince = Now;
    NextTrial = std::max(NextTrial, Now + TrialInterval);
  }
  FailureRate = (1 - AverageWeight) * FailureRate + AverageWeight;
  switch (Fault) {
  case ServerFault::Unavailable:
    setUnavailable(Now);
    NextTrial = Now + TrialInterval;
    break;
  case ServerFault::NotConnected:
  case ServerFault::Unreachable:
  case ServerFault::TimedOut:
    eject(Now);
    break;
  case ServerFault::Malformed:
  case ServerFault::Failure:
    if (FailureRate > EjectionFailureRate)
      eject(Now);
    break;
  case ServerFault::Full:
    break;
  }
}

void ServerHealth::onFaultsExplained() {
  EjectedUntil = TimePoint();
  NextEjection = FirstEjection;
  DownSince.reset();
}

void ServerHealth::onSent(TimePoint Now) {
  if (isUnavailable())
    NextTrial = Now + TrialInterval;
}

bool ServerHealth::onCondition(EngineCondition Condition, TimePoint Now) {
  switch (Condition) {
  case EngineCondition::Straggles: {
    bool IsNews = !isStraggler(Now);
    StragglerUntil = Now + NoticeLifetime;
    return IsNews;
  }
  case EngineCondition::Closed: {
    bool IsNews = !UnavailableSince || DownSince || IsAwaitingGroup;
    setUnavailable(Now);
    // An agent speaks only of an engine that answers it.
    DownSince.reset();
    IsGroupClosed = true;
    IsAwaitingGroup = false;
    ClosedNoticeUntil = Now + NoticeLifetime;
    // No trial request is needed while the agent's notices arrive.
    NextTrial = Now + NoticeLifetime;
    return IsNews;
  }
  case EngineCondition::Opened:
    if (!isUnavailable())
      return false;
    UnavailableSince.reset();
    DownSince.reset();
    // Failures from before the group was formed again no longer count.
    EjectedUntil = TimePoint();
    NextEjection = FirstEjection;
    FailureRate = 0;
    return true;
  }
  return false;
}

void ServerHealth::onOwnNotice(EngineCondition Condition, TimePoint Now) {
  OwnNotice = Condition;
  ForwardUntil = Now + (Condition == EngineCondition::Opened ? OpenedLifetime
                                                             : NoticeLifetime);
}

std::optional<EngineCondition> ServerHealth::toForward(TimePoint Now) const {
  return Now < ForwardUntil ? std::optional(OwnNotice) : std::nullopt;
}

void ServerHealth::eject(TimePoint Now) {
  if (isEjected(Now))
    return;
  EjectedUntil = Now + NextEjection;
  NextEjection = std::min(2 * NextEjection, MaxEjection);
}

void ServerHealth::setUnavailable(TimePoint Now) {
  if (!UnavailableSince) {
    UnavailableSince = Now;
    IsGroupClosed = false;
    IsAwaitingGroup = false;
  }
  ReportedUnavailableAt = Now;
}

} // namespace ragwort::dispatch
