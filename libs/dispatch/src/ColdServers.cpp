//===- ColdServers.cpp - What servers bear that have just started ---------===//
#include "ragwort/dispatch/ColdServers.h"
#include "ragwort/dispatch/Rendezvous.h"
#include <algorithm>
#include <utility>

namespace ragwort::dispatch {

void ColdServers::setNodes(uint64_t NewSelf, std::vector<uint64_t> NewPeers,
                           std::optional<size_t> NewCount) {
  Self = NewSelf;
  Peers = std::move(NewPeers);
  Count = NewCount;
}

ColdServers::Entry *ColdServers::entryFor(const ServerRun &Run) {
  Entry &E = Entries[Run.InstanceKey];
  if (Run.BornMillis < E.BornMillis)
    return nullptr;
  if (Run.BornMillis > E.BornMillis) {
    // The sends may have reached the new run.
    std::deque<TimePoint> Sends = std::move(E.Sends);
    E = Entry();
    E.BornMillis = Run.BornMillis;
    E.Sends = std::move(Sends);
  }
  return &E;
}

bool ColdServers::onEntry(const ServerRun &Run, double PerSecond,
                          TimePoint Until, TimePoint Now) {
  Entry *E = entryFor(Run);
  if (!E)
    return false;
  bool WasCold = Now < E->ColdUntil;
  E->PerSecond = PerSecond;
  E->ColdUntil = Until > Now ? Until : std::min(E->ColdUntil, Now);
  E->ReadAt = Now;
  E->ReadUntil = Until;
  return !WasCold && Now < E->ColdUntil;
}

bool ColdServers::onPeerReport(const ServerRun &Run, double PerSecond,
                               TimePoint Until, TimePoint Now) {
  Entry *E = entryFor(Run);
  if (!E)
    return false;
  bool WasCold = Now < E->ColdUntil;
  E->PerSecond = PerSecond;
  E->ColdUntil = std::max(E->ColdUntil, Until);
  return !WasCold && Now < E->ColdUntil;
}

const ColdServers::Entry *ColdServers::find(const ServerRun &Run) const {
  auto Found = Entries.find(Run.InstanceKey);
  return Found != Entries.end() && Found->second.BornMillis >= Run.BornMillis
             ? &Found->second
             : nullptr;
}

bool ColdServers::isCold(const ServerRun &Run, TimePoint Now) const {
  const Entry *E = find(Run);
  return E && E->BornMillis == Run.BornMillis && Now < E->ColdUntil;
}

size_t ColdServers::part(uint64_t InstanceKey, const Entry &E,
                         TimePoint Now) const {
  double PerSecond = E.PerSecond;
  if (Now >= E.ColdUntil)
    PerSecond *= 1 + static_cast<double>((Now - E.ColdUntil) / GrowthStep);
  auto Whole = std::max<size_t>(static_cast<size_t>(PerSecond), 1);
  size_t Nodes = Peers.size() + 1;
  // The parts of nodes that this node cannot name must be left to them.
  if (!Count || *Count > Nodes)
    return 1;
  size_t Owners = std::min(Whole, Nodes);
  return nodesBefore(Self, Peers, InstanceKey) < Owners ? Whole / Owners : 0;
}

std::optional<size_t> ColdServers::ownSends(const ServerRun &Run,
                                            TimePoint Now) const {
  const Entry *E = find(Run);
  if (!E || Now >= E->ColdUntil + GrowthTime)
    return std::nullopt;
  return part(Run.InstanceKey, *E, Now);
}

TimePoint ColdServers::nextSend(const ServerRun &Run, TimePoint Now) const {
  std::optional<size_t> Part = ownSends(Run, Now);
  if (!Part)
    return TimePoint();
  const Entry &E = Entries.at(Run.InstanceKey);
  if (*Part == 0)
    return Now < E.ColdUntil
               ? E.ColdUntil
               : std::min(Now + GrowthStep, E.ColdUntil + GrowthTime);
  if (E.Sends.size() < *Part)
    return TimePoint();
  return E.Sends[E.Sends.size() - *Part] + Window;
}

void ColdServers::onSent(const ServerRun &Run, TimePoint Now) {
  auto Found = Entries.find(Run.InstanceKey);
  if (Found == Entries.end())
    return;
  std::deque<TimePoint> &Sends = Found->second.Sends;
  while (!Sends.empty() && Now - Sends.front() >= Window)
    Sends.pop_front();
  Sends.push_back(Now);
}

std::vector<ColdReport> ColdServers::toForward(TimePoint Now) const {
  std::vector<ColdReport> Result;
  for (const auto &[Key, E] : Entries)
    if (E.ReadAt && Now - *E.ReadAt <= ForwardTime && Now < E.ReadUntil)
      Result.push_back(
          {{Key, E.BornMillis},
           static_cast<uint32_t>((E.ReadUntil - Now).count() / 1000)});
  return Result;
}

} // namespace ragwort::dispatch
