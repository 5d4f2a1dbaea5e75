//===- Gateway.cpp - Accepts callers and owns their shared state ----------===//
#include "ragwort/gateway/Gateway.h"
#include "ragwort/base/Hash.h"
#include "ragwort/gateway/RequestHead.h"
#include "ragwort/observe/Log.h"
#include "ragwort/quarantine/RequestFingerprint.h"
#include "ragwort/transport/Listen.h"
#include <algorithm>
#include <charconv>

namespace ragwort::gateway {

namespace {

// Interval at which time limits are applied and waiting requests dispatched.
constexpr Duration TickInterval = std::chrono::milliseconds(100);
// Delay before the next accept after a failed one, for example for lack of file
// descriptors.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);
// Retry-After sent while the node has no configuration or directory yet.
constexpr Duration StartingRetryAfter = std::chrono::milliseconds(500);
// One part in this many of the instance's memory may be held for callers and
// servers.
constexpr size_t HeldPart = 2;
// Shortest Retry-After while the node's link is full.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);
constexpr std::string_view BearerScheme = "Bearer ";

std::optional<Duration> parseMillis(std::string_view Text) {
  int64_t Millis = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  // Values above one day are treated as invalid: no caller waits that long.
  if (Parsed.ec != std::errc() || Millis <= 0 || Millis > 86'400'000)
    return std::nullopt;
  return std::chrono::milliseconds(Millis);
}

quarantine::RunKey keyOf(const dispatch::ServerRun &Run) {
  return Run.InstanceKey ^
         hash64({reinterpret_cast<const char *>(&Run.BornMillis),
                 sizeof(Run.BornMillis)});
}

dispatch::DataCentreSet existingDataCentres(const GatewayOptions &Options) {
  dispatch::DataCentreSet Result;
  if (Options.Regions.empty())
    return Result;
  for (const auto &[DataCentre, Region] : Options.Regions)
    Result.insert(DataCentre);
  Result.insert(Options.DataCentre);
  return Result;
}

std::string join(const dispatch::DataCentreSet &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ",") + Name;
  return Text;
}

size_t count(const HeaderFields &Fields, std::string_view Name) {
  return static_cast<size_t>(std::count_if(
      Fields.begin(), Fields.end(), [Name](const HeaderField &Field) {
        return isSameHeaderName(Field.Name, Name);
      }));
}

} // namespace

Gateway::Gateway(asio::io_context &Io, GatewayOptions Given,
                 ProtocolNames HeaderNames, MetricsRegistry &Metrics)
    : Io(Io), Options(std::move(Given)), Names(std::move(HeaderNames)),
      Metrics(Metrics), Acceptor(Io), Ticker(Io),
      Memory(std::make_shared<dispatch::MemoryBudget>(Options.MemoryBytes /
                                                      HeldPart)),
      Link(Options.LinkMbps),
      Dispatch(Options.DataCentre, Options.RetryLimits, Options.Seed),
      Probes(Io, Dispatch.loadTracker(), Pool, Memory),
      Quarantine(Options.Seed, SteadyClock().now()),
      Crashes(Io,
              [this](const dispatch::ServerRun &Run,
                     const quarantine::RequestTraits &Traits) {
                onCrash(Run, Traits);
              }),
      Evacuated(existingDataCentres(Options), SteadyClock().now()),
      Context{Io,
              Names,
              Dispatch,
              Pool,
              Quarantine,
              Crashes,
              Durations,
              Starts,
              Stop,
              Metrics,
              Memory,
              [this](uint64_t Ticket, std::weak_ptr<Forwarding> Request) {
                Waiting.emplace(Ticket, std::move(Request));
                // Another request may have left the queue for this one.
                scheduleDispatch();
              },
              [this] { scheduleDispatch(); },
              [this] { return toString(Directory.version()); }} {
  Dispatch.loadTracker().setRegions(Options.Regions);
}

Gateway::~Gateway() = default;

