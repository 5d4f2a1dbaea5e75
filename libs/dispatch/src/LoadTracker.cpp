//===- LoadTracker.cpp - Load and health of backend servers ---------------===//
#include "ragwort/dispatch/LoadTracker.h"
#include "ragwort/base/Hash.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwort::dispatch {

namespace {

// A server in another data centre is preferred only if its load, as a fraction
// of its slots, is lower by this value.
constexpr double RemotePenalty = 0.03;
// A server is slow from this multiple of the usual time on, and is used only
// when the others are full. Load alone makes a batching server about one and a
// half times slower.
constexpr double SlownessThreshold = 2.0;
// Number of random candidates that are compared for each request. Between two
// heartbeats the fleet places about as many requests as there are servers; in
// that range two to three choices are known to work best.
constexpr size_t SampledServers = 3;

bool contains(std::span<const std::string> Ids, std::string_view Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

void LoadTracker::sync(const BackendDirectory &Directory) {
  for (auto It = Servers.begin(); It != Servers.end();) {
    if (Directory.instances().count(It->first)) {
      ++It;
      continue;
    }
    IdByKey.erase(It->second.Key);
    It = Servers.erase(It);
  }
  for (const auto &[Id, Entry] : Directory.instances()) {
    Server &S = Servers[Id];
    if (S.Entry == Entry)
      continue;
    // A restarted instance with the same id does not inherit the statistics of
    // its previous run, only the count of requests in flight.
    if (S.Entry.BornMillis != Entry.BornMillis ||
        S.Entry.Address != Entry.Address) {
      uint32_t OwnInFlight = S.OwnInFlight;
      S = Server();
      S.OwnInFlight = OwnInFlight;
    }
    S.Entry = Entry;
    S.Key = hash64(Id);
    IdByKey[S.Key] = Id;
    applyReports(S);
  }
  markSuperseded();
}

void LoadTracker::applyReports(Server &S) const {
  S.IsLeaving = Reports.isLeaving(S.run());
  TimePoint Until = Reports.pausedUntil(S.run());
  if (Until == S.PausedUntil)
    return;
  S.PausedUntil = Until;
  S.IsReturning = true;
}

void LoadTracker::markLeaving(Server &S, std::string_view Source) {
  if (std::exchange(S.IsLeaving, true))
    return;
  logEvent(LogLevel::Info, "server-leaving",
           {{"instance", S.Entry.Id},
            {"source", Source},
            {"own", S.OwnInFlight},
            {"peers", S.PeerInFlight}});
}

void LoadTracker::onLeaving(const BackendInstance &Instance, TimePoint Now) {
  ServerRun Run{hash64(Instance.Id), Instance.BornMillis};
  Reports.setLeaving(Run, Now, /*IsOwn=*/true);
  if (Server *S = find(Instance.Id); S && S->run() == Run)
    markLeaving(*S, "answer");
}

void LoadTracker::onPeerLeaving(std::span<const ServerRun> Leaving,
                                TimePoint Now) {
  for (const ServerRun &Run : Leaving) {
    Reports.setLeaving(Run, Now, /*IsOwn=*/false);
    auto Id = IdByKey.find(Run.InstanceKey);
    if (Id == IdByKey.end())
      continue;
    if (Server &S = Servers[Id->second]; S.run() == Run)
      markLeaving(S, "peer");
  }
}

void LoadTracker::onPaused(const BackendInstance &Instance, Duration Pause,
                           TimePoint Now) {
  ServerRun Run{hash64(Instance.Id), Instance.BornMillis};
  Reports.setPaused(Run, Now + Pause, Now);
  Server *S = find(Instance.Id);
  if (!S || S->run() != Run)
    return;
  if (Now >= S->PausedUntil)
    logEvent(LogLevel::Info, "server-paused",
             {{"instance", Instance.Id},
              {"pause_ms", Pause.count() / 1000},
              {"own", S->OwnInFlight},
              {"peers", S->PeerInFlight}});
  applyReports(*S);
  S->NextReturnTrial = S->PausedUntil;
}

void LoadTracker::onRateLimit(const BackendInstance &Instance,
                              std::optional<double> PerSecond, TimePoint Now) {
  ServerRun Run{hash64(Instance.Id), Instance.BornMillis};
  if (Limits.onStated(Run, PerSecond, Now))
    logRateLimit(Run, "answer");
}

void LoadTracker::onPeerRateLimits(std::span<const RateLimitReport> Reports,
                                   TimePoint Now) {
  for (const RateLimitReport &Report : Reports)
    if (Limits.onPeerReport(Report, Now))
      logRateLimit(Report.Run, "peer");
}

void LoadTracker::logRateLimit(const ServerRun &Run,
                               std::string_view Source) const {
  auto Id = IdByKey.find(Run.InstanceKey);
  std::optional<double> Limit = Limits.limit(Run);
  logEvent(LogLevel::Info, "server-rate-limit",
           {{"instance", Id == IdByKey.end() ? "" : Id->second},
            {"per_second", Limit ? std::to_string(*Limit) : "none"},
            {"own_rate", std::to_string(Limits.ownRate(Run).value_or(0))},
            {"source", Source}});
}

bool LoadTracker::isRateLimited(std::string_view Service) const {
  return std::any_of(Servers.begin(), Servers.end(), [&](const auto &Item) {
    const Server &S = Item.second;
    return S.Entry.Service == Service && S.isUsable() && Limits.limit(S.run());
  });
}

double LoadTracker::ownRate(std::string_view Service) const {
  double Sum = 0;
  for (const auto &[Id, S] : Servers)
    if (S.Entry.Service == Service && S.isUsable())
      Sum += Limits.ownRate(S.run()).value_or(0);
  return Sum;
}

void LoadTracker::onMalformedField(std::string_view Id, std::string_view Field,
                                   std::string_view Value) {
  Server *S = find(Id);
  if (!S || std::exchange(S->HasMalformedField, true))
    return;
  logEvent(LogLevel::Warning, "server-field-ignored",
           {{"instance", Id}, {"field", Field}, {"value", Value}});
}

void LoadTracker::markSuperseded() {
  // An entry is removed only some heartbeats after its server has ended. Of the
  // instances at one address only the newest can be running.
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
  ++S->OwnInFlight;
  Limits.onSent(S->run(), Now);
  S->Health.onSent(Now);
  if (S->IsReturning)
    S->NextReturnTrial = Now + ServerHealth::TrialInterval;
  if (S->Health.isUnavailable())
    NextTrials[S->Entry.Service] = Now + ServerHealth::TrialInterval;
}

void LoadTracker::onEnded(std::string_view Id) {
  Server *S = find(Id);
  if (S && S->OwnInFlight > 0)
    --S->OwnInFlight;
}

void LoadTracker::onAnswered(std::string_view Id, Duration Latency,
                             TimePoint Now) {
  Server *S = find(Id);
  if (!S)
    return;
  S->Speed.addLatency(Latency);
  S->Health.onAnswered(Now - Latency);
  // An answer to a request sent before the end of a pause does not show that
  // the server accepts requests again.
  if (Now - Latency >= S->PausedUntil)
    S->IsReturning = false;
}

void LoadTracker::onEvent(std::string_view Id, Duration Gap, TimePoint Now) {
  if (Server *S = find(Id))
    S->Speed.addGap(Gap, Now);
}

void LoadTracker::onFault(std::string_view Id, ServerFault Fault,
                          TimePoint Now) {
  if (Server *S = find(Id))
    S->Health.onFault(Fault, Now);
}

void LoadTracker::applyCondition(Server &S, EngineCondition Condition,
                                 std::string_view Source, TimePoint Now) {
  if (!S.Health.onCondition(Condition, Now))
    return;
  if (Condition == EngineCondition::Opened) {
    logEvent(LogLevel::Info, "server-available",
             {{"instance", S.Entry.Id}, {"source", Source}});
    return;
  }
  logEvent(LogLevel::Warning,
           Condition == EngineCondition::Closed ? "server-unavailable"
                                                : "straggler-reported",
           {{"instance", S.Entry.Id},
            {"source", Source},
            {"own", S.OwnInFlight},
            {"peers", S.PeerInFlight}});
}

void LoadTracker::onEngineNotice(std::string_view Address,
                                 EngineCondition Condition, TimePoint Now) {
  for (auto &[Id, S] : Servers) {
    if (S.Entry.Address != Address || !S.isUsable())
      continue;
    S.Health.onOwnNotice(Condition, Now);
    applyCondition(S, Condition, "agent", Now);
  }
}

void LoadTracker::onPeerConditions(
    std::span<const EngineConditionReport> Reports, TimePoint Now) {
  for (const EngineConditionReport &Report : Reports)
    if (auto Id = IdByKey.find(Report.InstanceKey); Id != IdByKey.end())
      applyCondition(Servers[Id->second], Report.Condition, "peer", Now);
}

std::vector<EngineConditionReport>
LoadTracker::ownConditions(TimePoint Now) const {
  std::vector<EngineConditionReport> Result;
  for (const auto &[Id, S] : Servers)
    if (std::optional<EngineCondition> Condition = S.Health.toForward(Now))
      Result.push_back({S.Key, *Condition});
  return Result;
}

bool LoadTracker::isStraggler(std::string_view Id, TimePoint Now) const {
  auto Found = Servers.find(Id);
  return Found != Servers.end() && Found->second.Health.isStraggler(Now);
}

bool LoadTracker::isStopping(std::string_view Id) const {
  auto Found = Servers.find(Id);
  return Found == Servers.end() || !Found->second.isUsable();
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
    S.PeerInFlight = 0;
    S.Speed.clearPeerGaps();
  }
  for (const auto &[Peer, Report] : Peers)
    for (const InFlightReport &Part : Report.Counts) {
      auto Id = IdByKey.find(Part.InstanceKey);
      if (Id == IdByKey.end())
        continue;
      Server &S = Servers[Id->second];
      S.PeerInFlight += Part.Count;
      S.Speed.addPeerGap(Part.GapMillis, Part.Count);
    }
}

UsualTimes LoadTracker::usualTimesOf(std::string_view Service,
                                     TimePoint Now) const {
  std::vector<const ServerSpeed *> Speeds;
  for (const auto &[Id, S] : Servers)
    if (S.Entry.Service == Service)
      Speeds.push_back(&S.Speed);
  return usualTimes(Speeds, Now);
}

double LoadTracker::score(const Server &S, const UsualTimes &Usual,
                          TimePoint Now) {
  double Load =
      (S.OwnInFlight + S.PeerInFlight + 1.0) / std::max(1u, S.Entry.Slots);
  double Remote = S.Entry.DataCentre == LocalDataCentre ? 0.0 : RemotePenalty;
  std::uniform_real_distribution<double> TieBreak(0, 0.01);
  return Load * S.Speed.slowness(Usual, Now) + S.Health.failureRate() + Remote +
         TieBreak(Random);
}

std::optional<TimePoint> LoadTracker::recoveringSince(std::string_view Service,
                                                      TimePoint Now) const {
  std::optional<TimePoint> Since;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Service || !S.isUsable() || Now < S.PausedUntil)
      continue;
    std::optional<TimePoint> Closed = S.Health.unavailableSince();
    if (!Closed)
      return std::nullopt;
    Since = std::max(Since.value_or(*Closed), *Closed);
  }
  return Since;
}

