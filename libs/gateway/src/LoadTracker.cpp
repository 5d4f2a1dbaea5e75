//===- LoadTracker.cpp - Load and health of backend servers ---------------===//
//-----------------===//
#include "ragwort/gateway/LoadTracker.h"
#include "ragwort/base/Hash.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <cmath>

namespace ragwort::gateway {

namespace {

// Weight of the newest answer in the moving averages.
constexpr double AverageWeight = 0.2;
// A server whose recent answers fail more often than this is left out. Above
// the failures that services report in normal work.
constexpr double EjectAboveFailureRate = 0.55;
// Load that a server in another data centre must be lower by, in slots' share.
constexpr double RemotePenalty = 0.03;
// Bounds of the factor by which a slow server's load counts more.
constexpr double MaxSlowFactor = 4.0;
// A server that takes so many times as long as usual is used when the others
// are full. Load alone makes a batching server about one and a half times
// slower.
constexpr double SlowFactor = 2.0;
// Factor by which one pause between events may exceed the average it enters.
constexpr double MaxGapRise = 2.0;
// The times that servers which work well take are those of the best quarter: a
// whole group of a service's servers can be slow at once.
constexpr size_t UsualQuantile = 4;

// Servers that a request is compared at, out of those that could take it.
// Between two heartbeats the fleet places about as many requests as there are
// servers, where two to three choices are known to serve best.
constexpr size_t SampledServers = 3;

bool contains(std::span<const std::string> Ids, std::string_view Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

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

void LoadTracker::sync(const BackendDirectory &Directory) {
  for (auto It = Servers.begin(); It != Servers.end();) {
    if (Directory.instances().count(It->first)) {
      ++It;
      continue;
    }
    IdOfKey.erase(It->second.Key);
    It = Servers.erase(It);
  }
  for (const auto &[Id, Entry] : Directory.instances()) {
    Server &S = Servers[Id];
    if (S.Entry == Entry)
      continue;
    // A new run under a known id starts without the former one's history.
    if (S.Entry.BornMillis != Entry.BornMillis ||
        S.Entry.Address != Entry.Address) {
      uint32_t Own = S.Own;
      S = Server();
      S.Own = Own;
    }
    S.Entry = Entry;
    S.Key = hash64(Id);
    IdOfKey[S.Key] = Id;
  }
  markSuperseded();
}

void LoadTracker::markSuperseded() {
  // Entries outlive their server by some heartbeats; only the newest instance
  // at an address can be there.
  std::unordered_map<std::string_view, Server *> Newest;
  for (auto &[Id, S] : Servers) {
    S.IsSuperseded = false;
    Server *&Other = Newest[S.Entry.Address];
    if (!Other) {
      Other = &S;
    } else if (Other->Entry.BornMillis < S.Entry.BornMillis) {
      Other->IsSuperseded = true;
      Other = &S;
    } else {
      S.IsSuperseded = Other->Entry.BornMillis > S.Entry.BornMillis;
    }
  }
}

void LoadTracker::onReplaced(std::string_view Id) {
  if (Server *S = find(Id))
    S->IsReplaced = true;
}

LoadTracker::Server *LoadTracker::find(std::string_view Id) {
  auto Found = Servers.find(Id);
  return Found == Servers.end() ? nullptr : &Found->second;
}

void LoadTracker::onStarted(std::string_view Id, TimePoint Now) {
  Server *S = find(Id);
  if (!S)
    return;
  ++S->Own;
  if (!S->IsUnavailable)
    return;
  S->NextTrial = Now + TrialInterval;
  NextTrials[S->Entry.Service] = Now + TrialInterval;
}

void LoadTracker::onEnded(std::string_view Id) {
  Server *S = find(Id);
  if (S && S->Own > 0)
    --S->Own;
}

void LoadTracker::onAnswered(std::string_view Id, Duration Latency,
                             TimePoint Now) {
  Server *S = find(Id);
  if (!S)
    return;
  double Millis = static_cast<double>(Latency.count()) / 1000.0;
  S->LatencyMillis =
      S->LatencyMillis == 0
          ? Millis
          : (1 - AverageWeight) * S->LatencyMillis + AverageWeight * Millis;
  S->FailureRate *= 1 - AverageWeight;
  // An answer to a request from before the server's word proves nothing.
  if (Now - Latency >= S->UnavailableSince)
    S->IsUnavailable = false;
  S->NextEjection = FirstEjection;
}

void LoadTracker::onEvent(std::string_view Id, Duration Gap, TimePoint Now) {
  Server *S = find(Id);
  if (!S)
    return;
  double Millis = static_cast<double>(Gap.count()) / 1000.0;
  if (double Before = ownGapMillis(*S, Now); Before > 0) {
    // One long pause, such as that of a group that waited for a slow rank, is
    // no reason to load the other servers; several are.
    Millis = std::min(Millis, MaxGapRise * Before);
    Millis = (1 - AverageWeight) * Before + AverageWeight * Millis;
  }
  S->OwnGapMillis = Millis;
  S->GapSeenAt = Now;
}

void LoadTracker::eject(Server &S, TimePoint Now) {
  if (Now < S.EjectedUntil)
    return;
  S.EjectedUntil = Now + S.NextEjection;
  S.NextEjection = std::min(2 * S.NextEjection, MaxEjection);
}

void LoadTracker::onFault(std::string_view Id, ServerFault Fault,
                          TimePoint Now) {
  Server *S = find(Id);
  if (!S || Fault == ServerFault::Full)
    return;
  S->FailureRate = (1 - AverageWeight) * S->FailureRate + AverageWeight;
  switch (Fault) {
  case ServerFault::Unavailable:
    S->IsUnavailable = true;
    S->UnavailableSince = Now;
    S->NextTrial = Now + TrialInterval;
    break;
  case ServerFault::Unreachable:
  case ServerFault::TimedOut:
    eject(*S, Now);
    break;
  case ServerFault::Malformed:
  case ServerFault::Failure:
    if (S->FailureRate > EjectAboveFailureRate)
      eject(*S, Now);
    break;
  case ServerFault::Full:
    break;
  }
}

void LoadTracker::markStraggler(Server &S, std::string_view Source,
                                TimePoint Now) {
  if (Now >= S.StragglerUntil)
    logEvent(LogLevel::Warning, "straggler-reported",
             {{"instance", S.Entry.Id},
              {"source", Source},
              {"own", S.Own},
              {"peers", S.OfPeers}});
  S.StragglerUntil = Now + NoticeLifetime;
}

void LoadTracker::markClosed(Server &S, std::string_view Source,
                             TimePoint Now) {
  if (!S.IsUnavailable)
    logEvent(LogLevel::Warning, "server-closed",
             {{"instance", S.Entry.Id},
              {"source", Source},
              {"own", S.Own},
              {"peers", S.OfPeers}});
  S.IsUnavailable = true;
  S.UnavailableSince = Now;
  // No trial can tell more than the agent does.
  S.NextTrial = Now + NoticeLifetime;
}

void LoadTracker::markOpened(Server &S, std::string_view Source) {
  if (!S.IsUnavailable)
    return;
  logEvent(LogLevel::Info, "server-opened",
           {{"instance", S.Entry.Id}, {"source", Source}});
  S.IsUnavailable = false;
  // What failed before the group was formed anew says nothing any more.
  S.EjectedUntil = TimePoint();
  S.NextEjection = FirstEjection;
  S.FailureRate = 0;
}

void LoadTracker::take(Server &S, EngineCondition Condition,
                       std::string_view Source, TimePoint Now) {
  switch (Condition) {
  case EngineCondition::Straggles:
    markStraggler(S, Source, Now);
    break;
  case EngineCondition::Closed:
    markClosed(S, Source, Now);
    break;
  case EngineCondition::Opened:
    markOpened(S, Source);
    break;
  }
}

void LoadTracker::onEngineNotice(std::string_view Address,
                                 EngineCondition Condition, TimePoint Now) {
  for (auto &[Id, S] : Servers) {
    if (S.Entry.Address != Address || !S.isUsable())
      continue;
    S.Told = Condition;
    S.ToldUntil = Now + (Condition == EngineCondition::Opened ? OpenedLifetime
                                                              : NoticeLifetime);
    take(S, Condition, "agent", Now);
  }
}

void LoadTracker::onPeerConditions(std::span<const EngineConditionReport> Words,
                                   TimePoint Now) {
  for (const EngineConditionReport &Word : Words)
    if (auto Id = IdOfKey.find(Word.InstanceKey); Id != IdOfKey.end())
      take(Servers[Id->second], Word.Condition, "peer", Now);
}

std::vector<EngineConditionReport>
LoadTracker::ownConditions(TimePoint Now) const {
  std::vector<EngineConditionReport> Result;
  for (const auto &[Id, S] : Servers)
    if (Now < S.ToldUntil)
      Result.push_back({S.Key, S.Told});
  return Result;
}

bool LoadTracker::isStraggler(std::string_view Id, TimePoint Now) const {
  auto Found = Servers.find(Id);
  return Found != Servers.end() && Now < Found->second.StragglerUntil;
}

void LoadTracker::onPeerReport(std::string_view Peer,
                               std::vector<InFlightReport> Report,
                               TimePoint Now) {
  Peers.insert_or_assign(std::string(Peer), PeerReport{std::move(Report), Now});
  recountPeers(Now);
}

void LoadTracker::recountPeers(TimePoint Now) {
  std::erase_if(Peers, [Now](const auto &Item) {
    return Now - Item.second.At > ReportLifetime;
  });
  for (auto &[Id, S] : Servers) {
    S.OfPeers = 0;
    S.PeerGapMillis = 0;
  }
  std::unordered_map<uint64_t, uint32_t> Weights;
  for (const auto &[Peer, Report] : Peers)
    for (const InFlightReport &Part : Report.Counts) {
      auto Id = IdOfKey.find(Part.InstanceKey);
      if (Id == IdOfKey.end())
        continue;
      Server &S = Servers[Id->second];
      S.OfPeers += Part.Count;
      if (Part.GapMillis == 0 || Part.Count == 0)
        continue;
      uint32_t &Weight = Weights[Part.InstanceKey];
      Weight += Part.Count;
      S.PeerGapMillis +=
          (Part.GapMillis - S.PeerGapMillis) * Part.Count / Weight;
    }
}

double LoadTracker::ownGapMillis(const Server &S, TimePoint Now) {
  return Now - S.GapSeenAt <= GapLifetime ? S.OwnGapMillis : 0;
}

double LoadTracker::gapMillis(const Server &S, TimePoint Now) {
  return std::max(ownGapMillis(S, Now), S.PeerGapMillis);
}

double LoadTracker::slowness(const Server &S, const UsualTimes &Usual,
                             TimePoint Now) {
  double Gap = gapMillis(S, Now);
  double Factor = 1;
  if (Gap > 0 && Usual.GapMillis > 0)
    Factor = Gap / Usual.GapMillis;
  else if (S.LatencyMillis > 0 && Usual.LatencyMillis > 0)
    Factor = S.LatencyMillis / Usual.LatencyMillis;
  return std::clamp(Factor, 1.0, MaxSlowFactor);
}

LoadTracker::UsualTimes LoadTracker::usualTimes(std::string_view Service,
                                                TimePoint Now) const {
  std::vector<double> Latencies;
  std::vector<double> Gaps;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Service)
      continue;
    if (S.LatencyMillis > 0)
      Latencies.push_back(S.LatencyMillis);
    if (double Gap = gapMillis(S, Now); Gap > 0)
      Gaps.push_back(Gap);
  }
  auto Usual = [](std::vector<double> &Known) {
    if (Known.empty())
      return 0.0;
    auto At =
        Known.begin() + static_cast<ptrdiff_t>(Known.size() / UsualQuantile);
    std::nth_element(Known.begin(), At, Known.end());
    return *At;
  };
  return {Usual(Latencies), Usual(Gaps)};
}

double LoadTracker::score(const Server &S, const UsualTimes &Usual,
                          TimePoint Now) {
  double Load = (S.Own + S.OfPeers + 1.0) / std::max(1u, S.Entry.Slots);
  double Remote = S.Entry.DataCentre == LocalDataCentre ? 0.0 : RemotePenalty;
  std::uniform_real_distribution<double> Tie(0, 0.01);
  return Load * slowness(S, Usual, Now) + S.FailureRate + Remote + Tie(Random);
}

bool LoadTracker::isRecovering(std::string_view Service) const {
  bool HasServers = false;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Service || !S.isUsable())
      continue;
    if (!S.IsUnavailable)
      return false;
    HasServers = true;
  }
  return HasServers;
}

