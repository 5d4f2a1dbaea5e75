//===- AgentNode.cpp - The process beside each backend server -------------===//
//
// The shell around WorkQueue: frames in, HTTP out, heartbeats to subscribers.
//
// Lock order: AgentNode::Impl::Mutex before any lock of the libraries. No lock
// is held while a message is sent or a slot runs.
//
//===----------------------------------------------------------------------===//
#include "ragwort/agent/AgentNode.h"
#include "BackendSlot.h"
#include "GroupMember.h"
#include "WorkQueue.h"
#include "ragwort/node/AdminServer.h"
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/observe/Log.h"
#include "ragwort/transport/FrameServer.h"
#include "ragwort/transport/HeartbeatSocket.h"
#include <nlohmann/json.hpp>

namespace ragwort {

namespace {

using namespace std::chrono_literals;
using agent::BackendSlot;
using agent::Decisions;
using agent::RunEnd;
using agent::RunResult;
using agent::StreamId;
using agent::Work;
using agent::WorkPtr;

constexpr Duration DefaultHeartbeatInterval = 500ms;
// A subscriber that is silent for this long has gone.
constexpr Duration SubscriberTimeout = 10s;
// A connection whose process is silent for this long is cut, so that requests
// it sends after a long freeze are never taken in.
constexpr Duration SilentPeerTimeout = 60s;
constexpr Duration DrainPollInterval = 50ms;
// Lets the last frames and heartbeats leave before the process ends.
constexpr Duration DrainLinger = 300ms;
constexpr uint32_t RetryAfterMillis = 1000;

} // namespace

class AgentNode::Impl {
public:
  explicit Impl(NodeContext &Context)
      : Context(Context), Queue(Context.Self, {Context.Node.Backend.Capacity,
                                               agent::QueueLimits().MaxQueued}),
        Config(Context,
               [this](const ConfigUpdater::Snapshot &Fleet) {
                 std::lock_guard Lock(Mutex);
                 Queue.setMaxQueued(Fleet->Limits.AgentQueue);
               }),
        Frames(Context.Io, Context.Keys, Context.hello(),
               [this](std::shared_ptr<FrameConnection> Connection,
                      const wire::Hello &Peer) {
                 onConnection(std::move(Connection), Peer);
               }),
        Heartbeats(Context.Io, Context.Keys,
                   [this](const wire::Heartbeat &Beat, const Address &From) {
                     onHeartbeat(Beat, From);
                   }),
        Admin(Context, adminHooks()),
        Requests(Context.Metrics.counter("ragwort_agent_requests_total")),
        Refusals(Context.Metrics.counter("ragwort_agent_refusals_total")),
        Broken(Context.Metrics.counter("ragwort_agent_broken_total")),
        ServiceTime(
            Context.Metrics.histogram("ragwort_agent_service_seconds")) {
    for (uint32_t I = 0; I < Context.Node.Backend.Capacity; ++I)
      FreeSlots.push_back(std::make_shared<BackendSlot>(
          Context.Io, Context.Node.Backend.Server));
  }

  absl::Status start() {
    absl::Status Listening = Frames.listen(Context.Node.Peers);
    if (Listening.ok())
      Listening = Heartbeats.listen({Context.Node.Peers.Ip, Frames.port()});
    if (Listening.ok())
      Listening = Admin.listen();
    if (!Listening.ok())
      return Listening;
    Config.start();
    if (!Context.Node.Backend.Group.empty()) {
      Member = std::make_shared<agent::GroupMember>(Context, Config);
      Member->start();
    }
    asio::co_spawn(asio::make_strand(Context.Io), beatLoop(), asio::detached);
    asio::co_spawn(asio::make_strand(Context.Io), expireLoop(), asio::detached);
    logEvent(LogLevel::Info, "agent-started",
             {{"service", Context.Node.Service},
              {"peers", Frames.port()},
              {"admin", Admin.port()},
              {"backend", toString(Context.Node.Backend.Server)},
              {"incarnation", Context.Self.Value}});
    return absl::OkStatus();
  }

