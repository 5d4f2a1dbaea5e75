//===- EntryNode.cpp - Daemon that accepts callers' requests --------------===//
//
// Lock order: Impl::Mutex, which guards the backend table, is acquired before
// the leaf locks of the libraries. No lock is held across a co_await.
//
//===----------------------------------------------------------------------===//
#include "ragwort/entry/EntryNode.h"
#include "Backends.h"
#include "DecisionLog.h"
#include "KeyedMessages.h"
#include "KeyedService.h"
#include "Refusals.h"
#include "RequestRunner.h"
#include "ragwort/node/AdminServer.h"
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/observe/Log.h"
#include "ragwort/platform/InstanceList.h"
#include "ragwort/transport/FrameServer.h"
#include "ragwort/transport/HeartbeatSocket.h"
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ragwort {

namespace {

using namespace std::chrono_literals;
using namespace entry;

constexpr size_t MaxRememberedRequests = 4096;
constexpr Duration DefaultHeartbeatInterval = 500ms;
constexpr Duration DefaultListInterval = 1s;
constexpr Duration ListTimeout = 2s;
// Time for the platform's load balancer to notice a failed readiness check.
constexpr Duration ReadinessDelay = 1s;
constexpr Duration OpenPollInterval = 20ms;
// Time after the first configuration until the callers' address is opened even
// if a service has no live agent.
constexpr Duration OpenTimeout = 3s;
constexpr Duration DrainPollInterval = 50ms;
// Time for frames that are already queued, such as the outcomes of forwarded
// requests, to be sent.
constexpr Duration DrainFlushDelay = 300ms;
constexpr Duration MaxDeadline = 10min;
constexpr size_t MaxKeyBytes = 200;
constexpr uint32_t MaxPriority = 9;

/// Parses a header value as a number from 0 to \p Max. The whole value must be
/// a number.
std::optional<uint64_t> parseNumber(std::string_view Text, uint64_t Max) {
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || Value > Max)
    return std::nullopt;
  return Value;
}

/// Why a request was refused before an agent was chosen for it.
struct EarlyRefusal {
  RefusalReason Reason;
  std::string Detail;
};

} // namespace

class EntryNode::Impl {
public:
  explicit Impl(NodeContext &Context)
      : Context(Context),
        Table(Context.Node.Name, Context.Node.DataCentre, Context.Self.Value),
        Channels(Context), Runner(Context, Channels, Table, Mutex),
        Keyed(Context, Channels, Runner.journalHooks()),
        Decisions(MaxRememberedRequests),
        Config(
            Context,
            [this](const ConfigUpdater::Snapshot &Fleet) { configure(Fleet); }),
        Frames(Context.Io, Context.Keys, Context.hello(),
               [this](std::shared_ptr<FrameConnection> Connection,
                      const wire::Hello &) {
                 onPeerConnection(std::move(Connection));
               }),
        Heartbeats(
            Context.Io, Context.Keys,
            [this](const wire::Heartbeat &Heartbeat, const Address &From) {
              onHeartbeat(Heartbeat, From);
            }),
        Admin(Context, adminHooks()),
        Latency(Context.Metrics.histogram("ragwort_entry_request_seconds")) {}

  absl::Status start() {
    absl::Status Listening = Frames.listen(Context.Node.PeerAddress);
    if (Listening.ok())
      Listening =
          Heartbeats.listen({Context.Node.PeerAddress.Ip, Frames.port()});
    if (Listening.ok())
      Listening = Admin.listen();
    if (!Listening.ok())
      return Listening;
    Config.start();
    asio::co_spawn(asio::make_strand(Context.Io), heartbeatLoop(),
                   asio::detached);
    asio::co_spawn(asio::make_strand(Context.Io), instanceListLoop(),
                   asio::detached);
    asio::co_spawn(asio::make_strand(Context.Io), listenWhenReady(),
                   asio::detached);
    logEvent(LogLevel::Info, "entry-started",
             {{"peers", Frames.port()},
              {"admin", Admin.port()},
              {"incarnation", Context.Self.Value}});
    return absl::OkStatus();
  }