std::optional<Choice> LoadTracker::choose(std::string_view Service,
                                          std::span<const std::string> Excluded,
                                          TimePoint Now) {
  if (isRecovering(Service)) {
    auto Trial = NextTrials.find(Service);
    if (Trial != NextTrials.end() && Now < Trial->second)
      return std::nullopt;
  }
  size_t Usable = 0;
  size_t Ejected = 0;
  size_t Stragglers = 0;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Service || !S.isUsable() || S.IsUnavailable)
      continue;
    ++Usable;
    Ejected += Now < S.EjectedUntil;
    Stragglers += Now < S.StragglerUntil;
  }
  // Where most of a service seems to fail the evidence is about something
  // else, and leaving servers out would only overload the rest.
  bool HonoursEjection = Ejected * 2 <= Usable;
  bool AvoidsStragglers = Stragglers * 2 <= Usable;
  UsualTimes Usual = usualTimes(Service, Now);
  std::vector<const Server *> Candidates;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Service || !S.isUsable() || contains(Excluded, Id) ||
        (HonoursEjection && Now < S.EjectedUntil) ||
        (AvoidsStragglers && Now < S.StragglerUntil) ||
        (S.IsUnavailable && Now < S.NextTrial))
      continue;
    Candidates.push_back(&S);
  }
  const Server *Best = bestOfFew(Candidates, Usual, Now);
  if (!Best)
    return std::nullopt;
  uint32_t InFlight = Best->Own + Best->OfPeers;
  return Choice{&Best->Entry, InFlight, InFlight < Best->Entry.Slots};
}