std::optional<TimePoint> LoadTracker::pauseEnd(const Selection &Among,
                                               TimePoint Now) const {
  std::optional<TimePoint> First;
  for (const auto &[Id, S] : Servers) {
    if (!isCandidate(S, Among))
      continue;
    TimePoint End = std::max(S.pauseEnd(), Limits.nextSend(S.run()));
    if (Now < End && End != TimePoint::max())
      First = std::min(First.value_or(End), End);
  }
  return First;
}

bool LoadTracker::isCandidate(const Server &S, const Selection &Among) {
  return S.Entry.Service == Among.Service && S.isUsable() &&
         !contains(Among.Excluded, S.Entry.Id);
}

std::optional<Choice> LoadTracker::choose(const Selection &Among,
                                          TimePoint Now) {
  if (isRecovering(Among.Service, Now)) {
    auto Trial = NextTrials.find(Among.Service);
    if (Trial != NextTrials.end() && Now < Trial->second)
      return std::nullopt;
  }
  size_t Usable = 0;
  size_t Ejected = 0;
  size_t Stragglers = 0;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Among.Service || !S.isUsable() ||
        S.Health.isUnavailable() || Now < S.pauseEnd())
      continue;
    ++Usable;
    Ejected += S.Health.isEjected(Now);
    Stragglers += S.Health.isStraggler(Now);
  }
  // If more than half of a service seems to fail, the cause is probably not the
  // servers themselves, and excluding them would only overload the others.
  bool SkipsEjected = Ejected * 2 <= Usable;
  bool SkipsStragglers = Stragglers * 2 <= Usable;
  UsualTimes Usual = usualTimesOf(Among.Service, Now);
  std::vector<const Server *> Candidates;
  for (const auto &[Id, S] : Servers) {
    if (!isCandidate(S, Among) || (SkipsEjected && S.Health.isEjected(Now)) ||
        (SkipsStragglers && S.Health.isStraggler(Now)) ||
        S.Health.awaitsTrial(Now) || Now < S.pauseEnd() ||
        !Limits.maySend(S.run(), Now))
      continue;
    Candidates.push_back(&S);
  }
  const Server *Best = bestOfSample(Candidates, Usual, Now);
  if (!Best)
    return std::nullopt;
  uint32_t InFlight = Best->OwnInFlight + Best->PeerInFlight;
  return Choice{&Best->Entry, InFlight, InFlight < Best->Entry.Slots};
}