  void drain() {
    if (IsDraining.exchange(true))
      return;
    logEvent(LogLevel::Info, "drain-started", {});
    asio::co_spawn(asio::make_strand(Context.Io), drainLoop(), asio::detached);
  }

private:
  /// Opens the callers' address once requests can be served. Until then no
  /// connection is accepted, so the platform's load balancer uses another
  /// instance.
  asio::awaitable<void> listenWhenReady() {
    std::optional<TimePoint> ConfiguredAt;
    for (;;) {
      co_await sleepFor(OpenPollInterval);
      if (!Config.fleet())
        continue;
      if (!ConfiguredAt)
        ConfiguredAt = Clock.now();
      std::lock_guard Lock(Mutex);
      // A service without a live agent must not block the other services
      // forever.
      if (Table.coversServices(Clock.now()) ||
          Clock.now() - *ConfiguredAt > OpenTimeout)
        break;
    }
    // The server's limits come from the first configuration. A later change
    // takes effect only in a restarted entry node.
    const settings::LimitSettings Limits = Config.fleet()->Limits;
    http::ServerLimits Bounds;
    Bounds.MaxBodyBytes = Limits.MaxBodyBytes;
    Bounds.MaxHeaderBytes = static_cast<uint32_t>(Limits.MaxHeaderBytes);
    Bounds.MaxConnections = Limits.MaxConnections;
    CallerServer = std::make_unique<http::Server>(
        Context.Io, [this](http::Exchange &X) { return handle(X); }, Bounds);
    absl::Status Listening = CallerServer->listen(Context.Node.CallerAddress);
    if (!Listening.ok()) {
      logEvent(LogLevel::Error, "start-failed",
               {{"reason", std::string(Listening.message())}});
      Context.Io.stop();
      co_return;
    }
    IsListening = true;
    logEvent(LogLevel::Info, "entry-open", {{"callers", CallerServer->port()}});
  }

  //===--- Callers --------------------------------------------------------===//

  std::string nextRequestId() {
    char Id[40];
    std::snprintf(Id, sizeof(Id), "%08x-%llx",
                  static_cast<unsigned>(Context.Self.Value),
                  static_cast<unsigned long long>(NextRequest++));
    return Id;
  }

  asio::awaitable<void> handle(http::Exchange &X) {
    TimePoint Begin = Clock.now();
    CallerRequest Request;
    Request.Start.RequestId = nextRequestId();
    Request.History.Id = Request.Start.RequestId;
    Request.History.Begin = Begin;
    ConfigUpdater::Snapshot Fleet = Config.fleet();
    std::optional<EarlyRefusal> Refused = check(X.request(), Fleet, Request);
    Outcome Result = Outcome::NotRun;
    if (Refused) {
      http::Response R = refusal(Refused->Reason, Refused->Detail, 1s);
      R.Head.Headers.push_back(
          {std::string(RequestIdHeader), Request.Start.RequestId});
      co_await X.respond(std::move(R));
    } else {
      Result = co_await Runner.run(Request, Keyed, X);
      release(Request.Start.Organisation);
    }
    Duration Elapsed = Clock.now() - Begin;
    Latency.record(Elapsed);
    countOutcome(Result);
    logEvent(LogLevel::Debug, "request-finished",
             {{"request", Request.Start.RequestId},
              {"organisation", Request.Start.Organisation},
              {"service", Request.Start.Service},
              {"outcome", toString(Result)},
              {"refusal", Refused ? toString(Refused->Reason) : "none"},
              {"us", Elapsed.count()}});
    Request.History.Organisation = Request.Start.Organisation;
    Request.History.Service = Request.Start.Service;
    Request.History.Steps.push_back(
        {Elapsed.count(), "told the caller " + std::string(toString(Result))});
    Decisions.add(std::move(Request.History));
  }