absl::Status Gateway::listen() {
  absl::Status Listening = listenOn(Acceptor, Options.Listen);
  if (!Listening.ok())
    return Listening;
  acceptNext();
  tick();
  return absl::OkStatus();
}

uint16_t Gateway::port() const { return Acceptor.local_endpoint().port(); }

void Gateway::acceptNext() {
  Acceptor.async_accept([this](error_code Error, asio::ip::tcp::socket Peer) {
    if (Error == asio::error::operation_aborted)
      return;
    if (Error) {
      logEvent(LogLevel::Warning, "accept-failed",
               {{"reason", Error.message()}});
      auto Pause = std::make_shared<asio::steady_timer>(Io, AcceptPause);
      Pause->async_wait([this, Pause](error_code Stopped) {
        if (!Stopped && Acceptor.is_open())
          acceptNext();
      });
      return;
    }
    if (Sessions.size() < Options.MaxCallers) {
      auto Session = std::make_shared<CallerSession>(*this, Io);
      Sessions.insert(Session);
      Session->start(std::move(Peer));
    } else {
      logEvent(LogLevel::Warning, "caller-rejected",
               {{"connections", Sessions.size()}});
    }
    acceptNext();
  });
}

void Gateway::tick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](error_code Error) {
    if (Error)
      return;
    TimePoint Now = SteadyClock().now();
    dispatch::LinkBacklog Backlog;
    for (auto It = Sessions.begin(); It != Sessions.end();) {
      auto Session = *It;
      Session->onTick(Now);
      Backlog.Answering += Session->isAnswering();
      Backlog.Waiting += Session->unsent() > 0;
      Backlog.Bytes += Session->unsent();
      It = Session->isClosed() ? Sessions.erase(It) : std::next(It);
    }
    Link.update(Backlog);
    if (Directory.expire(Now) > 0)
      onDirectoryChanged();
    if (Evacuated.expire(Now))
      onEvacuationsChanged();
    Pool.expire(Now);
    Probes.update(Directory, Now);
    Quarantine.update(Now);
    dispatchWaiting();
    tick();
  });
}

bool Gateway::applyConfig(std::shared_ptr<const TrafficConfig> Newer) {
  if (Config && Newer->Version <= Config->Version)
    return false;
  logEvent(LogLevel::Info, "config-in-force",
           {{"version", Newer->Version},
            {"before", configVersion()},
            {"routes", Newer->routeCount()}});
  Config = std::move(Newer);
  Dispatch.loadTracker().setWarmUps(Config->warmUps(), SteadyClock().now());
  return true;
}

void Gateway::onCrash(const dispatch::ServerRun &Run,
                      const quarantine::RequestTraits &Traits) {
  TimePoint Now = SteadyClock().now();
  // Cold servers fall over for the number of their requests.
  if (Dispatch.loadTracker().isCold(Run, Now))
    logEvent(LogLevel::Info, "cold-crash-ignored",
             {{"fingerprint", quarantine::toString(Traits.fingerprint())}});
  else
    Quarantine.onCrash(keyOf(Run), Traits, Now);
}

void Gateway::onDirectoryChanged() {
  Dispatch.loadTracker().sync(Directory, SteadyClock().now());
  scheduleDispatch();
}

void Gateway::onEvacuationsChanged() {
  Dispatch.loadTracker().setEvacuated(Evacuated.inForce());
  scheduleDispatch();
}

void Gateway::onPeerReport(std::string_view Peer,
                           std::vector<dispatch::InFlightReport> Report) {
  Dispatch.loadTracker().onPeerReport(Peer, std::move(Report),
                                      SteadyClock().now());
  if (!Waiting.empty())
    scheduleDispatch();
}

void Gateway::scheduleDispatch() {
  if (IsDispatchScheduled || Waiting.empty())
    return;
  IsDispatchScheduled = true;
  asio::post(Io, [this] {
    IsDispatchScheduled = false;
    dispatchWaiting();
  });
}