const LoadTracker::Server *
LoadTracker::bestOfSample(std::vector<const Server *> &Candidates,
                          const UsualTimes &Usual, TimePoint Now) {
  auto FirstSlow = std::partition(
      Candidates.begin(), Candidates.end(), [&](const Server *S) {
        return S->Speed.slowness(Usual, Now) < SlownessThreshold;
      });
  auto Fast = static_cast<size_t>(FirstSlow - Candidates.begin());
  size_t Pool = Fast > 0 ? Fast : Candidates.size();
  // If every node chose the globally least loaded server, all would send to it
  // until the next heartbeat. Comparing a few random candidates avoids that.
  size_t SampleSize = std::min(SampledServers, Pool);
  for (size_t I = 0; I < SampleSize; ++I) {
    std::uniform_int_distribution<size_t> Any(I, Pool - 1);
    std::swap(Candidates[I], Candidates[Any(Random)]);
  }
  const Server *Best =
      lowestScore(std::span(Candidates).first(SampleSize), Usual, Now);
  auto HasFreeSlot = [](const Server *S) {
    return S->OwnInFlight + S->PeerInFlight < S->Entry.Slots;
  };
  if (!Best || HasFreeSlot(Best))
    return Best;
  // A free slot at a slow server is better than queueing at a full one: groups
  // are seldom slow for long.
  auto FirstFull =
      std::partition(Candidates.begin(), Candidates.end(), HasFreeSlot);
  auto Free = static_cast<size_t>(FirstFull - Candidates.begin());
  if (Free > 0)
    return lowestScore(std::span(Candidates).first(Free), Usual, Now);
  return lowestScore(Candidates, Usual, Now);
}