  void drain() {
    {
      std::lock_guard Lock(Mutex);
      if (std::exchange(IsDraining, true))
        return;
      Queue.leave();
    }
    logEvent(LogLevel::Info, "drain-started", {});
    sendBeats();
    asio::co_spawn(asio::make_strand(Context.Io), drainLoop(), asio::detached);
  }

private:
  struct Link {
    std::shared_ptr<FrameConnection> Connection;
    std::string Node;
    uint64_t Incarnation = 0;
    TimePoint LastHeard;
    bool IsSubscriber = false;
  };
  struct Subscriber {
    Address At;
    uint64_t Incarnation = 0;
    uint64_t LastSequence = 0;
    TimePoint LastHeard;
  };

  //===--- Requests -------------------------------------------------------===//

  void onConnection(std::shared_ptr<FrameConnection> Connection,
                    const wire::Hello &Peer) {
    uint64_t Id = 0;
    {
      std::lock_guard Lock(Mutex);
      Id = NextConnection++;
      Links[Id] = {Connection, Peer.Node, Peer.Incarnation, Clock.now(), false};
    }
    Connection->start(
        [this, Id](wire::Message &&M) { onMessage(Id, std::move(M)); },
        [this, Id](const absl::Status &) { onDisconnect(Id); });
  }

  void onDisconnect(uint64_t Id) {
    Decisions D;
    {
      std::lock_guard Lock(Mutex);
      Links.erase(Id);
      D = Queue.cancelConnection(Id, Clock.now());
    }
    carryOut(D);
  }

  void onMessage(uint64_t Link, wire::Message &&M) {
    if (auto *Start = std::get_if<wire::StartRequest>(&M))
      return onStart(Link, std::move(*Start));
    if (auto *Cancel = std::get_if<wire::CancelRequest>(&M))
      return onCancel({Link, Cancel->Stream});
    if (auto *Query = std::get_if<wire::AttemptQuery>(&M))
      return onQuery(Link, *Query);
    if (auto *Fetch = std::get_if<wire::ConfigFetch>(&M))
      return send(Link, Config.replyTo(*Fetch));
    auto *Group = std::get_if<wire::GroupMessage>(&M);
    if (Group && Member)
      Member->onRequest(std::move(*Group),
                        [this, Link](wire::GroupMessage Reply) {
                          send(Link, std::move(Reply));
                        });
  }

  void onStart(uint64_t Link, wire::StartRequest &&Start) {
    Requests.add();
    auto Item = std::make_shared<Work>();
    Item->Id = {Link, Start.Stream};
    Item->Deadline =
        Clock.now() + std::chrono::milliseconds(Start.DeadlineMillis);
    Item->Request = std::move(Start);
    double Weight = 0;
    if (ConfigUpdater::Snapshot Fleet = Config.fleet())
      if (const auto *Organisation =
              Fleet->organisation(Item->Request.Organisation))
        Weight = Organisation->SharePercent;
    Decisions D;
    {
      std::lock_guard Lock(Mutex);
      D = Queue.submit(Item, Weight, Clock.now());
    }
    carryOut(D);
  }

  void onCancel(StreamId Id) {
    Decisions D;
    std::shared_ptr<BackendSlot> ToAbort;
    {
      std::lock_guard Lock(Mutex);
      D = Queue.cancel(Id, Clock.now());
      auto Place = Running.find(Id);
      // A non-idempotent request that started is left to end: cutting it
      // would only make its outcome unknown.
      if (Place != Running.end() && Place->second.IsAbortable)
        ToAbort = Place->second.Slot;
    }
    if (ToAbort)
      ToAbort->abort(Id);
    carryOut(D);
  }

  void onQuery(uint64_t Link, const wire::AttemptQuery &Query) {
    std::optional<attempts::Report> Found;
    {
      std::lock_guard Lock(Mutex);
      Found = Queue.query(Query.Attempt, Incarnation{Query.ToIncarnation},
                          Clock.now());
    }
    send(Link, reportOf(Query.Stream, Found));
  }

