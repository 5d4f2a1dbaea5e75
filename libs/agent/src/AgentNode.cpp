//===- AgentNode.cpp - Agent daemon of one backend server -----------------===//
//
// Connects WorkQueue, which makes the decisions, to the network: frames from
// entry nodes, HTTP to the backend server, heartbeats to subscribers.
//
// Lock order: AgentNode::Impl::Mutex before any lock of the libraries. No lock
// is held while a message is sent or a slot runs a request.
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
using agent::WorkItem;
using agent::WorkItemPtr;

constexpr Duration DefaultHeartbeatInterval = 500ms;
// A subscriber that sends no heartbeat for this long is removed.
constexpr Duration SubscriberTimeout = 10s;
// A connection whose peer sends no heartbeat for this long is closed, so that
// requests sent by a process after a long freeze are not accepted.
constexpr Duration SilentPeerTimeout = 60s;
constexpr Duration DrainPollInterval = 50ms;
// Time to send the last frames and heartbeats before the process ends.
constexpr Duration DrainFlushDelay = 300ms;
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
        Heartbeats(
            Context.Io, Context.Keys,
            [this](const wire::Heartbeat &Heartbeat, const Address &From) {
              onHeartbeat(Heartbeat, From);
            }),
        Admin(Context, adminHooks()),
        Requests(Context.Metrics.counter("ragwort_agent_requests_total")),
        Refusals(Context.Metrics.counter("ragwort_agent_refusals_total")),
        BrokenAnswers(Context.Metrics.counter("ragwort_agent_broken_total")),
        ServiceTime(
            Context.Metrics.histogram("ragwort_agent_service_seconds")) {
    for (uint32_t I = 0; I < Context.Node.Backend.Capacity; ++I)
      FreeSlots.push_back(std::make_shared<BackendSlot>(
          Context.Io, Context.Node.Backend.Server));
  }

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
    if (!Context.Node.Backend.Group.empty()) {
      Member = std::make_shared<agent::GroupMember>(Context, Config);
      Member->start();
    }
    asio::co_spawn(asio::make_strand(Context.Io), heartbeatLoop(),
                   asio::detached);
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
      DrainEndsAt = Clock.now() + Context.Node.DrainTimeout;
      Queue.drain(DrainEndsAt);
    }
    logEvent(LogLevel::Info, "drain-started", {});
    sendHeartbeats();
    asio::co_spawn(asio::make_strand(Context.Io), drainLoop(), asio::detached);
  }

