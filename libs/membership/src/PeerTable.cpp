//===- PeerTable.cpp - Heartbeats, incarnations and liveness --------------===//
#include "ragwort/membership/PeerTable.h"
#include <algorithm>

namespace ragwort::membership {

namespace {

constexpr size_t MaxRetired = 8; // incarnations remembered per peer

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

void PeerTable::replaceIncarnation(Peer &P, Incarnation Fresh) {
  if (P.View.CurrentIncarnation == Fresh)
    return;
  if (P.View.CurrentIncarnation.Value != 0)
    P.Retired.push_back(P.View.CurrentIncarnation);
  if (P.Retired.size() > MaxRetired)
    P.Retired.erase(P.Retired.begin());
  P.View.CurrentIncarnation = Fresh;
  P.View.Load = wire::LoadReport();
  P.View.ConfigVersion = 0;
  P.LastSequence = 0;
}

bool PeerTable::onHeartbeat(const wire::Heartbeat &Beat, TimePoint Now) {
  auto Place = Peers.find(Beat.Node);
  if (Beat.ToNode != Self || Place == Peers.end())
    return false;
  Peer &P = Place->second;
  Incarnation From{Beat.Incarnation};
  if (std::find(P.Retired.begin(), P.Retired.end(), From) != P.Retired.end())
    return false;
  replaceIncarnation(P, From);
  if (Beat.Sequence <= P.LastSequence)
    return false;
  P.LastSequence = Beat.Sequence;
  P.IsHeard = true;
  P.View.LastHeard = Now;
  P.View.Load = Beat.Load;
  P.View.ConfigVersion = std::max(P.View.ConfigVersion, Beat.ConfigVersion);
  return true;
}

void PeerTable::onLoadReport(std::string_view Name,
                             const wire::LoadReport &Load, TimePoint Now) {
  auto Place = Peers.find(Name);
  if (Place == Peers.end())
    return;
  Place->second.View.Load = Load;
  Place->second.View.LastHeard = Now;
  Place->second.IsHeard = true;
}

void PeerTable::onHello(std::string_view Name, Incarnation Current) {
  auto Place = Peers.find(Name);
  if (Place == Peers.end())
    return;
  std::erase(Place->second.Retired, Current);
  replaceIncarnation(Place->second, Current);
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
  const PeerView *Best = nullptr;
  for (const auto &[Name, P] : Peers) {
    Liveness State = livenessOf(P, Now);
    if (State != Liveness::Alive && State != Liveness::Leaving)
      continue;
    if (!Best || P.View.ConfigVersion > Best->ConfigVersion)
      Best = &P.View;
  }
  return Best;
}

} // namespace ragwort::membership
