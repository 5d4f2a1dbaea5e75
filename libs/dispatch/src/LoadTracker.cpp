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
// Added to the score of servers whose path is doubtful, as a fraction of their
// slots.
constexpr double DoubtfulPenalty = 0.5;
// Number of random candidates that are compared for each request. Between two
// heartbeats the fleet places about as many requests as there are servers; in
// that range two to three choices are known to work best.
constexpr size_t SampledServers = 3;

bool contains(std::span<const std::string> Ids, std::string_view Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

bool isWithin(const RegionSet *Regions, std::string_view Region) {
  return !Regions || Regions->contains(Region);
}

} // namespace

void LoadTracker::sync(const BackendDirectory &Directory, TimePoint Now) {
  for (auto It = Servers.begin(); It != Servers.end();) {
    if (Directory.instances().count(It->first)) {
      ++It;
      continue;
    }
    IdByKey.erase(It->second.Key);
    Cold.forget(It->second.Key);
    It = Servers.erase(It);
  }
  for (const auto &[Id, Entry] : Directory.instances()) {
    Server &S = Servers[Id];
    if (S.Entry == Entry)
      continue;
    // A restarted instance with the same id does not inherit the statistics of
    // its previous run, only the count of requests in flight.
    bool IsNewRun = S.Entry.BornMillis != Entry.BornMillis ||
                    S.Entry.Address != Entry.Address;
    if (IsNewRun) {
      uint32_t OwnInFlight = S.OwnInFlight;
      std::optional<TimePoint> Closed = groupClosedSince(Entry);
      S = Server();
      S.OwnInFlight = OwnInFlight;
      if (Closed) {
        S.Health.beginInClosedGroup(*Closed);
        logEvent(LogLevel::Info, "server-awaits-group", {{"instance", Id}});
      }
    }
    S.Entry = Entry;
    S.Key = hash64(Id);
    IdByKey[S.Key] = Id;
    applyReports(S);
    applyPlace(S);
    applyWarmUp(S, IsNewRun, Now);
  }
  markSuperseded();
  ++PlacesVersion;
}

void LoadTracker::applyPlace(Server &S) const {
  S.IsEvacuated = Evacuated.contains(S.Entry.DataCentre);
  auto Region = Regions.find(S.Entry.DataCentre);
  S.Region = Region == Regions.end() ? "" : Region->second;
}

void LoadTracker::setRegions(
    std::map<std::string, std::string, std::less<>> Given) {
  Regions = std::move(Given);
  for (auto &[Id, S] : Servers)
    applyPlace(S);
  ++PlacesVersion;
}

void LoadTracker::setEvacuated(DataCentreSet Names) {
  Evacuated = std::move(Names);
  for (auto &[Id, S] : Servers)
    applyPlace(S);
  ++PlacesVersion;
}

bool LoadTracker::isEvacuated(std::string_view Id) const {
  auto Found = Servers.find(Id);
  return Found != Servers.end() && Found->second.IsEvacuated;
}

std::optional<SelectionBar> LoadTracker::barOf(const Selection &Among) const {
  std::optional<SelectionBar> Bar;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Among.Service || !S.isUsable())
      continue;
    if (isEligible(S, Among))
      return std::nullopt;
    if (isWithin(Among.Regions, S.Region))
      Bar = SelectionBar::Evacuated;
    else if (!Bar)
      Bar = SelectionBar::OutsideRegions;
  }
  return Bar;
}

void LoadTracker::setWarmUps(
    std::map<std::string, WarmUp, std::less<>> ByService, TimePoint Now) {
  if (WarmUps == ByService)
    return;
  WarmUps = std::move(ByService);
  for (const auto &[Id, S] : Servers)
    applyWarmUp(S, /*IsNewRun=*/false, Now);
}

void LoadTracker::applyWarmUp(const Server &S, bool IsNewRun, TimePoint Now) {
  auto Found = WarmUps.find(S.Entry.Service);
  if (Found == WarmUps.end()) {
    Cold.forget(S.Key);
    return;
  }
  Duration Remaining{0};
  if (S.Entry.ColdMillis)
    Remaining = std::chrono::milliseconds(*S.Entry.ColdMillis);
  else if (IsNewRun)
    Remaining = Found->second.Length;
  else
    return;
  if (Cold.onEntry(S.run(), Found->second.PerSecond, Now + Remaining, Now))
    logCold(S, "entry", Now);
}