  void countOutcome(Outcome Result) { OutcomeCounts[size_t(Result)]->add(); }

  /// Validates \p R and fills \p Request from it. If the request is accepted,
  /// returns nothing and counts it as in progress for its organisation; the
  /// calling code must call release().
  std::optional<EarlyRefusal> check(const http::Request &R,
                                    const ConfigUpdater::Snapshot &Fleet,
                                    CallerRequest &Request) {
    if (!Fleet)
      return EarlyRefusal{RefusalReason::StoreUnavailable,
                          "no configuration yet"};
    wire::StartRequest &Start = Request.Start;
    std::string_view Name = R.header("Ragwort-Organisation");
    const settings::OrganisationSettings *Organisation =
        Fleet->organisation(Name);
    if (!Organisation)
      return EarlyRefusal{RefusalReason::UnknownOrganisation,
                          "Ragwort-Organisation names no organisation"};
    Start.Organisation = Organisation->Name;
    std::optional<settings::RouteMatch> Route =
        settings::matchRoute(*Fleet, R.Method, R.Target);
    if (!Route)
      return EarlyRefusal{RefusalReason::NoRoute, "no service has this path"};
    const settings::ServiceSettings &Service = *Route->Service;
    const std::vector<std::string> &Allowed = Service.Organisations;
    if (!Allowed.empty() && std::find(Allowed.begin(), Allowed.end(),
                                      Organisation->Name) == Allowed.end())
      return EarlyRefusal{RefusalReason::UnknownOrganisation,
                          "the organisation may not call this service"};
    Start.Service = Service.Name;
    Start.NonIdempotent = Route->NonIdempotent;
    Request.Kind = Service.Kind;
    if (R.Body.size() > Fleet->Limits.MaxBodyBytes)
      return EarlyRefusal{RefusalReason::BadRequest, "the body is too large"};
    if (std::optional<EarlyRefusal> Refused = parseHeaders(R, Service, Request))
      return Refused;
    fillStart(R, Start);
    if (!admit(*Organisation))
      return EarlyRefusal{RefusalReason::ShareExceeded,
                          "too many requests of the organisation in progress"};
    return std::nullopt;
  }

  std::optional<EarlyRefusal>
  parseHeaders(const http::Request &R, const settings::ServiceSettings &Service,
               CallerRequest &Request) {
    Duration Timeout = Service.Deadline;
    if (std::string_view Text = R.header("Ragwort-Deadline-Ms");
        !Text.empty()) {
      auto MaxMillis =
          std::chrono::duration_cast<std::chrono::milliseconds>(MaxDeadline);
      std::optional<uint64_t> Millis =
          parseNumber(Text, static_cast<uint64_t>(MaxMillis.count()));
      if (!Millis || *Millis == 0)
        return EarlyRefusal{RefusalReason::BadRequest,
                            "Ragwort-Deadline-Ms: expected 1 to 600000"};
      Timeout = std::chrono::milliseconds(*Millis);
    }
    Request.Deadline = Request.History.Begin + std::min(Timeout, MaxDeadline);
    if (std::string_view Text = R.header("Ragwort-Priority"); !Text.empty()) {
      std::optional<uint64_t> Priority = parseNumber(Text, MaxPriority);
      if (!Priority)
        return EarlyRefusal{RefusalReason::BadRequest,
                            "Ragwort-Priority: expected 0 to 9"};
      Request.Start.Priority = static_cast<uint32_t>(*Priority);
    }
    std::string_view Key = R.header("Idempotency-Key");
    if (Key.size() > MaxKeyBytes)
      return EarlyRefusal{RefusalReason::BadRequest,
                          "Idempotency-Key: longer than 200 bytes"};
    Request.Start.IdempotencyKey = std::string(Key);
    return std::nullopt;
  }

