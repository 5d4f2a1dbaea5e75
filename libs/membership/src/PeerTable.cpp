//===- PeerTable.cpp - Liveness and last reported state of peers ----------===//
#include "ragwort/membership/PeerTable.h"
#include <algorithm>

namespace ragwort::membership {

namespace {

constexpr size_t MaxRetiredIncarnations = 8; // per peer

} // namespace

std::string_view toString(Liveness Value) {
  switch (Value) {
  case Liveness::Unheard:
    return "unheard";
  case Liveness::Alive:
    return "alive";
  case Liveness::Suspect:
    return "suspect";
  case Liveness::Leaving:
    return "leaving";
  }
  return "unheard";
}

PeerTable::PeerTable(std::string Self, Duration SuspectAfter)
    : Self(std::move(Self)), SuspectAfter(SuspectAfter) {}

void PeerTable::setPeers(std::span<const PeerIdentity> Identities) {
  std::map<std::string, Peer, std::less<>> Next;
  for (const PeerIdentity &Identity : Identities) {
    if (Identity.Name == Self)
      continue;
    Peer Entry;
    auto Old = Peers.find(Identity.Name);
    if (Old != Peers.end() &&
        Old->second.View.Identity.PeerAddress == Identity.PeerAddress)
      Entry = std::move(Old->second);
    Entry.View.Identity = Identity;
    Next.insert_or_assign(Identity.Name, std::move(Entry));
  }
  Peers = std::move(Next);
}

void PeerTable::replaceIncarnation(Peer &P, Incarnation New) {
  if (P.View.CurrentIncarnation == New)
    return;
  if (P.View.CurrentIncarnation.Value != 0)
    P.Retired.push_back(P.View.CurrentIncarnation);
  if (P.Retired.size() > MaxRetiredIncarnations)
    P.Retired.erase(P.Retired.begin());
  P.View.CurrentIncarnation = New;
  P.View.Load = wire::LoadReport();
  P.View.ConfigVersion = 0;
  P.LastSequence = 0;
}

bool PeerTable::onHeartbeat(const wire::Heartbeat &Heartbeat, TimePoint Now) {
  auto It = Peers.find(Heartbeat.Node);
  if (Heartbeat.ToNode != Self || It == Peers.end())
    return false;
  Peer &P = It->second;
  Incarnation From{Heartbeat.Incarnation};
  if (std::find(P.Retired.begin(), P.Retired.end(), From) != P.Retired.end())
    return false;
  replaceIncarnation(P, From);
  if (Heartbeat.Sequence <= P.LastSequence)
    return false;
  P.LastSequence = Heartbeat.Sequence;
  P.IsHeard = true;
  P.View.LastHeard = Now;
  P.View.Load = Heartbeat.Load;
  P.View.ConfigVersion =
      std::max(P.View.ConfigVersion, Heartbeat.ConfigVersion);
  return true;
}

void PeerTable::onLoadReport(std::string_view Name,
                             const wire::LoadReport &Load, TimePoint Now) {
  auto It = Peers.find(Name);
  if (It == Peers.end())
    return;
  It->second.View.Load = Load;
  It->second.View.LastHeard = Now;
  It->second.IsHeard = true;
}

void PeerTable::onHello(std::string_view Name, Incarnation Current) {
  auto It = Peers.find(Name);
  if (It == Peers.end())
    return;
  std::erase(It->second.Retired, Current);
  replaceIncarnation(It->second, Current);
}

Liveness PeerTable::livenessOf(const Peer &P, TimePoint Now) const {
  if (!P.IsHeard)
    return Liveness::Unheard;
  if (Now - P.View.LastHeard > SuspectAfter)
    return Liveness::Suspect;
  return P.View.Load.Leaving ? Liveness::Leaving : Liveness::Alive;
}

std::vector<PeerView> PeerTable::views(TimePoint Now) const {
  std::vector<PeerView> Result;
  Result.reserve(Peers.size());
  for (const auto &[Name, P] : Peers) {
    Result.push_back(P.View);
    Result.back().State = livenessOf(P, Now);
  }
  return Result;
}

const PeerView *PeerTable::newestConfig(TimePoint Now) const {
  const PeerView *Newest = nullptr;
  for (const auto &[Name, P] : Peers) {
    Liveness State = livenessOf(P, Now);
    if (State != Liveness::Alive && State != Liveness::Leaving)
      continue;
    if (!Newest || P.View.ConfigVersion > Newest->ConfigVersion)
      Newest = &P.View;
  }
  return Newest;
}

} // namespace ragwort::membership