const LoadTracker::Server *
LoadTracker::bestOfFew(std::vector<const Server *> &Candidates,
                       const UsualTimes &Usual, TimePoint Now) {
  auto FirstSlow = std::partition(
      Candidates.begin(), Candidates.end(),
      [&](const Server *S) { return slowness(*S, Usual, Now) < SlowFactor; });
  auto Fast = static_cast<size_t>(FirstSlow - Candidates.begin());
  size_t Pool = Fast > 0 ? Fast : Candidates.size();
  // All nodes that saw the same least loaded server would send to it until the
  // next heartbeats; a few random ones each spread them.
  size_t Few = std::min(SampledServers, Pool);
  for (size_t I = 0; I < Few; ++I) {
    std::uniform_int_distribution<size_t> Any(I, Pool - 1);
    std::swap(Candidates[I], Candidates[Any(Random)]);
  }
  const Server *Best = bestOf(std::span(Candidates).first(Few), Usual, Now);
  auto HasFreeSlot = [](const Server *S) {
    return S->Own + S->OfPeers < S->Entry.Slots;
  };
  if (!Best || HasFreeSlot(Best))
    return Best;
  // A free slot at a slow server is worth more than a place in a queue: groups
  // are seldom slow for long.
  auto FirstFull =
      std::partition(Candidates.begin(), Candidates.end(), HasFreeSlot);
  auto Free = static_cast<size_t>(FirstFull - Candidates.begin());
  if (Free > 0)
    return bestOf(std::span(Candidates).first(Free), Usual, Now);
  return bestOf(Candidates, Usual, Now);
}

