//===- GroupAgent.h - The agent next to one engine ------------------------===//
//
// Reads its own engine, which costs nothing, and sends heartbeats to the
// controller of the engine's group, whose orders it passes to the engine. The
// agent next to rank 0 is the controller itself. The controller sends orders to
// another rank's engine directly only if that engine's agent does not answer.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_GROUPAGENT_H
#define RAGWORT_RANKGROUP_GROUPAGENT_H

#include "ragwort/observe/Log.h"
#include "ragwort/observe/Metrics.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/CountRota.h"
#include "ragwort/rankgroup/HeartbeatSchedule.h"
#include "ragwort/rankgroup/LinkPacer.h"
#include "ragwort/rankgroup/OrderMessage.h"
#include "ragwort/transport/DatagramSocket.h"
#include "ragwort/wire/Archived.h"
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ragwort::rankgroup {

/// Control interface of one engine. A call that returns an error status may
/// still take effect.
template <class T>
concept Engine = requires(T &E, RankOrder Order, uint32_t Sets,
                          uint32_t Experts) {
  { E.report() } -> std::same_as<asio::awaitable<absl::StatusOr<EngineReport>>>;
  {
    E.counts(Sets, Experts)
    } -> std::same_as<asio::awaitable<absl::StatusOr<ExpertCounts>>>;
  { E.experts() } -> std::same_as<asio::awaitable<absl::StatusOr<RankExperts>>>;
  {
    E.order(Order)
    } -> std::same_as<asio::awaitable<absl::StatusOr<OrderAnswer>>>;
};

struct AgentOptions {
  /// Address this agent listens on; all agents use the same port.
  Address Listen;
  /// Address of the engine next to this agent.
  Address OwnEngine;
  uint64_t Incarnation = 0;
  /// Bandwidth of an agent's link; zero if unknown.
  double LinkBytesPerSecond = 0;
};

/// Agent of one engine, and controller of the group while the engine is rank 0.
template <Engine EngineClient> class GroupAgent {
public:
  /// Creates a client of the engine at an address.
  using EngineFactory = std::function<std::unique_ptr<EngineClient>(Address)>;

  /// Interval at which a controller announces itself.
  static constexpr Duration AnnounceInterval = std::chrono::milliseconds(600);
  /// Announcement interval while a rank has not reported in this epoch; until
  /// all ranks have, the group keeps the map that it was formed with.
  static constexpr Duration UrgentAnnounceInterval =
      std::chrono::milliseconds(100);
  /// Interval of the control loop while a change is in progress.
  static constexpr Duration ChangePollInterval = std::chrono::milliseconds(10);
  /// Interval of the control loop otherwise.
  static constexpr Duration IdlePollInterval = std::chrono::milliseconds(50);
  /// After this long without a heartbeat, a member's orders are sent to its
  /// engine directly.
  static constexpr Duration AgentTimeout = std::chrono::milliseconds(400);
  /// If a member does not answer a report request for this long, its engine is
  /// read directly. Engines may return a state up to this old to remote
  /// callers, so an earlier read might show the state before the request.
  static constexpr Duration EngineReadDelay = std::chrono::milliseconds(600);
  /// Number of orders that are taken at once. They share their datagrams, and
  /// may together exceed what the link allows by that much.
  static constexpr size_t OrdersPerBatch = 8;
  /// Minimum time between two log lines about datagrams that the operating
  /// system did not take; all of them are counted.
  static constexpr Duration UnsentLogInterval = std::chrono::seconds(1);

  GroupAgent(asio::io_context &Io, AgentOptions Options,
             EngineFactory MakeEngine, MetricsRegistry &Metrics)
      : Io(Io), Options(std::move(Options)), MakeEngine(std::move(MakeEngine)),
        Metrics(Metrics), OwnClient(this->MakeEngine(this->Options.OwnEngine)),
        OwnOrderClient(this->MakeEngine(this->Options.OwnEngine)),
        HeartbeatTimer(Io), Rota(this->Options.LinkBytesPerSecond),
        OrderPacer(this->Options.LinkBytesPerSecond),
        Socket(Io.get_executor(), MaxAgentDatagramBytes,
               [this](std::string_view Datagram, const Address &From) {
                 onDatagram(Datagram, From.Ip);
               }) {}

  absl::Status listen() {
    absl::Status Listening = Socket.listen(Options.Listen);
    if (!Listening.ok())
      return Listening;
    asio::co_spawn(Io, heartbeatLoop(), asio::detached);
    asio::co_spawn(Io, controlLoop(), asio::detached);
    return absl::OkStatus();
  }

  /// Sets how the experts of the engine's service are arranged.
  void setShape(GroupShape NewShape) {
    Shape = NewShape;
    LastCounts.clear();
    Maps.setInitialMap(Shape.Sets, Shape.Experts, OwnReport.GroupSize);
  }
  /// Sets the IP addresses of the instances that may run agents of the service.
  void setPeerIps(std::set<std::string> Ips) { PeerIps = std::move(Ips); }

  /// Sets a handler that is called with each report of the own engine.
  void setReportHandler(std::function<void(const EngineReport &)> Handler) {
    OnReport = std::move(Handler);
  }

  /// Prevents further changes from being started.
  void beginStop() { IsStopping = true; }
  /// Whether a change is in progress, which must not be left unfinished.
  bool isBusy() const {
    return Controller && Controller->mapSwitch().phase() != SwitchPhase::Idle;
  }

private:
  struct Member {
    std::string Ip;
    // Shared with calls in flight, since the member may be removed meanwhile.
    std::shared_ptr<EngineClient> Client;
    std::string Engine;
    TimePoint HeardAt{};
    bool HasOrderInFlight = false;
    bool HasReadInFlight = false;
    // Its agent does not have the map in use, from which maps are sent as
    // differences.
    bool NeedsWholeMap = false;
  };

  struct EncodedOrderKey {
    uint64_t Number = 0;
    OrderKind Kind = OrderKind::Prepare;
    uint64_t Version = 0;
    bool IsDifference = false;
    bool operator==(const EncodedOrderKey &) const = default;
  };

  TimePoint now() const { return SteadyClock().now(); }

  asio::awaitable<void> heartbeatLoop() {
    while (true) {
      TimePoint Begun = now();
      co_await readEngine(0);
      // Cancelled when the engine starts copying, which shortens the interval.
      error_code Woken;
      HeartbeatTimer.expires_at(std::chrono::steady_clock::time_point(
          Begun + Schedule.interval(now())));
      co_await HeartbeatTimer.async_wait(
          asio::redirect_error(asio::use_awaitable, Woken));
    }
  }

  /// Processes the own engine's answer: an accepted prepare order makes it copy
  /// experts, and an armed engine is about to use another map.
  void onOwnEngineAnswer(const RankOrder &Order,
                         const absl::StatusOr<OrderAnswer> &Answer) {
    if (!Answer.ok() || *Answer != OrderAnswer::Accepted)
      return;
    if (Order.Kind == OrderKind::Prepare) {
      Maps.add(Order.Version, Order.Map);
      Schedule.onPrepareAccepted(Order.Version, now());
      HeartbeatTimer.cancel();
    } else if (Order.Kind == OrderKind::Arm) {
      Schedule.onArmAccepted();
      HeartbeatTimer.cancel();
    }
  }

  /// Reads the own engine and sends a heartbeat to the controller if one is due
  /// or \p Token is not zero.
  asio::awaitable<void> readEngine(uint64_t Token) {
    if (IsReadingEngine) {
      // The report being read does not answer the request, since it may have
      // been read before it.
      PendingToken = std::max(PendingToken, Token);
      co_return;
    }
    IsReadingEngine = true;
    absl::StatusOr<EngineReport> Report = co_await OwnClient->report();
    if (Report.ok()) {
      onOwnReport(*Report);
      bool IsDue = Schedule.onReport(*Report, now()) || Token != 0;
      if (LastExperts.MapVersion != Report->MapVersion ||
          LastExperts.Sets.empty())
        co_await readExperts();
      std::vector<std::vector<uint64_t>> Selections;
      if (Shape.isKnown() && Token == 0 && IsDue)
        Selections = co_await takeCounts(*Report);
      if (IsDue)
        sendHeartbeat(*Report, Token, Selections);
    } else if (IsEngineReached) {
      IsEngineReached = false;
      logEvent(LogLevel::Warning, "engine-lost",
               {{"reason", std::string(Report.status().message())}});
    }
    IsReadingEngine = false;
    if (uint64_t Next = std::exchange(PendingToken, 0))
      co_await readEngine(Next);
  }

  void onOwnReport(const EngineReport &Report) {
    if (!IsEngineReached || Report.Epoch != OwnReport.Epoch ||
        Report.IsOpen != OwnReport.IsOpen)
      logEvent(LogLevel::Info, "engine-state",
               {{"group", Report.Group},
                {"rank", Report.Rank},
                {"epoch", Report.Epoch},
                {"open", int(Report.IsOpen)}});
    if (Report.Epoch != OwnReport.Epoch || Report.Group != OwnReport.Group) {
      LastExperts = RankExperts();
      Maps.setInitialMap(Shape.Sets, Shape.Experts, Report.GroupSize);
    }
    IsEngineReached = true;
    OwnReport = Report;
    if (OnReport)
      OnReport(Report);
  }

  asio::awaitable<void> readExperts() {
    absl::StatusOr<RankExperts> Experts = co_await OwnClient->experts();
    if (Experts.ok())
      LastExperts = std::move(*Experts);
  }

  /// \returns the counts to be reported with this heartbeat; empty if it is not
  /// this rank's turn.
  asio::awaitable<std::vector<std::vector<uint64_t>>>
  takeCounts(const EngineReport &Report) {
    std::vector<std::vector<uint64_t>> Selections;
    Rota.setGroup(Report.GroupSize, Report.Rank,
                  countBytes(Shape.Sets, Shape.Experts));
    CountTurn Turn = Rota.next(Schedule.interval(now()));
    bool HasNewCounts = LastCounts.empty() || Report.Step != LastCountedStep;
    if (Turn == CountTurn::None || !HasNewCounts)
      co_return Selections;
    // The first counts are only the base for the next ones.
    Selections = co_await readCounts(Report);
    if (Turn == CountTurn::ReadBase)
      Selections.clear();
    co_return Selections;
  }

  /// \returns the selections since the last call, by set and expert.
  asio::awaitable<std::vector<std::vector<uint64_t>>>
  readCounts(const EngineReport &Report) {
    std::vector<std::vector<uint64_t>> Selections;
    absl::StatusOr<ExpertCounts> Counts =
        co_await OwnClient->counts(Shape.Sets, Shape.Experts);
    if (!Counts.ok())
      co_return Selections;
    LastCountedStep = Report.Step;
    if (!LastCounts.empty()) {
      Selections = Counts->Counts;
      for (size_t Set = 0; Set < Selections.size(); ++Set)
        for (size_t E = 0; E < Selections[Set].size(); ++E) {
          // Counts that decreased are from a restarted engine.
          if (uint64_t Before = LastCounts[Set][E];
              Before <= Selections[Set][E])
            Selections[Set][E] -= Before;
        }
    }
    LastCounts = std::move(Counts->Counts);
    co_return Selections;
  }

  void sendHeartbeat(const EngineReport &Report, uint64_t Token,
                     const std::vector<std::vector<uint64_t>> &Selections) {
    if (Report.Rank == 0 && !Report.Group.empty()) {
      becomeController(Report);
      if (Controller) {
        updateMember(Report.Rank, Options.Listen.Ip,
                     toString(Options.OwnEngine));
        Controller->onExperts(0, LastExperts);
        if (!Selections.empty())
          Controller->onCounts(Selections, now());
        Controller->onReport(0, Report, Token, now());
      }
      return;
    }
    dropController();
    if (ControllerIp.empty())
      return;
    AgentMessage M;
    M.Kind = AgentMessageKind::Heartbeat;
    M.Group = Report.Group;
    M.Epoch = Report.Epoch;
    M.Token = Token;
    M.Engine = toString(Options.OwnEngine);
    M.Report = Report;
    for (const std::string &Bytes :
         encodeHeartbeats(M, LastExperts, Selections))
      sendBytes(Bytes, ControllerIp);
  }

  void becomeController(const EngineReport &Report) {
    if (!Shape.isKnown() || Report.GroupSize == 0)
      return;
    if (Controller && ControlledGroup == Report.Group &&
        Controller->ranks() == Report.GroupSize && Controller->shape() == Shape)
      return;
    logEvent(LogLevel::Info, "controller-started",
             {{"group", Report.Group},
              {"ranks", Report.GroupSize},
              {"epoch", Report.Epoch}});
    ControlledGroup = Report.Group;
    Members.clear();
    Datagrams.clear();
    Controller = std::make_unique<GroupController>(Shape, Report.GroupSize,
                                                   Options.Incarnation);
  }

  void dropController() {
    if (!Controller)
      return;
    logEvent(LogLevel::Info, "controller-stopped",
             {{"group", ControlledGroup},
              {"phase", toString(Controller->mapSwitch().phase())}});
    Controller.reset();
    Members.clear();
  }

  void updateMember(uint32_t Rank, const std::string &Ip,
                    const std::string &EngineAddress) {
    Member &M = Members[Rank];
    M.Ip = Ip;
    M.HeardAt = now();
    if (M.Engine == EngineAddress)
      return;
    M.Engine = EngineAddress;
    std::optional<Address> At = parseAddress(EngineAddress);
    M.Client = At ? MakeEngine(*At) : nullptr;
  }

  void onDatagram(std::string_view Datagram, const std::string &Ip) {
    switch (wire::protocolOf(Datagram).value_or(0)) {
    case AgentMessage::Protocol:
      if (absl::StatusOr<AgentMessage> M = decodeMessage(Datagram); M.ok())
        onMessage(*M, Ip);
      return;
    case OrderPart::Protocol:
      if (auto Part = decodeOrderPart(Datagram); Part.ok())
        onOrderPart(std::move(*Part), Ip);
      return;
    case OrderReply::Protocol:
      if (auto Reply = decodeReply(Datagram); Reply.ok())
        onReply(*Reply);
      return;
    }
  }

  void onOrderPart(OrderPart Part, const std::string &Ip) {
    // Only accept orders from the controller that announced itself.
    if (Ip != ControllerIp || Part.Group != OwnReport.Group)
      return;
    uint64_t Number = Part.Number;
    std::optional<CompleteOrder> Complete = Assembler.add(std::move(Part));
    if (!Complete || IsExecutingOrder)
      return;
    if (Complete->From) {
      std::optional<ExpertMap> Map =
          Maps.resolve(*Complete->From, Complete->Order.Map);
      if (!Map) {
        logEvent(LogLevel::Info, "map-base-unknown",
                 {{"base", Complete->From->BaseVersion},
                  {"version", Complete->Order.Version}});
        reply(Complete->Order, Number, OrderAnswer::MapUnknown, Ip);
        return;
      }
      Complete->Order.Map = std::move(*Map);
    }
    asio::co_spawn(Io, executeOrder(std::move(Complete->Order), Number, Ip),
                   asio::detached);
  }

  /// Passes an order to the own engine and replies to the controller. Without
  /// an answer of the engine no reply is sent, and the controller resends the
  /// order.
  asio::awaitable<void> executeOrder(RankOrder Order, uint64_t Number,
                                     std::string Ip) {
    IsExecutingOrder = true;
    TimePoint Begun = now();
    absl::StatusOr<OrderAnswer> Answer = co_await OwnOrderClient->order(Order);
    IsExecutingOrder = false;
    onOwnEngineAnswer(Order, Answer);
    logOrder(Order, Number, Answer, now() - Begun);
    if (Answer.ok())
      reply(Order, Number, *Answer, Ip);
  }

  void reply(const RankOrder &Order, uint64_t Number, OrderAnswer Answer,
             const std::string &Ip) {
    OrderReply Reply;
    Reply.Group = OwnReport.Group;
    Reply.Rank = OwnReport.Rank;
    Reply.Epoch = Order.Epoch;
    Reply.Number = Number;
    Reply.Answer = Answer;
    sendBytes(encodeReply(Reply), Ip);
  }

  /// Orders to prepare a map are logged, as each is sent once in a change, and
  /// so are orders without an answer.
  void logOrder(const RankOrder &Order, uint64_t Number,
                const absl::StatusOr<OrderAnswer> &Answer, Duration Time) {
    if (Answer.ok() && Order.Kind != OrderKind::Prepare)
      return;
    std::string Outcome(Answer.status().message());
    if (Answer.ok())
      Outcome = *Answer == OrderAnswer::Accepted ? "accepted" : "conflict";
    logEvent(
        Answer.ok() ? LogLevel::Info : LogLevel::Warning, "order-executed",
        {{"group", OwnReport.Group},
         {"rank", OwnReport.Rank},
         {"kind", toString(Order.Kind)},
         {"version", Order.Version},
         {"number", Number},
         {"ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(Time).count()},
         {"outcome", Outcome}});
  }

  void onReply(const OrderReply &Reply) {
    if (!Controller || Reply.Group != ControlledGroup ||
        Reply.Rank >= Controller->ranks() ||
        Controller->mapSwitch().epoch() != Reply.Epoch)
      return;
    MapSwitch &Switch = Controller->mapSwitch();
    if (Reply.Answer == OrderAnswer::MapUnknown) {
      Members[Reply.Rank].NeedsWholeMap = true;
      Switch.onNoAnswer(Reply.Rank, Reply.Number, now());
    } else {
      Switch.onAnswer(Reply.Rank, Reply.Number, Reply.Answer, now());
    }
    advanceChange();
  }

  void onMessage(const AgentMessage &M, const std::string &Ip) {
    bool IsOwnGroup = M.Group == OwnReport.Group && !M.Group.empty();
    switch (M.Kind) {
    case AgentMessageKind::Announce:
      if (IsOwnGroup && M.Epoch >= OwnReport.Epoch)
        ControllerIp = Ip;
      return;
    case AgentMessageKind::RequestReport:
      if (IsOwnGroup)
        asio::co_spawn(Io, readEngine(M.Token), asio::detached);
      return;
    case AgentMessageKind::Heartbeat:
      if (Controller && M.Group == ControlledGroup)
        onHeartbeat(M, Ip);
      return;
    }
  }

  void onHeartbeat(const AgentMessage &M, const std::string &Ip) {
    if (M.Report.Rank >= Controller->ranks())
      return;
    updateMember(M.Report.Rank, Ip, M.Engine);
    if (!M.Experts.Sets.empty() &&
        !Controller->onExperts(M.Report.Rank, M.Experts))
      logEvent(LogLevel::Warning, "experts-rejected",
               {{"group", ControlledGroup},
                {"rank", M.Report.Rank},
                {"version", M.Experts.MapVersion}});
    if (auto Selections = selectionsOf(M, Shape.Sets, Shape.Experts);
        !Selections.empty())
      Controller->onCounts(Selections, now());
    Controller->onReport(M.Report.Rank, M.Report, M.Token, now());
  }

  asio::awaitable<void> controlLoop() {
    while (true) {
      if (Controller)
        advanceChange();
      co_await sleepFor(isBusy() ? ChangePollInterval : IdlePollInterval);
    }
  }

  void advanceChange() {
    TimePoint At = now();
    if (At - LastAnnounced >= (Controller->mapSwitch().haveAllReported()
                                   ? AnnounceInterval
                                   : UrgentAnnounceInterval)) {
      LastAnnounced = At;
      announceController();
    }
    GroupController &C = *Controller;
    SwitchPhase Before = C.mapSwitch().phase();
    if (C.recover(At))
      logEvent(
          LogLevel::Warning, "map-change-recovered",
          {{"group", ControlledGroup}, {"held", C.mapSwitch().heldStep()}});
    if (!IsStopping)
      if (std::optional<PlannedChange> Change = C.plan(At)) {
        for (auto &[Rank, M] : Members)
          M.NeedsWholeMap = false;
        logEvent(LogLevel::Info, "map-change-begun",
                 {{"group", ControlledGroup},
                  {"epoch", C.mapSwitch().epoch()},
                  {"version", Change->Version},
                  {"skew_before_percent", int(Change->SkewBefore * 100)},
                  {"skew_after_percent", int(Change->SkewAfter * 100)},
                  {"copies", Change->Copies},
                  {"counts_age_ms", toMillis(Change->CountsAge)},
                  {"pass_us", C.passTime().count()}});
      }
    logObservations();
    sendOrders();
    for (const ReportRequest &R : C.mapSwitch().awaitedReports())
      requestReport(R, At);
    logFinishedChange(Before, At);
  }

  /// Sends the due orders as far as the link allows.
  void sendOrders() {
    // Planning may take longer than an engine takes to answer.
    TimePoint SentAt = now();
    while (OrderPacer.room(SentAt) > 0) {
      std::vector<OutgoingOrder> Orders =
          Controller->mapSwitch().takeOrders(SentAt, OrdersPerBatch);
      if (Orders.empty())
        return;
      for (OutgoingOrder &S : Orders)
        if (!relayOrder(S, SentAt))
          asio::co_spawn(Io, sendOrderToEngine(std::move(S)), asio::detached);
    }
  }

  /// Duration of one step of a change in milliseconds, zero if it was not
  /// reached.
  static int64_t stepMillis(TimePoint Begin, TimePoint End) {
    bool IsKnown = Begin != TimePoint() && End != TimePoint();
    return IsKnown ? toMillis(End - Begin) : 0;
  }

  static int64_t toMillis(Duration Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  }

  void logObservations() {
    if (std::optional<DemandShift> Shift = Controller->takeDemandShift())
      logEvent(LogLevel::Info, "demand-shifted",
               {{"group", ControlledGroup},
                {"skew_before_percent", int(Shift->SkewBefore * 100)},
                {"skew_after_percent", int(Shift->SkewAfter * 100)},
                {"settling_ms", toMillis(Shift->Settling)}});
    if (std::optional<ReachedSkew> Skew = Controller->takeReachedSkew())
      logEvent(LogLevel::Info, "map-change-reached",
               {{"group", ControlledGroup},
                {"version", Skew->Version},
                {"skew_planned_percent", int(Skew->Planned * 100)},
                {"skew_reached_percent", int(Skew->Reached * 100)}});
  }

  void logFinishedChange(SwitchPhase Before, TimePoint At) {
    const MapSwitch &S = Controller->mapSwitch();
    const SwitchTimes &T = S.times();
    if (S.completed() != Completed || S.abandoned() != Abandoned) {
      logEvent(LogLevel::Info,
               S.completed() != Completed ? "map-change-completed"
                                          : "map-change-abandoned",
               {{"group", ControlledGroup},
                {"epoch", S.epoch()},
                {"step", S.heldStep()},
                {"phase", toString(Before)},
                {"ms", stepMillis(T.Begun, At)},
                {"prepare_ms", stepMillis(T.Begun, T.Prepared)},
                {"hold_ms", stepMillis(T.Prepared, T.Holding)},
                {"arm_ms", stepMillis(T.Holding, T.Armed)},
                {"last_armed", T.LastArmed},
                {"arming_repeats", T.ArmingRepeats}});
      Metrics.counter("ragwort_map_changes_total", "outcome=\"completed\"")
          .add(S.completed() > Completed);
      Metrics.counter("ragwort_map_changes_total", "outcome=\"abandoned\"")
          .add(S.abandoned() > Abandoned);
    }
    Completed = S.completed();
    Abandoned = S.abandoned();
  }

  void announceController() {
    AgentMessage M;
    M.Kind = AgentMessageKind::Announce;
    M.Group = ControlledGroup;
    M.Epoch = OwnReport.Epoch;
    for (const std::string &Ip : PeerIps)
      if (Ip != Options.Listen.Ip)
        send(M, Ip);
  }

  void requestReport(const ReportRequest &R, TimePoint At) {
    auto Found = Members.find(R.Rank);
    if (Found == Members.end())
      return;
    Member &M = Found->second;
    if (M.Ip == Options.Listen.Ip) {
      asio::co_spawn(Io, readEngine(R.Token), asio::detached);
      return;
    }
    AgentMessage Request;
    Request.Kind = AgentMessageKind::RequestReport;
    Request.Group = ControlledGroup;
    Request.Token = R.Token;
    send(Request, M.Ip);
    // The agent may have failed while its engine is running.
    std::optional<Address> Engine = parseAddress(M.Engine);
    if (At - R.Since > EngineReadDelay && !M.HasReadInFlight && Engine) {
      M.HasReadInFlight = true;
      asio::co_spawn(Io, readMemberEngine(R.Rank, *Engine, R.Token),
                     asio::detached);
    }
  }

  asio::awaitable<void> readMemberEngine(uint32_t Rank, Address At,
                                         uint64_t Token) {
    std::unique_ptr<EngineClient> Client = MakeEngine(At);
    absl::StatusOr<EngineReport> Report = co_await Client->report();
    if (auto Found = Members.find(Rank); Found != Members.end())
      Found->second.HasReadInFlight = false;
    if (Report.ok() && Controller && Report->Group == ControlledGroup)
      Controller->onReport(Report->Rank, *Report, Token, now());
  }

  /// Whether this attempt is sent to the engine directly, since its agent may
  /// be unreachable. This is every second attempt, but only every third one of
  /// a prepare order, whose map takes long to send and which is sent again if
  /// the agent does not have the map that it is a difference from.
  static bool isSentToEngine(const OutgoingOrder &S) {
    return S.Order.Kind == OrderKind::Prepare ? S.Attempt % 3 == 0
                                              : S.Attempt % 2 == 0;
  }

  /// Sends an order to the agent next to its engine. \returns false if the
  /// order must be sent to the engine directly.
  bool relayOrder(const OutgoingOrder &S, TimePoint At) {
    auto Found = Members.find(S.Rank);
    if (Found == Members.end() || Found->second.Ip == Options.Listen.Ip ||
        At - Found->second.HeardAt > AgentTimeout || isSentToEngine(S))
      return false;
    for (const std::string &Bytes : datagramsOf(S, Found->second)) {
      sendBytes(Bytes, Found->second.Ip);
      OrderPacer.spend(Bytes.size());
    }
    return true;
  }

  /// Encodes an order, or returns the cached datagrams of the last one.
  /// Encoding a map is slow, and orders with the same number differ only in
  /// their rank, which the datagrams do not contain.
  const std::vector<std::string> &datagramsOf(const OutgoingOrder &S,
                                              const Member &To) {
    bool IsDifference = !To.NeedsWholeMap &&
                        S.Order.Kind == OrderKind::Prepare &&
                        Controller->mapSwitch().versionInUse();
    EncodedOrderKey Key{S.Number, S.Order.Kind, S.Order.Version, IsDifference};
    if (!Datagrams.empty() && EncodedKey == Key)
      return Datagrams;
    EncodedKey = Key;
    Datagrams = IsDifference ? encodeDifference(S)
                             : encodeOrder(ControlledGroup, S.Number, S.Order);
    return Datagrams;
  }

  std::vector<std::string> encodeDifference(const OutgoingOrder &S) {
    // Attempts of one change have the same difference, which is slow to
    // compute.
    const MapSwitch &Switch = Controller->mapSwitch();
    if (EncodedVersion != S.Order.Version) {
      EncodedVersion = S.Order.Version;
      Difference = differenceOf(Switch.mapInUse(), S.Order.Map);
      TargetDigest = digestOf(S.Order.Map);
    }
    RankOrder Order = S.Order;
    Order.Map = Difference;
    return encodeOrder(ControlledGroup, S.Number, Order,
                       MapReference{*Switch.versionInUse(), TargetDigest});
  }

  asio::awaitable<void> sendOrderToEngine(OutgoingOrder S) {
    auto Found = Members.find(S.Rank);
    if (Found == Members.end() || !Found->second.Client ||
        Found->second.HasOrderInFlight)
      co_return;
    Found->second.HasOrderInFlight = true;
    std::shared_ptr<EngineClient> Client = Found->second.Client;
    uint64_t Epoch = S.Order.Epoch;
    absl::StatusOr<OrderAnswer> Answer = co_await Client->order(S.Order);
    if (auto Again = Members.find(S.Rank); Again != Members.end())
      Again->second.HasOrderInFlight = false;
    if (S.Rank == OwnReport.Rank)
      onOwnEngineAnswer(S.Order, Answer);
    if (!Controller || Controller->mapSwitch().epoch() != Epoch)
      co_return;
    if (Answer.ok())
      Controller->mapSwitch().onAnswer(S.Rank, S.Number, *Answer, now());
    else
      Controller->mapSwitch().onNoAnswer(S.Rank, S.Number, now());
    advanceChange();
  }

  void send(const AgentMessage &M, const std::string &Ip) {
    sendBytes(encodeMessage(M), Ip);
  }

  /// Later datagrams make up for lost ones.
  void sendBytes(const std::string &Bytes, const std::string &Ip) {
    if (Socket.send(Bytes, {Ip, Options.Listen.Port}))
      return;
    Metrics.counter("ragwort_agent_datagrams_unsent_total").add();
    if (TimePoint At = now(); At - UnsentLoggedAt >= UnsentLogInterval) {
      UnsentLoggedAt = At;
      logEvent(LogLevel::Warning, "datagram-unsent",
               {{"to", Ip}, {"bytes", Bytes.size()}});
    }
  }

  asio::io_context &Io;
  const AgentOptions Options;
  const EngineFactory MakeEngine;
  MetricsRegistry &Metrics;
  std::unique_ptr<EngineClient> OwnClient;
  // A separate connection, so that an order never waits for a report.
  std::unique_ptr<EngineClient> OwnOrderClient;
  asio::steady_timer HeartbeatTimer;
  CountRota Rota;
  // For the orders of this agent as the controller.
  LinkPacer OrderPacer;
  DatagramSocket Socket;
  GroupShape Shape;
  std::set<std::string> PeerIps;
  std::function<void(const EngineReport &)> OnReport;

  EngineReport OwnReport;
  RankExperts LastExperts;
  std::vector<std::vector<uint64_t>> LastCounts;
  uint64_t LastCountedStep = 0;
  std::string ControllerIp;
  HeartbeatSchedule Schedule;
  KnownMaps Maps;
  OrderAssembler Assembler;
  bool IsExecutingOrder = false;
  bool IsEngineReached = false;
  bool IsReadingEngine = false;
  uint64_t PendingToken = 0;
  bool IsStopping = false;

  // Set while the own engine is rank 0 of its group.
  std::unique_ptr<GroupController> Controller;
  std::string ControlledGroup;
  std::map<uint32_t, Member> Members;
  // Key and datagrams of the order that was encoded last.
  EncodedOrderKey EncodedKey;
  std::vector<std::string> Datagrams;
  // The difference that was encoded last, its version, and the digest of the
  // map that results from it.
  uint64_t EncodedVersion = 0;
  ExpertMap Difference;
  uint64_t TargetDigest = 0;
  TimePoint LastAnnounced{};
  TimePoint UnsentLoggedAt{};
  uint64_t Completed = 0;
  uint64_t Abandoned = 0;
};

} // namespace ragwort::rankgroup

#endif