const LoadTracker::Server *
LoadTracker::lowestScore(std::span<const Server *const> Candidates,
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
    if (S.OwnInFlight == 0)
      continue;
    double Gap = S.Speed.ownGapMillis(Now);
    Result.push_back(
        {S.Key, S.OwnInFlight, static_cast<uint32_t>(std::lround(Gap))});
  }
  return Result;
}

uint32_t LoadTracker::inFlight(std::string_view Id) const {
  auto Found = Servers.find(Id);
  return Found == Servers.end()
             ? 0
             : Found->second.OwnInFlight + Found->second.PeerInFlight;
}

ServerCounts LoadTracker::counts(TimePoint Now) const {
  ServerCounts Result;
  Result.Listed = Servers.size();
  for (const auto &[Id, S] : Servers) {
    Result.Draining += S.Entry.IsDraining;
    Result.Leaving += S.IsLeaving;
    Result.Paused += Now < S.PausedUntil;
    Result.RateLimited += Limits.limit(S.run()).has_value();
    Result.Unavailable += S.Health.isUnavailable();
    Result.Ejected += S.Health.isEjected(Now);
    Result.Stragglers += S.Health.isStraggler(Now);
  }
  return Result;
}

std::string LoadTracker::describeLimit(const Server &S) const {
  std::optional<double> Limit = Limits.limit(S.run());
  return Limit ? " limit=" + std::to_string(*Limit) +
                     " own_rate=" + std::to_string(*Limits.ownRate(S.run()))
               : "";
}

std::string LoadTracker::describe(TimePoint Now) const {
  std::string Text;
  for (const auto &[Id, S] : Servers) {
    Text +=
        Id + " service=" + S.Entry.Service +
        " own=" + std::to_string(S.OwnInFlight) +
        " peers=" + std::to_string(S.PeerInFlight) +
        " slots=" + std::to_string(S.Entry.Slots) + " failure_percent=" +
        std::to_string(std::lround(S.Health.failureRate() * 100)) +
        " latency_ms=" + std::to_string(std::lround(S.Speed.latencyMillis())) +
        " gap_ms=" + std::to_string(std::lround(S.Speed.gapMillis(Now))) +
        (S.Entry.IsDraining ? " draining" : "") +
        (S.IsLeaving ? " leaving" : "") +
        (Now < S.PausedUntil ? " paused" : "") + describeLimit(S) +
        (S.Health.isUnavailable() ? " unavailable" : "") +
        (S.Health.isStraggler(Now) ? " straggler" : "") +
        (S.Health.isEjected(Now) ? " ejected" : "") + "\n";
  }
  return Text;
}

} // namespace ragwort::dispatch