void Gateway::dispatchWaiting() {
  // Repeats because each dispatched request changes the loads on which the next
  // decision is based.
  for (bool IsAny = true; IsAny && !Waiting.empty();) {
    std::vector<dispatch::DequeuedRequest> Dequeued =
        Dispatch.takeReady(SteadyClock().now());
    IsAny = !Dequeued.empty();
    for (const dispatch::DequeuedRequest &D : Dequeued) {
      auto Found = Waiting.find(D.Ticket);
      if (Found == Waiting.end())
        continue;
      auto Request = Found->second.lock();
      Waiting.erase(Found);
      if (Request)
        Request->onDequeued(D);
    }
  }
  std::erase_if(Waiting,
                [](const auto &Item) { return Item.second.expired(); });
}

bool Gateway::hasState() const {
  return Config && Directory.isKnown() &&
         (Evacuated.isKnown() || !Options.AwaitsEvacuations);
}

bool Gateway::isReady() const { return hasState() && !Stop; }

void Gateway::beginDrain(const StopSchedule &Schedule) { Stop = Schedule; }

void Gateway::stopAccepting() {
  error_code Error; // Ignored: closing twice has no effect.
  Acceptor.close(Error);
}

void Gateway::endRequests() {
  for (const auto &Session : Sessions)
    Session->endRequest();
}

void Gateway::closeIdle() {
  for (const auto &Session : Sessions)
    Session->closeIfIdle();
}

size_t Gateway::activeRequests() const {
  return static_cast<size_t>(
      std::count_if(Sessions.begin(), Sessions.end(), [](const auto &Session) {
        return !Session->isClosed() && Session->isAnswering();
      }));
}

void Gateway::onSuspended(Duration Gap) {
  logEvent(LogLevel::Warning, "process-suspended",
           {{"gap_ms", Gap.count() / 1000}, {"kept", Pool.size()}});
  Pool.closeAll();
}

CallerLimits Gateway::limits() const {
  return Config ? Config->Limits : CallerLimits();
}

std::variant<AcceptedRequest, LocalReply> Gateway::accept(http::Request Message,
                                                          TimePoint Arrived) {
  if (!hasState())
    return LocalReply{503, "starting", StartingRetryAfter};
  if (Link.isFull())
    return LocalReply{503, "link-full",
                      Dispatch.spread(std::max(Link.queued(), MinRetryAfter))};
  std::string_view Host = Message.header("Host");
  std::string_view RequestId = Message.header(Names.RequestId);
  if (count(Message.Headers, "Host") != 1 ||
      count(Message.Headers, Names.RequestId) != 1 || RequestId.empty())
    return LocalReply{400, "host-or-request-id-missing", std::nullopt};
  const Route *Target = Config->findRoute(Host, Message.Target);
  if (!Target)
    return LocalReply{404, "no-route", std::nullopt};
  AcceptedRequest Result;
  Result.Priority = Target->Priority;
  const Organisation *Owner = nullptr;
  if (Config->areKeysRequired() && !Target->IsPublic) {
    std::string_view Key = Message.header("Authorization");
    if (Key.starts_with(BearerScheme))
      Owner = Config->findByKey(Key.substr(BearerScheme.size()));
    if (!Owner)
      return LocalReply{401, "unknown-key", std::nullopt};
    Result.Organisation = Owner->Name;
    Result.Priority = Owner->Priority.value_or(Target->Priority);
  }
  std::string_view PromptParts = Message.header(Names.PromptParts);
  Result.Traits = quarantine::RequestTraits(
      quarantine::fingerprintOf(Message, Result.Organisation, PromptParts),
      quarantine::sharedPartsOf(PromptParts));
  if (auto Active = Quarantine.find(Result.Traits, Arrived))
    return LocalReply{503, quarantineReason(Active->Subject.Kind),
                      Active->Until - Arrived,
                      quarantine::toString(Active->Subject.Key)};
  Duration Time = Target->Timeout;
  if (auto TimeLeft = parseMillis(Message.header(Names.TimeLeftMillis)))
    Time = std::min(Time, *TimeLeft);
  Result.Deadline = Arrived + Time;
  TimePoint Now = SteadyClock().now();
  if (Stop && !Stop->admits(Now, Result.Deadline,
                            assumedDuration(Durations, *Target,
                                            readTokens(Message, Names).Answer)))
    return LocalReply{503, "stopping", Stop->retryAfter(Now)};
  Result.HasComeBack =
      Dispatch.refused().hasComeBack(Result.Traits.fingerprint(), Arrived);
  Result.RequestId = RequestId;
  Result.Arrived = Arrived;
  Result.Config = Config;
  Result.Target = Target;
  Result.Regions = allowedRegions(*Target, Owner);
  Result.Message = std::move(Message);
  return Result;
}