  static wire::AttemptReport
  reportOf(uint64_t Stream, const std::optional<attempts::Report> &Found) {
    wire::AttemptReport Report;
    Report.Stream = Stream;
    if (!Found)
      return Report;
    switch (Found->CurrentState) {
    case attempts::State::Waiting:
    case attempts::State::Forbidden:
      Report.State = wire::AttemptState::NeverStarted;
      break;
    case attempts::State::Running:
      Report.State = wire::AttemptState::Running;
      break;
    case attempts::State::Completed:
      Report.State = wire::AttemptState::Completed;
      break;
    case attempts::State::Broken:
      Report.State = wire::AttemptState::Broken;
      break;
    }
    if (Found->Answer) {
      Report.Status = Found->Answer->Status;
      Report.ContentType = Found->Answer->ContentType;
      Report.Body = Found->Answer->Body;
      Report.HasAnswer = true;
    }
    return Report;
  }

  void carryOut(const Decisions &D) {
    for (const agent::Refused &Refused : D.ToRefuse) {
      Refusals.add();
      wire::Refusal Refusal;
      Refusal.Stream = Refused.Id.Stream;
      Refusal.Reason = Refused.Reason;
      Refusal.RetryAfterMillis = RetryAfterMillis;
      Refusal.Load = load();
      send(Refused.Id.Connection, std::move(Refusal));
    }
    for (const WorkPtr &Item : D.ToRun)
      launch(Item);
  }

  void launch(const WorkPtr &Item) {
    std::shared_ptr<BackendSlot> Slot;
    {
      std::lock_guard Lock(Mutex);
      Slot = std::move(FreeSlots.back());
      FreeSlots.pop_back();
      Running[Item->Id] = {Slot, !Item->Request.NonIdempotent};
    }
    asio::co_spawn(
        Slot->executor(), [this, Slot, Item] { return run(Slot, Item); },
        asio::detached);
  }

  asio::awaitable<void> run(std::shared_ptr<BackendSlot> Slot, WorkPtr Item) {
    uint64_t Link = Item->Id.Connection;
    TimePoint Begin = Clock.now();
    // Named, not temporaries: g++ 12 destroys closures that are made within a
    // co_await expression twice.
    BackendSlot::StartGate MayStart = [this, Item] {
      std::lock_guard Lock(Mutex);
      return Queue.mayStart(*Item);
    };
    BackendSlot::Sender Send = [this, Link](wire::Message M) {
      send(Link, std::move(M));
    };
    RunResult Result = co_await Slot->run(Item, MayStart, Send);
    ServiceTime.record(Clock.now() - Begin);
    Decisions D;
    {
      std::lock_guard Lock(Mutex);
      Running.erase(Item->Id);
      FreeSlots.push_back(Slot);
      if (Result.End == RunEnd::NeverStarted)
        D = Queue.finishUnstarted(*Item, Clock.now());
      else
        D = Queue.finish(*Item, Result.End == RunEnd::Whole, remembered(Result),
                         Clock.now());
    }
    answer(Link, *Item, std::move(Result));
    carryOut(D);
  }

  static attempts::Result remembered(const RunResult &Result) {
    attempts::Result Answer;
    Answer.Status = Result.Answer.Status;
    Answer.ContentType =
        std::string(findHeader(Result.Answer.Headers, "Content-Type"));
    Answer.Body = Result.Answer.Body;
    return Answer;
  }