  static void fillStart(const http::Request &R, wire::StartRequest &Start) {
    Start.Method = R.Method;
    Start.Target = R.Target;
    Start.Body = R.Body;
    for (const HeaderField &Field : R.Headers)
      if (!http::isHopByHop(Field.Name) &&
          Start.Headers.size() + 1 < wire::MaxHeaders)
        Start.Headers.push_back(Field);
    Start.Headers.push_back({std::string(RequestIdHeader), Start.RequestId});
    if (Start.Method == "POST" && Start.Target == "/v1/chat/completions") {
      auto Body = nlohmann::json::parse(Start.Body, nullptr, false);
      Start.WantsStream =
          Body.is_object() && Body.contains("stream") && Body["stream"] == true;
    }
  }

  bool admit(const settings::OrganisationSettings &Organisation) {
    std::lock_guard Lock(Mutex);
    uint32_t &InProgress = ByOrganisation[Organisation.Name];
    if (InProgress >= Organisation.MaxConcurrent)
      return false;
    ++InProgress;
    return true;
  }

  void release(const std::string &Organisation) {
    std::lock_guard Lock(Mutex);
    auto It = ByOrganisation.find(Organisation);
    if (--It->second == 0)
      ByOrganisation.erase(It);
  }

  //===--- Other entry nodes ----------------------------------------------===//

  void onPeerConnection(std::shared_ptr<FrameConnection> Connection) {
    // The connection owns both handlers, so the message handler must not own
    // the connection. The close handler does, but the connection drops it when
    // it is called.
    std::weak_ptr<FrameConnection> Weak = Connection;
    Connection->start(
        [this, Weak](wire::Message &&M) {
          auto Locked = Weak.lock();
          if (!Locked)
            return;
          if (auto *Fetch = std::get_if<wire::ConfigFetch>(&M))
            return Locked->send(Config.replyTo(*Fetch));
          if (auto *Start = std::get_if<wire::StartRequest>(&M))
            onForwarded(Locked, std::move(*Start));
        },
        [Connection](const absl::Status &) {});
  }

  void onForwarded(const std::shared_ptr<FrameConnection> &Connection,
                   wire::StartRequest Request) {
    Connection->send(wire::Accepted{Request.Stream});
    ++ForwardedInProgress;
    asio::co_spawn(
        asio::make_strand(Context.Io),
        [this, Connection,
         Request = std::move(Request)]() -> asio::awaitable<void> {
          uint64_t Stream = Request.Stream;
          journal::KeyedOutcome Outcome = co_await runForwarded(Request);
          Connection->send(messageOf(Stream, std::move(Outcome)));
          --ForwardedInProgress;
        },
        asio::detached);
  }

  asio::awaitable<journal::KeyedOutcome>
  runForwarded(wire::StartRequest Request) {
    std::optional<Choice> Chosen = Runner.choose(Request, {});
    TimePoint Deadline =
        Clock.now() + std::chrono::milliseconds(Request.DeadlineMillis);
    journal::Target Target;
    if (Chosen)
      Target = {Chosen->Agent, Chosen->AgentIncarnation, Chosen->AgentAddress};
    co_return co_await Keyed.runForwarded(std::move(Request), Target, Deadline);
  }

  //===--- Membership and configuration -----------------------------------===//

  void configure(const ConfigUpdater::Snapshot &Fleet) {
    Runner.configure(Fleet->Limits);
    Keyed.configure(Fleet->Journal,
                    {Context.Node.PeerAddress.Ip, Frames.port()});
    std::lock_guard Lock(Mutex);
    Table.configure(*Fleet, ListedPeers);
  }

  void onHeartbeat(const wire::Heartbeat &Heartbeat, const Address &From) {
    {
      std::lock_guard Lock(Mutex);
      if (!Table.onHeartbeat(Heartbeat, Clock.now()))
        return;
    }
    Config.onPeerVersion(Heartbeat.ConfigVersion, Heartbeat.Node, From);
  }

