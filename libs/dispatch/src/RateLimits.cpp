//===- RateLimits.cpp - Rates that servers take from all nodes together ---===//
#include "ragwort/dispatch/RateLimits.h"
#include "ragwort/dispatch/Rendezvous.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwort::dispatch {

namespace {

// Owners of a limit beyond one for each request per second. More owners let
// more callers reach the server; each may send one request at once.
constexpr size_t ExtraOwners = 2;
constexpr double MilliPerUnit = 1000;

/// The value that peers get, so that all nodes have the same.
double inReportUnits(double PerSecond) {
  return std::round(PerSecond * MilliPerUnit) / MilliPerUnit;
}

Duration interval(double PerSecond) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / PerSecond));
}

} // namespace

void RateLimits::setNodes(uint64_t NewSelf, std::vector<uint64_t> NewPeers,
                          TimePoint Now) {
  std::sort(NewPeers.begin(), NewPeers.end());
  if (Self == NewSelf && Peers == NewPeers)
    return;
  Self = NewSelf;
  Peers = std::move(NewPeers);
  for (auto &[Key, E] : Entries)
    updateOwnRate(Key, E, Now);
}

void RateLimits::updateOwnRate(uint64_t InstanceKey, Entry &E,
                               TimePoint Now) const {
  bool WasOwner = std::exchange(E.OwnRate, 0) > 0;
  if (!E.PerSecond)
    return;
  size_t Owners = std::min(static_cast<size_t>(*E.PerSecond) + ExtraOwners,
                           Peers.size() + 1);
  if (nodesBefore(Self, Peers, InstanceKey) >= Owners)
    return;
  E.OwnRate = *E.PerSecond / static_cast<double>(Owners);
  // New owners begin at different moments.
  Duration Interval = interval(E.OwnRate);
  if (!WasOwner)
    E.NextSend =
        std::max(E.NextSend, Now + std::chrono::duration_cast<Duration>(
                                       Interval * phase(InstanceKey)));
  E.NextSend = std::min(E.NextSend, Now + Interval);
}

double RateLimits::phase(uint64_t InstanceKey) const {
  return std::ldexp(static_cast<double>(rendezvousRank(InstanceKey, Self)),
                    -64);
}

bool RateLimits::apply(const ServerRun &Run, std::optional<double> PerSecond,
                       TimePoint StatedAt, TimePoint Now) {
  auto Found = Entries.find(Run.InstanceKey);
  if (Found == Entries.end()) {
    if (!PerSecond)
      return false;
    if (Entries.size() >= MaxRuns)
      Entries.erase(std::min_element(
          Entries.begin(), Entries.end(), [](const auto &A, const auto &B) {
            return A.second.StatedAt < B.second.StatedAt;
          }));
    Found = Entries.emplace(Run.InstanceKey, Entry()).first;
    Found->second.BornMillis = Run.BornMillis;
  }
  Entry &E = Found->second;
  if (Run.BornMillis < E.BornMillis ||
      (Run.BornMillis == E.BornMillis && StatedAt < E.StatedAt))
    return false;
  if (Run.BornMillis > E.BornMillis) {
    E = Entry();
    E.BornMillis = Run.BornMillis;
  }
  E.StatedAt = StatedAt;
  if (PerSecond)
    PerSecond =
        std::clamp(inReportUnits(*PerSecond), MinPerSecond, MaxPerSecond);
  if (E.PerSecond == PerSecond)
    return false;
  E.PerSecond = PerSecond;
  updateOwnRate(Run.InstanceKey, E, Now);
  return true;
}

bool RateLimits::onStated(const ServerRun &Run, std::optional<double> PerSecond,
                          TimePoint Now) {
  bool IsChanged = apply(Run, PerSecond, Now, Now);
  if (auto Found = Entries.find(Run.InstanceKey);
      Found != Entries.end() && Found->second.BornMillis == Run.BornMillis)
    Found->second.HeardAt = Now;
  return IsChanged;
}

bool RateLimits::onPeerReport(const RateLimitReport &Report, TimePoint Now) {
  std::optional<double> PerSecond;
  if (Report.MilliPerSecond)
    PerSecond = *Report.MilliPerSecond / MilliPerUnit;
  return apply(Report.Run, PerSecond,
               Now - std::chrono::milliseconds(Report.AgeMillis), Now);
}

const RateLimits::Entry *RateLimits::find(const ServerRun &Run) const {
  auto Found = Entries.find(Run.InstanceKey);
  return Found != Entries.end() && Found->second.BornMillis == Run.BornMillis &&
                 Found->second.PerSecond
             ? &Found->second
             : nullptr;
}

std::optional<double> RateLimits::limit(const ServerRun &Run) const {
  const Entry *E = find(Run);
  return E ? E->PerSecond : std::nullopt;
}

std::optional<double> RateLimits::ownRate(const ServerRun &Run) const {
  const Entry *E = find(Run);
  return E ? std::optional(E->OwnRate) : std::nullopt;
}

TimePoint RateLimits::nextSend(const ServerRun &Run) const {
  const Entry *E = find(Run);
  if (!E)
    return TimePoint();
  return E->OwnRate > 0 ? E->NextSend : TimePoint::max();
}

void RateLimits::onSent(const ServerRun &Run, TimePoint Now) {
  auto Found = Entries.find(Run.InstanceKey);
  if (Found == Entries.end() || Found->second.BornMillis != Run.BornMillis ||
      Found->second.OwnRate <= 0)
    return;
  Entry &E = Found->second;
  E.NextSend = std::max(E.NextSend, Now) + interval(E.OwnRate);
}

std::vector<RateLimitReport> RateLimits::toForward(TimePoint Now) const {
  std::vector<RateLimitReport> Result;
  for (const auto &[Key, E] : Entries) {
    // A peer that has heard the server later tells it itself.
    if (!E.HeardAt || *E.HeardAt < E.StatedAt)
      continue;
    Duration Age = Now - *E.HeardAt;
    if (Age > ForwardTime)
      continue;
    RateLimitReport Report;
    Report.Run = {Key, E.BornMillis};
    if (E.PerSecond)
      Report.MilliPerSecond =
          static_cast<uint32_t>(std::lround(*E.PerSecond * MilliPerUnit));
    Report.AgeMillis = static_cast<uint16_t>(Age.count() / 1000);
    Result.push_back(Report);
  }
  return Result;
}

} // namespace ragwort::dispatch
