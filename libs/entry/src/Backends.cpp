//===- Backends.cpp - The backend servers that an entry node uses ---------===//
#include "Backends.h"
#include "ragwort/routing/Subset.h"
#include <algorithm>

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;
using membership::Liveness;
using membership::PeerIdentity;
using membership::PeerView;

constexpr Duration DefaultSuspectAfter = 2s;
constexpr Duration AffinityHalfLife = 120s;
constexpr size_t AffinityEntries = 20'000;
constexpr double SuccessSmoothing = 0.05;
constexpr double DefaultServiceSeconds = 0.02;

routing::AnyChooser makeChooser(settings::RoutingPolicy Policy) {
  switch (Policy) {
  case settings::RoutingPolicy::Random:
    return routing::RandomChooser();
  case settings::RoutingPolicy::RoundRobin:
    return routing::RoundRobinChooser();
  case settings::RoutingPolicy::LeastOutstanding:
    return routing::LeastOutstandingChooser();
  case settings::RoutingPolicy::TwoChoices:
    return routing::TwoChoicesChooser();
  case settings::RoutingPolicy::ExpectedWait:
    return routing::ExpectedWaitChooser();
  case settings::RoutingPolicy::PrefixAffinity:
    return routing::PrefixAffinityChooser();
  case settings::RoutingPolicy::Backpressure:
    return routing::BackpressureChooser();
  case settings::RoutingPolicy::OwnLoad:
    return routing::OwnLoadChooser();
  }
  return routing::OwnLoadChooser();
}

} // namespace

Backends::Backends(std::string Self, std::string DataCentre, uint64_t Seed)
    : Self(Self), DataCentre(std::move(DataCentre)), Rng(Seed),
      Peers(std::move(Self), DefaultSuspectAfter),
      Affinity(AffinityHalfLife, AffinityEntries),
      Chooser(routing::OwnLoadChooser()) {}

std::vector<PeerIdentity>
Backends::subsetOf(const settings::FleetSettings &Fleet,
                   std::span<const PeerIdentity> Agents) const {
  size_t Size = Fleet.Limits.Subset;
  std::vector<PeerIdentity> Near;
  std::vector<PeerIdentity> Far;
  for (const PeerIdentity &Agent : Agents)
    (Agent.DataCentre == DataCentre ? Near : Far).push_back(Agent);
  // The planned entry nodes, not the live ones: the subsets stay the same when
  // one of them is replaced.
  std::vector<std::string> Entries;
  for (const settings::InstanceSettings &Instance : Fleet.Instances)
    if (Instance.Role == settings::InstanceRole::Entry &&
        Instance.DataCentre == DataCentre)
      Entries.push_back(Instance.Name);
  std::vector<PeerIdentity> Result;
  for (const std::vector<PeerIdentity> *Part : {&Near, &Far}) {
    std::vector<std::string> Names;
    for (const PeerIdentity &Agent : *Part)
      Names.push_back(Agent.Name);
    for (size_t Index : routing::deterministicSubset(Self, Entries, Names,
                                                     Size - Result.size()))
      Result.push_back((*Part)[Index]);
    if (Result.size() >= Size)
      break;
  }
  return Result;
}

void Backends::configure(const settings::FleetSettings &Fleet,
                         std::span<const PeerIdentity> Listed) {
  // The settings name the planned instances, the list those that the platform
  // replaced meanwhile; the list's address wins.
  std::map<std::string, PeerIdentity> Known;
  for (const settings::InstanceSettings &Instance : Fleet.Instances)
    if (Instance.Role == settings::InstanceRole::Agent)
      Known[Instance.Name] = {Instance.Name, Instance.Peer, Instance.DataCentre,
                              Instance.Service, true};
  for (const PeerIdentity &Identity : Listed)
    if (Identity.IsAgent)
      Known[Identity.Name] = Identity;
  std::map<std::string, std::vector<PeerIdentity>> ByService;
  for (auto &[Name, Identity] : Known) {
    const settings::ServiceSettings *Service = Fleet.service(Identity.Service);
    if (!Service)
      continue;
    bool RunsThere =
        Service->DataCentres.empty() ||
        std::find(Service->DataCentres.begin(), Service->DataCentres.end(),
                  Identity.DataCentre) != Service->DataCentres.end();
    if (RunsThere)
      ByService[Identity.Service].push_back(Identity);
  }
  std::vector<PeerIdentity> Subset;
  for (auto &[Service, Agents] : ByService)
    for (PeerIdentity &Agent : subsetOf(Fleet, Agents))
      Subset.push_back(std::move(Agent));
  Peers.setPeers(Subset);
  Peers.setSuspectAfter(Fleet.Timing.SuspectAfter);
  Chooser = makeChooser(Fleet.Routing);
  std::erase_if(Usages, [&](const auto &Pair) {
    return std::none_of(Subset.begin(), Subset.end(), [&](const auto &Agent) {
      return Agent.Name == Pair.first;
    });
  });
}