  asio::awaitable<void> heartbeatLoop() {
    uint64_t Sequence = 0;
    for (;;) {
      std::vector<membership::PeerView> Peers;
      {
        std::lock_guard Lock(Mutex);
        Peers = Table.peers(Clock.now());
      }
      wire::Heartbeat Heartbeat;
      Heartbeat.Node = Context.Node.Name;
      Heartbeat.Incarnation = Context.Self.Value;
      Heartbeat.Sequence = ++Sequence;
      Heartbeat.ConfigVersion = Config.version();
      for (const membership::PeerView &Peer : Peers) {
        Heartbeat.ToNode = Peer.Identity.Name;
        Heartbeats.send(Heartbeat, Peer.Identity.PeerAddress);
      }
      ConfigUpdater::Snapshot Fleet = Config.fleet();
      co_await sleepFor(Fleet ? Fleet->Timing.HeartbeatInterval
                              : DefaultHeartbeatInterval);
    }
  }

  asio::awaitable<void> instanceListLoop() {
    for (;;) {
      absl::StatusOr<std::vector<platform::ListedInstance>> Found =
          co_await platform::fetchInstances(
              Context.Node.Platform, Context.Node.DataCentre, ListTimeout);
      ConfigUpdater::Snapshot Fleet = Config.fleet();
      // If the list cannot be read, the last one that was read stays in use.
      if (Found.ok() && Fleet)
        applyInstanceList(*Fleet, *Found);
      co_await sleepFor(Fleet ? Fleet->Timing.ListPollInterval
                              : DefaultListInterval);
    }
  }

  void applyInstanceList(const settings::FleetSettings &Fleet,
                         const std::vector<platform::ListedInstance> &Found) {
    std::lock_guard Lock(Mutex);
    ListedPeers.clear();
    for (const platform::ListedInstance &Instance : Found)
      ListedPeers.push_back({Instance.Name, Instance.Peer, Instance.DataCentre,
                             Instance.Service, Instance.Role == "agent"});
    Table.configure(Fleet, ListedPeers);
  }

  //===--- Shutdown and admin interface -----------------------------------===//

  asio::awaitable<void> drainLoop() {
    co_await sleepFor(ReadinessDelay);
    if (!IsListening) {
      Context.Io.stop();
      co_return;
    }
    CallerServer->stopAccepting();
    TimePoint DrainDeadline = Clock.now() + Context.Node.DrainTimeout;
    while (Clock.now() < DrainDeadline && (CallerServer->activeRequests() > 0 ||
                                           ForwardedInProgress.load() > 0))
      co_await sleepFor(DrainPollInterval);
    CallerServer->closeIdle();
    while (Clock.now() < DrainDeadline && CallerServer->connections() > 0)
      co_await sleepFor(DrainPollInterval);
    co_await sleepFor(DrainFlushDelay);
    logEvent(LogLevel::Info, "drain-finished", {});
    Context.Io.stop();
  }

  AdminHooks adminHooks() {
    AdminHooks Hooks;
    Hooks.IsReady = [this] { return !IsDraining && IsListening; };
    Hooks.StateJson = [this]() -> asio::awaitable<std::string> {
      std::vector<ShardRow> Shards = co_await Keyed.rows();
      co_return stateJson(Shards);
    };
    Hooks.ExplainJson = [this](const std::string &Id) { return explain(Id); };
    Hooks.Drain = [this] { drain(); };
    Hooks.MergeConfig = [this](const wire::ConfigReply &Reply) {
      Config.merge(Reply);
    };
    return Hooks;
  }

  std::optional<std::string> explain(const std::string &Id) {
    std::optional<RequestHistory> Found = Decisions.find(Id);
    if (!Found)
      return std::nullopt;
    nlohmann::json Steps = nlohmann::json::array();
    for (const DecisionStep &Step : Found->Steps)
      Steps.push_back({{"us", Step.ElapsedMicros}, {"what", Step.Description}});
    return nlohmann::json{{"request", Found->Id},
                          {"organisation", Found->Organisation},
                          {"service", Found->Service},
                          {"steps", Steps}}
               .dump() +
           "\n";
  }