  void answer(uint64_t Link, const Work &Item, RunResult Result) {
    if (Result.End == RunEnd::Whole && !Result.IsStreamed) {
      Result.Answer.Load = load();
      return send(Link, std::move(Result.Answer));
    }
    if (Result.End == RunEnd::Whole) {
      wire::AnswerEnd End;
      End.Stream = Item.Request.Stream;
      End.Chunks = Result.Chunks;
      End.Load = load();
      return send(Link, End);
    }
    logEvent(LogLevel::Warning,
             Result.End == RunEnd::Broken ? "answer-broken" : "not-started",
             {{"request", Item.Request.RequestId}, {"reason", Result.Detail}});
    if (Result.End == RunEnd::Broken) {
      Broken.add();
      wire::BrokenAnswer Lost;
      Lost.Stream = Item.Request.Stream;
      Lost.Detail = Result.Detail;
      Lost.Load = load();
      return send(Link, std::move(Lost));
    }
    wire::Refusal Refusal;
    Refusal.Stream = Item.Request.Stream;
    Refusal.Reason = Result.Reason;
    Refusal.RetryAfterMillis = RetryAfterMillis;
    Refusal.Detail = Result.Detail;
    Refusal.Load = load();
    send(Link, std::move(Refusal));
  }

  void send(uint64_t Id, wire::Message M) {
    std::shared_ptr<FrameConnection> Connection;
    {
      std::lock_guard Lock(Mutex);
      auto Place = Links.find(Id);
      if (Place == Links.end())
        return;
      Connection = Place->second.Connection;
    }
    Connection->send(std::move(M));
  }

  wire::LoadReport load() {
    std::lock_guard Lock(Mutex);
    return Queue.load();
  }

  //===--- Heartbeats -----------------------------------------------------===//

  void onHeartbeat(const wire::Heartbeat &Beat, const Address &From) {
    if (Beat.ToNode != Context.Node.Name)
      return;
    {
      std::lock_guard Lock(Mutex);
      Subscriber &S = Subscribers[Beat.Node];
      bool IsSame = S.Incarnation == Beat.Incarnation;
      if (IsSame && Beat.Sequence <= S.LastSequence)
        return;
      S = {From, Beat.Incarnation, Beat.Sequence, Clock.now()};
      for (auto &[Id, L] : Links)
        if (L.Node == Beat.Node && L.Incarnation == Beat.Incarnation) {
          L.LastHeard = Clock.now();
          L.IsSubscriber = true;
        }
    }
    Config.onPeerVersion(Beat.ConfigVersion, Beat.Node, From);
  }

  void sendBeats() {
    std::vector<std::pair<std::string, Address>> To;
    wire::Heartbeat Beat;
    {
      std::lock_guard Lock(Mutex);
      Beat.Sequence = ++Sequence;
      Beat.Load = Queue.load();
      std::erase_if(Subscribers, [&](const auto &Pair) {
        return Clock.now() - Pair.second.LastHeard > SubscriberTimeout;
      });
      for (const auto &[Node, S] : Subscribers)
        To.emplace_back(Node, S.At);
    }
    Beat.Role = wire::NodeRole::Agent;
    Beat.Node = Context.Node.Name;
    Beat.Incarnation = Context.Self.Value;
    Beat.ConfigVersion = Config.version();
    for (const auto &[Node, At] : To) {
      Beat.ToNode = Node;
      Heartbeats.send(Beat, At);
    }
  }

  asio::awaitable<void> beatLoop() {
    for (;;) {
      sendBeats();
      cutSilentLinks();
      ConfigUpdater::Snapshot Fleet = Config.fleet();
      co_await sleepFor(Fleet ? Fleet->Timing.HeartbeatInterval
                              : DefaultHeartbeatInterval);
    }
  }

  void cutSilentLinks() {
    std::vector<std::shared_ptr<FrameConnection>> ToCut;
    {
      std::lock_guard Lock(Mutex);
      for (auto &[Id, L] : Links)
        // Other agents send no heartbeats; their orders carry fencing numbers.
        if (L.IsSubscriber && Clock.now() - L.LastHeard > SilentPeerTimeout)
          ToCut.push_back(L.Connection);
    }
    for (const auto &Connection : ToCut)
      Connection->close();
  }

  asio::awaitable<void> expireLoop() {
    for (;;) {
      co_await sleepFor(10ms);
      Decisions D;
      {
        std::lock_guard Lock(Mutex);
        D = Queue.expire(Clock.now());
      }
      carryOut(D);
    }
  }