void Backends::noteIncarnation(const std::string &Agent, Incarnation Current) {
  Usage &Known = Usages[Agent];
  if (Known.LastSeen == Current)
    return;
  // A restarted agent stands beside a backend server that may have lost its
  // cache, and its failures were the former process's.
  if (Known.LastSeen.Value != 0)
    Affinity.onRestart(Agent);
  Known.LastSeen = Current;
  Known.Breaker.onSuccess();
}

bool Backends::onHeartbeat(const wire::Heartbeat &Beat, TimePoint Now) {
  if (!Peers.onHeartbeat(Beat, Now))
    return false;
  noteIncarnation(Beat.Node, Incarnation{Beat.Incarnation});
  Usages[Beat.Node].SentSinceReport = 0;
  return true;
}

void Backends::onHello(std::string_view Agent, Incarnation Current) {
  Peers.onHello(Agent, Current);
  noteIncarnation(std::string(Agent), Current);
}

std::optional<Choice> Backends::choose(const ChoiceQuery &Query,
                                       TimePoint Now) {
  std::vector<routing::Candidate> Candidates;
  std::vector<Choice> Choices;
  for (const PeerView &Peer : Peers.views(Now)) {
    const std::string &Name = Peer.Identity.Name;
    if (Peer.Identity.Service != Query.Service ||
        Peer.State != Liveness::Alive || Query.Excluded.contains(Name))
      continue;
    Usage &Known = Usages[Name];
    if (!Known.Breaker.allows(Now))
      continue;
    routing::Candidate C;
    C.Active = Peer.Load.Active;
    C.Queued = Peer.Load.Queued;
    C.Capacity = Peer.Load.Capacity;
    C.ServiceSeconds = Peer.Load.ServiceMicros > 0
                           ? Peer.Load.ServiceMicros / 1e6
                           : DefaultServiceSeconds;
    C.Outstanding = Known.Outstanding;
    C.SentSinceReport = Known.SentSinceReport;
    C.SuccessRate = Known.SuccessRate;
    if (Query.Prefix != 0)
      C.Affinity = Affinity.likelihood(Query.Prefix, Name, Now);
    Candidates.push_back(C);
    Choices.push_back(
        {Name, Peer.Identity.PeerAddress, Peer.CurrentIncarnation});
  }
  if (Candidates.empty())
    return std::nullopt;
  routing::RequestTraits Traits;
  Traits.PrefillSeconds = Query.PrefillSeconds;
  return Choices[routing::choose(Chooser, Candidates, Traits, Rng)];
}

void Backends::onSent(const Choice &C, const ChoiceQuery &Query,
                      TimePoint Now) {
  Usage &Known = Usages[C.Agent];
  ++Known.Outstanding;
  ++Known.SentSinceReport;
  Known.Breaker.onSent(Now);
  if (Query.Prefix != 0)
    Affinity.onSent(Query.Prefix, C.Agent, Now);
}

void Backends::onEnd(const std::string &Agent, CallEnd End,
                     const wire::LoadReport *Load, TimePoint Now) {
  Usage &Known = Usages[Agent];
  if (Known.Outstanding > 0)
    --Known.Outstanding;
  if (Load) {
    Peers.onLoadReport(Agent, *Load, Now);
    Known.SentSinceReport = 0;
  }
  // A refusal comes from a healthy agent; it says nothing about failures.
  if (End == CallEnd::Refused)
    return;
  bool IsSuccess = End == CallEnd::Answered;
  Known.SuccessRate +=
      SuccessSmoothing * ((IsSuccess ? 1.0 : 0.0) - Known.SuccessRate);
  if (IsSuccess)
    Known.Breaker.onSuccess();
  else
    Known.Breaker.onFailure(Now);
}

bool Backends::coversServices(TimePoint Now) const {
  std::map<std::string, bool> IsCovered;
  for (const PeerView &Peer : Peers.views(Now))
    IsCovered[Peer.Identity.Service] |= Peer.State == Liveness::Alive;
  return std::all_of(IsCovered.begin(), IsCovered.end(),
                     [](const auto &Pair) { return Pair.second; });
}

std::vector<BackendRow> Backends::rows(TimePoint Now) const {
  std::vector<BackendRow> Rows;
  for (const PeerView &Peer : Peers.views(Now)) {
    BackendRow Row;
    Row.Peer = Peer;
    auto Place = Usages.find(Peer.Identity.Name);
    if (Place != Usages.end()) {
      Row.Outstanding = Place->second.Outstanding;
      Row.Breaker = Place->second.Breaker.stateName();
    }
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

} // namespace ragwort::entry