  std::string stateJson(const std::vector<ShardRow> &Shards) {
    using Json = nlohmann::json;
    Json Journal = Json::array();
    for (const ShardRow &Shard : Shards)
      Journal.push_back({{"shard", Shard.Shard},
                         {"phase", Shard.Phase},
                         {"epoch", Shard.Epoch},
                         {"keys", Shard.Keys}});
    Json Rows = Json::array();
    Json Organisations = Json::object();
    {
      std::lock_guard Lock(Mutex);
      for (const BackendRow &Row : Table.rows(Clock.now())) {
        const membership::PeerView &Peer = Row.Peer;
        Rows.push_back({{"agent", Peer.Identity.Name},
                        {"address", toString(Peer.Identity.PeerAddress)},
                        {"service", Peer.Identity.Service},
                        {"data_centre", Peer.Identity.DataCentre},
                        {"state", membership::toString(Peer.State)},
                        {"incarnation", Peer.CurrentIncarnation.Value},
                        {"active", Peer.Load.Active},
                        {"queued", Peer.Load.Queued},
                        {"capacity", Peer.Load.Capacity},
                        {"outstanding", Row.Outstanding},
                        {"breaker", Row.Breaker},
                        {"config_version", Peer.ConfigVersion}});
      }
      for (const auto &[Name, Count] : ByOrganisation)
        Organisations[Name] = Count;
    }
    return Json{{"node", Context.Node.Name},
                {"role", "entry"},
                {"data_centre", Context.Node.DataCentre},
                {"incarnation", Context.Self.Value},
                {"ready", !IsDraining && IsListening},
                {"config_version", Config.versionInForce()},
                {"active_requests",
                 IsListening ? CallerServer->activeRequests() : 0},
                {"connections", IsListening ? CallerServer->connections() : 0},
                {"malformed_requests",
                 IsListening ? CallerServer->malformed() : 0},
                {"handshakes_rejected", Frames.rejected()},
                {"heartbeat_sent_bytes", Heartbeats.sentBytes()},
                {"heartbeat_received_bytes", Heartbeats.receivedBytes()},
                {"heartbeat_dropped", Heartbeats.dropped()},
                {"remembered_requests", Decisions.size()},
                {"organisations_in_progress", Organisations},
                {"journal", Journal},
                {"backends", Rows}}
               .dump() +
           "\n";
  }

  NodeContext &Context;
  SteadyClock Clock;
  std::mutex Mutex; // Guards Table, ListedPeers and ByOrganisation.
  Backends Table;
  std::vector<membership::PeerIdentity> ListedPeers;
  // Number of requests in progress of each organisation.
  std::map<std::string, uint32_t> ByOrganisation;
  ChannelPool Channels;
  RequestRunner Runner;
  KeyedService Keyed;
  DecisionLog Decisions;
  ConfigUpdater Config;
  FrameServer Frames;
  HeartbeatSocket Heartbeats;
  AdminServer Admin;
  // Assigned before IsListening is set, and not changed afterwards.
  std::unique_ptr<http::Server> CallerServer;
  DurationHistogram &Latency;
  // Indexed by Outcome.
  std::array<Counter *, 3> OutcomeCounts{
      &Context.Metrics.counter("ragwort_entry_requests_total",
                               "outcome=\"completed\""),
      &Context.Metrics.counter("ragwort_entry_requests_total",
                               "outcome=\"not-run\""),
      &Context.Metrics.counter("ragwort_entry_requests_total",
                               "outcome=\"unknown\"")};
  std::atomic<uint64_t> NextRequest = 1;
  std::atomic<int> ForwardedInProgress = 0;
  std::atomic<bool> IsDraining = false;
  std::atomic<bool> IsListening = false;
};

EntryNode::EntryNode(NodeContext &Context)
    : State(std::make_unique<Impl>(Context)) {}
EntryNode::~EntryNode() = default;
absl::Status EntryNode::start() { return State->start(); }
void EntryNode::drain() { State->drain(); }

} // namespace ragwort