const LoadTracker::Server *
LoadTracker::bestOf(std::span<const Server *const> Candidates,
                    const UsualTimes &Usual, TimePoint Now) {
  const Server *Best = nullptr;
  double BestScore = 0;
  for (const Server *S : Candidates) {
    double Score = score(*S, Usual, Now);
    if (!Best || Score < BestScore) {
      Best = S;
      BestScore = Score;
    }
  }
  return Best;
}

std::vector<InFlightReport> LoadTracker::ownReport(TimePoint Now) const {
  std::vector<InFlightReport> Result;
  for (const auto &[Id, S] : Servers) {
    if (S.Own == 0)
      continue;
    double Gap = ownGapMillis(S, Now);
    Result.push_back({S.Key, S.Own, static_cast<uint32_t>(std::lround(Gap))});
  }
  return Result;
}

uint32_t LoadTracker::inFlight(std::string_view Id) const {
  auto Found = Servers.find(Id);
  return Found == Servers.end() ? 0 : Found->second.Own + Found->second.OfPeers;
}

std::string LoadTracker::describe(TimePoint Now) const {
  std::string Text;
  for (const auto &[Id, S] : Servers) {
    Text +=
        Id + " service=" + S.Entry.Service + " own=" + std::to_string(S.Own) +
        " peers=" + std::to_string(S.OfPeers) +
        " slots=" + std::to_string(S.Entry.Slots) +
        " failure_percent=" + std::to_string(std::lround(S.FailureRate * 100)) +
        " latency_ms=" + std::to_string(std::lround(S.LatencyMillis)) +
        " gap_ms=" + std::to_string(std::lround(gapMillis(S, Now))) +
        (S.Entry.IsDraining ? " draining" : "") +
        (S.IsUnavailable ? " unavailable" : "") +
        (Now < S.StragglerUntil ? " straggler" : "") +
        (Now < S.EjectedUntil ? " ejected" : "") + "\n";
  }
  return Text;
}

} // namespace ragwort::gateway