void Gateway::updateGauges() {
  auto Set = [this](std::string_view Name, size_t Value,
                    const std::string &Labels = "") {
    Metrics.gauge(Name, Labels).set(static_cast<int64_t>(Value));
  };
  Set("ragwort_memory_budget_bytes", Memory->budget());
  Set("ragwort_held_bytes_peak", Memory->peak());
  for (auto Kind : {dispatch::Held::CallerRequests,
                    dispatch::Held::CallerAnswers, dispatch::Held::Servers})
    Set("ragwort_held_bytes", Memory->held(Kind),
        "for=\"" + std::string(toString(Kind)) + "\"");
  Set("ragwort_link_queued_ms",
      static_cast<size_t>(Link.queued().count() / 1000));
  Set("ragwort_store_era", Directory.version().Era);
  Set("ragwort_caller_connections", Sessions.size());
  Set("ragwort_waiting_requests", Dispatch.waiting());
  Set("ragwort_idle_backend_connections", Pool.size());
  Set("ragwort_quarantine_suspects", Quarantine.suspectCount());
  Set("ragwort_quarantined_traits",
      Quarantine.quarantined(SteadyClock().now()).size());
  dispatch::ServerCounts Counts =
      Dispatch.loadTracker().counts(SteadyClock().now());
  for (auto State : {dispatch::PathState::Doubtful, dispatch::PathState::Lost})
    Set("ragwort_paths", Dispatch.loadTracker().paths().count(State),
        "state=\"" + std::string(toString(State)) + "\"");
  Set("ragwort_servers", Counts.Listed, "state=\"listed\"");
  Set("ragwort_servers", Counts.Draining, "state=\"draining\"");
  Set("ragwort_servers", Counts.Leaving, "state=\"leaving\"");
  Set("ragwort_servers", Counts.Paused, "state=\"paused\"");
  Set("ragwort_servers", Counts.RateLimited, "state=\"rate-limited\"");
  Set("ragwort_servers", Counts.Cold, "state=\"cold\"");
  Set("ragwort_servers", Counts.Unavailable, "state=\"unavailable\"");
  Set("ragwort_servers", Counts.Ejected, "state=\"ejected\"");
  Set("ragwort_servers", Counts.Stragglers, "state=\"straggler\"");
  Set("ragwort_servers", Counts.Evacuated, "state=\"evacuated\"");
  Set("ragwort_evacuated_data_centres", Evacuated.inForce().size());
}

std::string Gateway::describe() const {
  return "ready=" + std::to_string(isReady()) +
         " draining=" + std::to_string(isDraining()) +
         " config=" + std::to_string(configVersion()) +
         " directory=" + toString(Directory.version()) +
         " evacuations=" + toString(Evacuated.version()) +
         " evacuated=" + join(Evacuated.inForce()) +
         " callers=" + std::to_string(Sessions.size()) +
         " active=" + std::to_string(activeRequests()) +
         " waiting=" + std::to_string(Dispatch.waiting()) +
         " kept=" + std::to_string(Pool.size()) +
         " memory=" + std::string(toString(Memory->level())) +
         " held=" + std::to_string(Memory->held()) + "\n" +
         Dispatch.loadTracker().describe(SteadyClock().now()) +
         Quarantine.describe(SteadyClock().now());
}

} // namespace ragwort::gateway