void LoadTracker::onPeerCold(std::span<const ColdReport> Reports,
                             TimePoint Now) {
  for (const ColdReport &Report : Reports) {
    auto Id = IdByKey.find(Report.Run.InstanceKey);
    if (Id == IdByKey.end())
      continue;
    const Server &S = Servers[Id->second];
    auto Found = WarmUps.find(S.Entry.Service);
    if (Found == WarmUps.end())
      continue;
    // A remaining time is never longer than entries may say.
    TimePoint Until = Now + std::chrono::milliseconds(Report.RemainingMillis);
    if (Cold.onPeerReport(Report.Run, Found->second.PerSecond, Until, Now))
      logCold(S, "peer", Now);
  }
}

void LoadTracker::logCold(const Server &S, std::string_view Source,
                          TimePoint Now) const {
  logEvent(LogLevel::Info, "server-cold",
           {{"instance", S.Entry.Id},
            {"own_per_second", Cold.ownSends(S.run(), Now).value_or(0)},
            {"source", Source}});
}

std::optional<TimePoint>
LoadTracker::groupClosedSince(const BackendInstance &Entry) const {
  for (const auto &[Id, S] : Servers)
    if (S.Entry.Service == Entry.Service && S.isUsable() &&
        S.Health.isGroupClosed())
      return S.Health.unavailableSince();
  return std::nullopt;
}

bool LoadTracker::areMostReportedClosed(std::string_view Service,
                                        TimePoint Now) const {
  size_t Usable = 0;
  size_t Closed = 0;
  for (const auto &[Id, S] : Servers) {
    if (S.Entry.Service != Service || !S.isUsable())
      continue;
    ++Usable;
    Closed += S.Health.hasClosedNotice(Now);
  }
  return Closed * 2 > Usable;
}

bool LoadTracker::isGroupClosed(std::string_view Service, TimePoint Now) const {
  return isRecovering({Service, {}}, Now) &&
         std::any_of(Servers.begin(), Servers.end(), [&](const auto &Item) {
           const Server &S = Item.second;
           return S.Entry.Service == Service && S.isUsable() &&
                  S.Health.isGroupClosed();
         });
}

uint32_t LoadTracker::availableSlots(std::string_view Service,
                                     TimePoint Now) const {
  uint32_t Sum = 0;
  for (const auto &[Id, S] : Servers)
    if (isEligible(S, {Service, {}}) && !S.Health.isUnavailable() &&
        Now >= S.pauseEnd())
      Sum += S.Entry.Slots;
  return Sum;
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

bool LoadTracker::isRateLimited(const Selection &Among, TimePoint Now) const {
  return std::any_of(Servers.begin(), Servers.end(), [&](const auto &Item) {
    const Server &S = Item.second;
    return isEligible(S, Among) &&
           (Limits.limit(S.run()) || Cold.ownSends(S.run(), Now));
  });
}

double LoadTracker::ownRate(const Selection &Among, TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Id, S] : Servers) {
    if (!isEligible(S, Among))
      continue;
    std::optional<double> Rate = Limits.ownRate(S.run());
    if (std::optional<size_t> Sends = Cold.ownSends(S.run(), Now)) {
      auto PerSecond = static_cast<double>(*Sends);
      Rate = std::min(Rate.value_or(PerSecond), PerSecond);
    }
    Sum += Rate.value_or(0);
  }
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
  Cold.onSent(S->run(), Now);
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