  //===--- Life -----------------------------------------------------------===//

  asio::awaitable<void> drainLoop() {
    TimePoint Limit = Clock.now() + Context.Node.DrainTimeout;
    for (;;) {
      bool IsIdle = false;
      {
        std::lock_guard Lock(Mutex);
        IsIdle = Queue.isIdle();
      }
      if (IsIdle || Clock.now() >= Limit)
        break;
      co_await sleepFor(DrainPollInterval);
    }
    co_await sleepFor(DrainLinger);
    logEvent(LogLevel::Info, "drain-finished", {});
    Context.Io.stop();
  }

  AdminHooks adminHooks() {
    AdminHooks Hooks;
    Hooks.IsReady = [this] {
      std::lock_guard Lock(Mutex);
      return !IsDraining;
    };
    Hooks.StateJson = [this]() -> asio::awaitable<std::string> {
      nlohmann::json Group;
      if (Member)
        Group = co_await Member->state();
      co_return stateJson(Group);
    };
    Hooks.ExplainJson = [](const std::string &) { return std::nullopt; };
    Hooks.Drain = [this] { drain(); };
    Hooks.MergeConfig = [this](const wire::ConfigReply &Reply) {
      Config.merge(Reply);
    };
    return Hooks;
  }

  std::string stateJson(const nlohmann::json &Group) {
    using Json = nlohmann::json;
    std::lock_guard Lock(Mutex);
    wire::LoadReport Load = Queue.load();
    Json Subs = Json::array();
    for (const auto &[Node, S] : Subscribers)
      Subs.push_back({{"node", Node},
                      {"address", toString(S.At)},
                      {"incarnation", S.Incarnation}});
    return Json{{"node", Context.Node.Name},
                {"role", "agent"},
                {"service", Context.Node.Service},
                {"data_centre", Context.Node.DataCentre},
                {"incarnation", Context.Self.Value},
                {"config_version", Config.versionInForce()},
                {"leaving", Load.Leaving},
                {"active", Load.Active},
                {"queued", Load.Queued},
                {"capacity", Load.Capacity},
                {"service_us", Load.ServiceMicros},
                {"attempts", Queue.attempts()},
                {"group", Group},
                {"connections", Links.size()},
                {"subscribers", Subs},
                {"heartbeat_sent_bytes", Heartbeats.sentBytes()},
                {"heartbeat_received_bytes", Heartbeats.receivedBytes()},
                {"heartbeat_dropped", Heartbeats.dropped()},
                {"handshakes_rejected", Frames.rejected()}}
               .dump() +
           "\n";
  }

  struct RunningRequest {
    std::shared_ptr<BackendSlot> Slot;
    bool IsAbortable = false;
  };

  NodeContext &Context;
  SteadyClock Clock;

  std::mutex Mutex; // Guards the fields below.
  agent::WorkQueue Queue;
  // Invariant: free slots plus running requests make up the capacity.
  std::vector<std::shared_ptr<BackendSlot>> FreeSlots;
  std::map<StreamId, RunningRequest> Running;
  std::map<uint64_t, Link> Links;
  std::map<std::string, Subscriber> Subscribers;
  uint64_t NextConnection = 1;
  uint64_t Sequence = 0;
  bool IsDraining = false;

  ConfigUpdater Config;
  FrameServer Frames;
  HeartbeatSocket Heartbeats;
  AdminServer Admin;
  /// Set when the backend server is a rank of a group.
  std::shared_ptr<agent::GroupMember> Member;
  Counter &Requests;
  Counter &Refusals;
  Counter &Broken;
  DurationHistogram &ServiceTime;
};

AgentNode::AgentNode(NodeContext &Context)
    : State(std::make_unique<Impl>(Context)) {}
AgentNode::~AgentNode() = default;
absl::Status AgentNode::start() { return State->start(); }
void AgentNode::drain() { State->drain(); }

} // namespace ragwort