private:
  struct PeerConnection {
    std::shared_ptr<FrameConnection> Connection;
    std::string Node;
    uint64_t Incarnation = 0;
    TimePoint LastHeard;
    bool IsSubscriber = false;
  };
  /// A node that sends heartbeats to this agent and receives its heartbeats.
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
      Connections[Id] = {Connection, Peer.Node, Peer.Incarnation, Clock.now(),
                         false};
    }
    Connection->start(
        [this, Id](wire::Message &&M) { onMessage(Id, std::move(M)); },
        [this, Id](const absl::Status &) { onDisconnect(Id); });
  }

  void onDisconnect(uint64_t Id) {
    Decisions D;
    {
      std::lock_guard Lock(Mutex);
      Connections.erase(Id);
      D = Queue.cancelConnection(Id, Clock.now());
    }
    execute(D);
  }

  void onMessage(uint64_t ConnectionId, wire::Message &&M) {
    if (auto *Start = std::get_if<wire::StartRequest>(&M))
      return onStart(ConnectionId, std::move(*Start));
    if (auto *Cancel = std::get_if<wire::CancelRequest>(&M))
      return onCancel({ConnectionId, Cancel->Stream});
    if (auto *Query = std::get_if<wire::AttemptQuery>(&M))
      return onQuery(ConnectionId, *Query);
    if (auto *Fetch = std::get_if<wire::ConfigFetch>(&M))
      return send(ConnectionId, Config.replyTo(*Fetch));
    auto *Group = std::get_if<wire::GroupMessage>(&M);
    if (Group && Member)
      Member->onRequest(std::move(*Group),
                        [this, ConnectionId](wire::GroupMessage Reply) {
                          send(ConnectionId, std::move(Reply));
                        });
  }

  void onStart(uint64_t ConnectionId, wire::StartRequest &&Start) {
    Requests.add();
    auto Item = std::make_shared<WorkItem>();
    Item->Id = {ConnectionId, Start.Stream};
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
    execute(D);
  }

  void onCancel(StreamId Id) {
    Decisions D;
    std::shared_ptr<BackendSlot> ToAbort;
    {
      std::lock_guard Lock(Mutex);
      D = Queue.cancel(Id, Clock.now());
      auto It = Running.find(Id);
      // A running non-idempotent request is not aborted: that would only make
      // its outcome unknown.
      if (It != Running.end() && It->second.IsAbortable)
        ToAbort = It->second.Slot;
    }
    if (ToAbort)
      ToAbort->abort(Id);
    execute(D);
  }

  void onQuery(uint64_t ConnectionId, const wire::AttemptQuery &Query) {
    std::optional<attempts::Report> Found;
    {
      std::lock_guard Lock(Mutex);
      Found = Queue.query(Query.Attempt, Incarnation{Query.ToIncarnation},
                          Clock.now());
    }
    send(ConnectionId, toWireReport(Query.Stream, Found));
  }

  static wire::AttemptReport
  toWireReport(uint64_t Stream, const std::optional<attempts::Report> &Found) {
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

  void execute(const Decisions &D) {
    for (const agent::RefusedItem &Item : D.ToRefuse) {
      Refusals.add();
      wire::Refusal Refusal;
      Refusal.Stream = Item.Id.Stream;
      Refusal.Reason = Item.Reason;
      Refusal.RetryAfterMillis = RetryAfterMillis;
      Refusal.Load = load();
      send(Item.Id.Connection, std::move(Refusal));
    }
    for (const WorkItemPtr &Item : D.ToRun)
      launch(Item);
  }

  void launch(const WorkItemPtr &Item) {
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

  asio::awaitable<void> run(std::shared_ptr<BackendSlot> Slot,
                            WorkItemPtr Item) {
    uint64_t ConnectionId = Item->Id.Connection;
    TimePoint Begin = Clock.now();
    // These are variables because g++ 12 destroys a closure twice if it is
    // created within a co_await expression.
    BackendSlot::StartCheck TryStart = [this, Item] {
      std::lock_guard Lock(Mutex);
      return Queue.tryStart(*Item);
    };
    BackendSlot::MessageSender Send = [this, ConnectionId](wire::Message M) {
      send(ConnectionId, std::move(M));
    };
    RunResult Result = co_await Slot->run(Item, TryStart, Send);
    ServiceTime.record(Clock.now() - Begin);
    Decisions D;
    {
      std::lock_guard Lock(Mutex);
      Running.erase(Item->Id);
      FreeSlots.push_back(Slot);
      if (Result.End == RunEnd::NeverStarted)
        D = Queue.finishUnstarted(*Item, Clock.now());
      else
        D = Queue.finish(*Item, Result.End == RunEnd::Complete,
                         toStoredResult(Result), Clock.now());
    }
    sendAnswer(ConnectionId, *Item, std::move(Result));
    execute(D);
  }

  static attempts::Result toStoredResult(const RunResult &Result) {
    attempts::Result Answer;
    Answer.Status = Result.Answer.Status;
    Answer.ContentType =
        std::string(findHeader(Result.Answer.Headers, "Content-Type"));
    Answer.Body = Result.Answer.Body;
    return Answer;
  }

  void sendAnswer(uint64_t ConnectionId, const WorkItem &Item,
                  RunResult Result) {
    if (Result.End == RunEnd::Complete && !Result.IsStreamed) {
      Result.Answer.Load = load();
      return send(ConnectionId, std::move(Result.Answer));
    }
    if (Result.End == RunEnd::Complete) {
      wire::AnswerEnd End;
      End.Stream = Item.Request.Stream;
      End.Chunks = Result.Chunks;
      End.Load = load();
      return send(ConnectionId, End);
    }
    logEvent(LogLevel::Warning,
             Result.End == RunEnd::Broken ? "answer-broken" : "not-started",
             {{"request", Item.Request.RequestId}, {"reason", Result.Detail}});
    if (Result.End == RunEnd::Broken) {
      BrokenAnswers.add();
      wire::BrokenAnswer Broken;
      Broken.Stream = Item.Request.Stream;
      Broken.Detail = Result.Detail;
      Broken.Load = load();
      return send(ConnectionId, std::move(Broken));
    }
    wire::Refusal Refusal;
    Refusal.Stream = Item.Request.Stream;
    Refusal.Reason = Result.Reason;
    Refusal.RetryAfterMillis = RetryAfterMillis;
    Refusal.Detail = Result.Detail;
    Refusal.Load = load();
    send(ConnectionId, std::move(Refusal));
  }

  void send(uint64_t Id, wire::Message M) {
    std::shared_ptr<FrameConnection> Connection;
    {
      std::lock_guard Lock(Mutex);
      auto It = Connections.find(Id);
      if (It == Connections.end())
        return;
      Connection = It->second.Connection;
    }
    Connection->send(std::move(M));
  }

  wire::LoadReport load() {
    std::lock_guard Lock(Mutex);
    return Queue.load();
  }

  //===--- Heartbeats -----------------------------------------------------===//

  void onHeartbeat(const wire::Heartbeat &Heartbeat, const Address &From) {
    if (Heartbeat.ToNode != Context.Node.Name)
      return;
    {
      std::lock_guard Lock(Mutex);
      Subscriber &S = Subscribers[Heartbeat.Node];
      bool IsSame = S.Incarnation == Heartbeat.Incarnation;
      if (IsSame && Heartbeat.Sequence <= S.LastSequence)
        return;
      S = {From, Heartbeat.Incarnation, Heartbeat.Sequence, Clock.now()};
      for (auto &[Id, Peer] : Connections)
        if (Peer.Node == Heartbeat.Node &&
            Peer.Incarnation == Heartbeat.Incarnation) {
          Peer.LastHeard = Clock.now();
          Peer.IsSubscriber = true;
        }
    }
    Config.onPeerVersion(Heartbeat.ConfigVersion, Heartbeat.Node, From);
  }

  void sendHeartbeats() {
    std::vector<std::pair<std::string, Address>> To;
    wire::Heartbeat Heartbeat;
    {
      std::lock_guard Lock(Mutex);
      Heartbeat.Sequence = ++Sequence;
      Heartbeat.Load = Queue.load();
      std::erase_if(Subscribers, [&](const auto &Pair) {
        return Clock.now() - Pair.second.LastHeard > SubscriberTimeout;
      });
      for (const auto &[Node, S] : Subscribers)
        To.emplace_back(Node, S.At);
    }
    Heartbeat.Role = wire::NodeRole::Agent;
    Heartbeat.Node = Context.Node.Name;
    Heartbeat.Incarnation = Context.Self.Value;
    Heartbeat.ConfigVersion = Config.version();
    for (const auto &[Node, At] : To) {
      Heartbeat.ToNode = Node;
      Heartbeats.send(Heartbeat, At);
    }
  }

  asio::awaitable<void> heartbeatLoop() {
    for (;;) {
      sendHeartbeats();
      closeSilentConnections();
      ConfigUpdater::Snapshot Fleet = Config.fleet();
      co_await sleepFor(Fleet ? Fleet->Timing.HeartbeatInterval
                              : DefaultHeartbeatInterval);
    }
  }

  void closeSilentConnections() {
    std::vector<std::shared_ptr<FrameConnection>> ToClose;
    {
      std::lock_guard Lock(Mutex);
      for (auto &[Id, Peer] : Connections)
        // Agents of other ranks send no heartbeats. They need no timeout since
        // their requests contain a fencing epoch.
        if (Peer.IsSubscriber &&
            Clock.now() - Peer.LastHeard > SilentPeerTimeout)
          ToClose.push_back(Peer.Connection);
    }
    for (const auto &Connection : ToClose)
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
      execute(D);
    }
  }

  //===--- Shutdown and administration ------------------------------------===//

  asio::awaitable<void> drainLoop() {
    for (;;) {
      bool IsIdle = false;
      {
        std::lock_guard Lock(Mutex);
        IsIdle = Queue.isIdle();
      }
      if (IsIdle || Clock.now() >= DrainEndsAt)
        break;
      co_await sleepFor(DrainPollInterval);
    }
    co_await sleepFor(DrainFlushDelay);
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
    Json SubscriberList = Json::array();
    for (const auto &[Node, S] : Subscribers)
      SubscriberList.push_back({{"node", Node},
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
                {"connections", Connections.size()},
                {"subscribers", SubscriberList},
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

  std::mutex Mutex; // Guards the fields from Queue to IsDraining.
  agent::WorkQueue Queue;
  // Invariant: the number of free slots and of running requests add up to the
  // capacity.
  std::vector<std::shared_ptr<BackendSlot>> FreeSlots;
  std::map<StreamId, RunningRequest> Running;
  std::map<uint64_t, PeerConnection> Connections;
  std::map<std::string, Subscriber> Subscribers;
  uint64_t NextConnection = 1;
  uint64_t Sequence = 0;
  bool IsDraining = false;
  // Set before the drain loop starts.
  TimePoint DrainEndsAt{};

  ConfigUpdater Config;
  FrameServer Frames;
  HeartbeatSocket Heartbeats;
  AdminServer Admin;
  /// Null if the backend server does not belong to a rank group.
  std::shared_ptr<agent::GroupMember> Member;
  Counter &Requests;
  Counter &Refusals;
  Counter &BrokenAnswers;
  DurationHistogram &ServiceTime;
};

AgentNode::AgentNode(NodeContext &Context)
    : State(std::make_unique<Impl>(Context)) {}
AgentNode::~AgentNode() = default;
absl::Status AgentNode::start() { return State->start(); }
void AgentNode::drain() { State->drain(); }

} // namespace ragwort