void LoadTracker::onConnected(std::string_view Id) {
  if (Server *S = find(Id))
    S->Health.onConnected();
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

void LoadTracker::onReached(const BackendInstance &Instance, TimePoint Begun,
                            TimePoint Now) {
  for (const std::string &Id : Paths.onReached(Instance.DataCentre, Begun, Now))
    if (Server *S = find(Id))
      S->Health.onFaultsExplained();
}

void LoadTracker::onSilence(const BackendInstance &Instance, Silence Kind,
                            TimePoint Begun, TimePoint Now) {
  Paths.onSilence(Instance.DataCentre, Instance.Id, Kind, Begun, Now);
  if (Paths.state(Instance.DataCentre) != PathState::Lost)
    onFault(Instance.Id,
            Kind == Silence::Connect ? ServerFault::NotConnected
                                     : ServerFault::TimedOut,
            Now);
}

std::vector<BackendInstance> LoadTracker::takeProbes(TimePoint Now) {
  std::vector<BackendInstance> Result;
  if (Paths.areAllGood())
    return Result;
  for (const std::string &DataCentre : Paths.takeProbes(Now)) {
    std::vector<const Server *> There;
    for (const auto &[Id, S] : Servers)
      if (S.Entry.DataCentre == DataCentre && S.isUsable())
        There.push_back(&S);
    if (There.empty())
      continue;
    std::uniform_int_distribution<size_t> Any(0, There.size() - 1);
    Result.push_back(There[Any(Random)]->Entry);
  }
  return Result;
}

bool LoadTracker::skipsLostPaths(const Selection &Among, TimePoint Now) const {
  return Paths.count(PathState::Lost) > 0 &&
         std::any_of(Servers.begin(), Servers.end(), [&](const auto &Item) {
           const Server &S = Item.second;
           return isCandidate(S, Among) && !isBehindLostPath(S) &&
                  !S.Health.isUnavailable() && Now >= S.pauseEnd();
         });
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
  if (!Paths.areAllGood() && Paths.state(S.Entry.DataCentre) != PathState::Good)
    Remote += DoubtfulPenalty;
  std::uniform_real_distribution<double> TieBreak(0, 0.01);
  return Load * S.Speed.slowness(Usual, Now) + S.Health.failureRate() + Remote +
         TieBreak(Random);
}

std::optional<TimePoint> LoadTracker::recoveringSince(const Selection &Among,
                                                      TimePoint Now) const {
  std::optional<TimePoint> Since;
  for (const auto &[Id, S] : Servers) {
    if (!isEligible(S, Among) || Now < S.PausedUntil)
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
    TimePoint End = std::max(
        {S.pauseEnd(), Limits.nextSend(S.run()), Cold.nextSend(S.run(), Now)});
    if (Now < End && End != TimePoint::max())
      First = std::min(First.value_or(End), End);
  }
  return First;
}

bool LoadTracker::isEligible(const Server &S, const Selection &Among) {
  return S.Entry.Service == Among.Service && S.isUsable() && !S.IsEvacuated &&
         isWithin(Among.Regions, S.Region);
}

bool LoadTracker::isCandidate(const Server &S, const Selection &Among) {
  return isEligible(S, Among) && !contains(Among.Excluded, S.Entry.Id);
}

std::optional<Choice> LoadTracker::choose(const Selection &Among,
                                          TimePoint Now) {
  if (isRecovering(Among, Now)) {
    auto Trial = NextTrials.find(Among.Service);
    if ((Trial != NextTrials.end() && Now < Trial->second) ||
        areMostReportedClosed(Among.Service, Now))
      return std::nullopt;
  }
  bool SkipsLost = skipsLostPaths(Among, Now);
  size_t Usable = 0;
  size_t Ejected = 0;
  size_t Stragglers = 0;
  bool IsAnyReportedClosed = false;
  for (const auto &[Id, S] : Servers) {
    if (!isEligible(S, Among))
      continue;
    IsAnyReportedClosed |= S.Health.hasClosedNotice(Now);
    if ((S.Health.isUnavailable() && !S.Health.isDown()) ||
        Now < S.pauseEnd() || (SkipsLost && isBehindLostPath(S)))
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
        S.Health.awaitsTrial(Now) ||
        (S.Health.awaitsGroup() && IsAnyReportedClosed) || Now < S.pauseEnd() ||
        (SkipsLost && isBehindLostPath(S)) || !Limits.maySend(S.run(), Now) ||
        !Cold.maySend(S.run(), Now))
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
    Result.Cold += Cold.isCold(S.run(), Now);
    Result.Unavailable += S.Health.isUnavailable();
    Result.Ejected += S.Health.isEjected(Now);
    Result.Stragglers += S.Health.isStraggler(Now);
    Result.Evacuated += S.IsEvacuated;
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
        (S.IsEvacuated ? " evacuated" : "") + (S.IsLeaving ? " leaving" : "") +
        (Now < S.PausedUntil ? " paused" : "") +
        (Cold.isCold(S.run(), Now) ? " cold" : "") + describeLimit(S) +
        (S.Health.isUnavailable() ? " unavailable" : "") +
        (S.Health.isStraggler(Now) ? " straggler" : "") +
        (S.Health.isEjected(Now) ? " ejected" : "") + "\n";
  }
  return Text;
}

} // namespace ragwort::dispatch
