//===- GroupAgent.h - The process beside one engine -----------------------===//
//
// Reads its own engine, where that is free, and reports to the controller of
// the engine's group, whose orders it carries out. Beside the first rank it is
// the controller itself. Orders reach an engine directly only where its agent
// does not answer.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_GROUPAGENT_H
#define RAGWORT_RANKGROUP_GROUPAGENT_H

#include "ragwort/observe/Log.h"
#include "ragwort/observe/Metrics.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/HeartbeatSchedule.h"
#include "ragwort/rankgroup/OrderMessage.h"
#include "ragwort/transport/DatagramSocket.h"
#include "ragwort/wire/Archived.h"
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ragwort::rankgroup {

/// Control interface of one engine. An error status means that the call may
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
  /// Where this agent listens; the others have the same port.
  Address Listen;
  /// The engine beside this agent.
  Address OwnEngine;
  uint64_t Incarnation = 0;
};

/// \p EngineFactory makes a client of the engine at an address.
template <Engine EngineClient> class GroupAgent {
public:
  using EngineFactory = std::function<std::unique_ptr<EngineClient>(Address)>;

  static constexpr Duration AnnounceInterval = std::chrono::milliseconds(600);
  /// The same while some rank has not reported in this epoch: without it the
  /// group keeps the map that it was formed with.
  static constexpr Duration UrgentAnnounceInterval =
      std::chrono::milliseconds(100);
  /// How often a controller looks at an ongoing change.
  static constexpr Duration ChangePollInterval = std::chrono::milliseconds(10);
  /// How often it looks while there is none.
  static constexpr Duration IdlePollInterval = std::chrono::milliseconds(50);
  /// Members unheard for this long get orders at their engines.
  static constexpr Duration AgentTimeout = std::chrono::milliseconds(400);
  /// A member that does not answer a request for its report for so long is
  /// asked at its engine. Engines may show strangers a state that is this old.
  static constexpr Duration EngineReadDelay = std::chrono::milliseconds(600);

  GroupAgent(asio::io_context &Io, AgentOptions Options, EngineFactory Make,
             MetricsRegistry &Metrics)
      : Io(Io), Options(std::move(Options)), Make(std::move(Make)),
        Metrics(Metrics), Own(this->Make(this->Options.OwnEngine)),
        OwnOrders(this->Make(this->Options.OwnEngine)), BeatTimer(Io),
        Socket(Io.get_executor(), MaxAgentDatagramBytes,
               [this](std::string_view Datagram, const Address &From) {
                 onDatagram(Datagram, From.Ip);
               }) {}

  absl::Status listen() {
    absl::Status Listening = Socket.listen(Options.Listen);
    if (!Listening.ok())
      return Listening;
    asio::co_spawn(Io, beatLoop(), asio::detached);
    asio::co_spawn(Io, controlLoop(), asio::detached);
    return absl::OkStatus();
  }

  /// How the experts of the engine's service are arranged.
  void setShape(GroupShape NewShape) {
    Shape = NewShape;
    LastCounts.clear();
    Maps.setInitialMap(Shape.Sets, Shape.Experts, OwnReport.GroupSize);
  }
  /// IP numbers of the instances that may run agents of the service.
  void setPeerIps(std::set<std::string> Ips) { Neighbours = std::move(Ips); }

  /// Called with each report of the own engine.
  void setReportHandler(std::function<void(const EngineReport &)> Handler) {
    OnReport = std::move(Handler);
  }

  /// Starts no further change.
  void beginStop() { IsStopping = true; }
  /// Whether a change is under way that must not be left alone.
  bool isBusy() const {
    return Controller && Controller->mapSwitch().phase() != SwitchPhase::Idle;
  }

private:
  struct Member {
    std::string Ip;
    // Calls in flight hold it as well, since the member may be dropped.
    std::shared_ptr<EngineClient> Client;
    std::string Engine;
    TimePoint HeardAt{};
    bool IsCalling = false;
    bool IsReading = false;
  };

  struct EncodedOrder {
    uint64_t Number = 0;
    OrderKind Kind = OrderKind::Prepare;
    uint64_t Version = 0;
    bool IsDifference = false;
    bool operator==(const EncodedOrder &) const = default;
  };

  TimePoint now() const { return SteadyClock().now(); }

  asio::awaitable<void> beatLoop() {
    while (true) {
      TimePoint Begun = now();
      co_await beat(0);
      error_code Woken; // Copying has begun: the pace has changed.
      BeatTimer.expires_at(std::chrono::steady_clock::time_point(
          Begun + Schedule.interval(now())));
      co_await BeatTimer.async_wait(
          asio::redirect_error(asio::use_awaitable, Woken));
    }
  }

  /// An accepted order to prepare makes the own engine copy experts.
  void noteOwnAnswer(const RankOrder &Order,
                     const absl::StatusOr<OrderAnswer> &Answer) {
    if (Order.Kind != OrderKind::Prepare || !Answer.ok() ||
        *Answer != OrderAnswer::Accepted)
      return;
    Maps.add(Order.Version, Order.Map);
    Schedule.onPrepareAccepted(Order.Version, now());
    BeatTimer.cancel();
  }

  /// Reads the own engine and reports to the controller.
  asio::awaitable<void> beat(uint64_t Token) {
    if (IsBeating) {
      // A report that was read before the request does not answer it.
      PendingToken = std::max(PendingToken, Token);
      co_return;
    }
    IsBeating = true;
    absl::StatusOr<EngineReport> Report = co_await Own->report();
    if (Report.ok()) {
      noteReport(*Report);
      bool IsDue = Schedule.onReport(*Report, now()) || Token != 0;
      if (LastExperts.MapVersion != Report->MapVersion ||
          LastExperts.Sets.empty())
        co_await readExperts();
      std::vector<std::vector<uint64_t>> Selections;
      // The first reading is what the next one is compared with.
      if (Shape.isKnown() && Token == 0 && IsDue &&
          (LastCounts.empty() || Report->Step != LastCountedStep))
        Selections = co_await readCounts(*Report);
      if (IsDue)
        sendBeat(*Report, Token, Selections);
    } else if (IsEngineReached) {
      IsEngineReached = false;
      logEvent(LogLevel::Warning, "engine-lost",
               {{"reason", std::string(Report.status().message())}});
    }
    IsBeating = false;
    if (uint64_t Next = std::exchange(PendingToken, 0))
      co_await beat(Next);
  }

  void noteReport(const EngineReport &Report) {
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
    absl::StatusOr<RankExperts> Experts = co_await Own->experts();
    if (Experts.ok())
      LastExperts = std::move(*Experts);
  }

  /// Choices since the last call.
  asio::awaitable<std::vector<std::vector<uint64_t>>>
  readCounts(const EngineReport &Report) {
    std::vector<std::vector<uint64_t>> Selections;
    absl::StatusOr<ExpertCounts> Counts =
        co_await Own->counts(Shape.Sets, Shape.Experts);
    if (!Counts.ok())
      co_return Selections;
    LastCountedStep = Report.Step;
    if (!LastCounts.empty()) {
      Selections = Counts->Counts;
      for (size_t Set = 0; Set < Selections.size(); ++Set)
        for (size_t E = 0; E < Selections[Set].size(); ++E) {
          // Counts that fell are those of a restarted engine.
          if (uint64_t Before = LastCounts[Set][E];
              Before <= Selections[Set][E])
            Selections[Set][E] -= Before;
        }
    }
    LastCounts = std::move(Counts->Counts);
    co_return Selections;
  }

  void sendBeat(const EngineReport &Report, uint64_t Token,
                const std::vector<std::vector<uint64_t>> &Selections) {
    if (Report.Rank == 0 && !Report.Group.empty()) {
      becomeController(Report);
      if (Controller) {
        noteMember(Report.Rank, Options.Listen.Ip, toString(Options.OwnEngine));
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

  void noteMember(uint32_t Rank, const std::string &Ip,
                  const std::string &EngineAddress) {
    Member &M = Members[Rank];
    M.Ip = Ip;
    M.HeardAt = now();
    if (M.Engine == EngineAddress)
      return;
    M.Engine = EngineAddress;
    std::optional<Address> At = parseAddress(EngineAddress);
    M.Client = At ? Make(*At) : nullptr;
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
    // Only who has called this agent may give its engine orders.
    if (Ip != ControllerIp || Part.Group != OwnReport.Group)
      return;
    uint64_t Number = Part.Number;
    std::optional<CompleteOrder> Whole = Orders.add(std::move(Part));
    if (!Whole || IsOrdering)
      return;
    if (Whole->From) {
      std::optional<ExpertMap> Map =
          Maps.resolve(*Whole->From, Whole->Order.Map);
      if (!Map) {
        // The controller sends the whole map next.
        logEvent(LogLevel::Info, "map-base-unknown",
                 {{"base", Whole->From->BaseVersion},
                  {"version", Whole->Order.Version}});
        return;
      }
      Whole->Order.Map = std::move(*Map);
    }
    asio::co_spawn(Io, carryOut(std::move(Whole->Order), Number, Ip),
                   asio::detached);
  }

  /// Gives the own engine an order. Without an answer the controller repeats
  /// it.
  asio::awaitable<void> carryOut(RankOrder Order, uint64_t Number,
                                 std::string Ip) {
    IsOrdering = true;
    absl::StatusOr<OrderAnswer> Answer = co_await OwnOrders->order(Order);
    IsOrdering = false;
    noteOwnAnswer(Order, Answer);
    if (!Answer.ok())
      co_return;
    OrderReply Reply;
    Reply.Group = OwnReport.Group;
    Reply.Rank = OwnReport.Rank;
    Reply.Epoch = Order.Epoch;
    Reply.Number = Number;
    Reply.Answer = *Answer;
    sendBytes(encodeReply(Reply), Ip);
  }

  void onReply(const OrderReply &Reply) {
    if (!Controller || Reply.Group != ControlledGroup ||
        Reply.Rank >= Controller->ranks() ||
        Controller->mapSwitch().epoch() != Reply.Epoch)
      return;
    Controller->mapSwitch().onAnswer(Reply.Rank, Reply.Number, Reply.Answer,
                                     now());
    drive();
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
        asio::co_spawn(Io, beat(M.Token), asio::detached);
      return;
    case AgentMessageKind::Heartbeat:
      if (Controller && M.Group == ControlledGroup)
        onBeat(M, Ip);
      return;
    }
  }

  void onBeat(const AgentMessage &M, const std::string &Ip) {
    noteMember(M.Report.Rank, Ip, M.Engine);
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
        drive();
      co_await sleepFor(isBusy() ? ChangePollInterval : IdlePollInterval);
    }
  }

  void drive() {
    TimePoint At = now();
    if (At - LastCall >= (Controller->mapSwitch().haveAllReported()
                              ? AnnounceInterval
                              : UrgentAnnounceInterval)) {
      LastCall = At;
      callMembers();
    }
    GroupController &C = *Controller;
    SwitchPhase Before = C.mapSwitch().phase();
    if (C.recover(At))
      logEvent(
          LogLevel::Warning, "map-change-recovered",
          {{"group", ControlledGroup}, {"held", C.mapSwitch().heldStep()}});
    if (!IsStopping)
      if (std::optional<PlannedChange> Change = C.plan(At)) {
        logEvent(LogLevel::Info, "map-change-begun",
                 {{"group", ControlledGroup},
                  {"epoch", C.mapSwitch().epoch()},
                  {"version", Change->Version},
                  {"skew_before_percent", int(Change->SkewBefore * 100)},
                  {"skew_after_percent", int(Change->SkewAfter * 100)},
                  {"copies", Change->Copies},
                  {"pass_us", C.passTime().count()}});
      }
    // Planning may have taken longer than an answer does.
    TimePoint SentAt = now();
    for (OutgoingOrder &S : C.mapSwitch().takeOrders(SentAt))
      if (!relayOrder(S, SentAt))
        asio::co_spawn(Io, giveOrder(std::move(S)), asio::detached);
    for (const ReportRequest &R : C.mapSwitch().awaitedReports())
      requestReport(R, At);
    noteEnds(Before, At);
  }

  /// Time of one step of a change, zero if it was not reached.
  static int64_t stepMillis(TimePoint Begin, TimePoint End) {
    bool IsKnown = Begin != TimePoint() && End != TimePoint();
    return IsKnown ? std::chrono::duration_cast<std::chrono::milliseconds>(
                         End - Begin)
                         .count()
                   : 0;
  }

  void noteEnds(SwitchPhase Before, TimePoint At) {
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

  void callMembers() {
    AgentMessage M;
    M.Kind = AgentMessageKind::Announce;
    M.Group = ControlledGroup;
    M.Epoch = OwnReport.Epoch;
    for (const std::string &Ip : Neighbours)
      if (Ip != Options.Listen.Ip)
        send(M, Ip);
  }

  void requestReport(const ReportRequest &R, TimePoint At) {
    auto Found = Members.find(R.Rank);
    if (Found == Members.end())
      return;
    Member &M = Found->second;
    if (M.Ip == Options.Listen.Ip) {
      asio::co_spawn(Io, beat(R.Token), asio::detached);
      return;
    }
    AgentMessage Poke;
    Poke.Kind = AgentMessageKind::RequestReport;
    Poke.Group = ControlledGroup;
    Poke.Token = R.Token;
    send(Poke, M.Ip);
    // Its agent may be gone while the engine lives.
    std::optional<Address> Engine = parseAddress(M.Engine);
    if (At - R.Since > EngineReadDelay && !M.IsReading && Engine) {
      M.IsReading = true;
      asio::co_spawn(Io, readRemote(R.Rank, *Engine, R.Token), asio::detached);
    }
  }

  asio::awaitable<void> readRemote(uint32_t Rank, Address At, uint64_t Token) {
    std::unique_ptr<EngineClient> Client = Make(At);
    absl::StatusOr<EngineReport> Report = co_await Client->report();
    if (auto Found = Members.find(Rank); Found != Members.end())
      Found->second.IsReading = false;
    if (Report.ok() && Controller && Report->Group == ControlledGroup)
      Controller->onReport(Report->Rank, *Report, Token, now());
  }

  /// Some copies go to the engine itself, since the way by its agent may be
  /// cut: every second one, and of a map, which takes long to send, every
  /// third: its first copy may lack what the agent needs, its second does not.
  static bool goesToEngine(const OutgoingOrder &S) {
    return S.Order.Kind == OrderKind::Prepare ? S.Attempt % 3 == 0
                                              : S.Attempt % 2 == 0;
  }

  /// Sends an order to the agent beside its engine. \returns whether it did.
  bool relayOrder(const OutgoingOrder &S, TimePoint At) {
    auto Found = Members.find(S.Rank);
    if (Found == Members.end() || Found->second.Ip == Options.Listen.Ip ||
        At - Found->second.HeardAt > AgentTimeout || goesToEngine(S))
      return false;
    for (const std::string &Bytes : datagramsOf(S))
      sendBytes(Bytes, Found->second.Ip);
    return true;
  }

  /// A map takes long to encode, and orders of one number differ in their ranks
  /// alone, which the datagrams do not name.
  const std::vector<std::string> &datagramsOf(const OutgoingOrder &S) {
    bool IsDifference = S.Attempt == 1 && S.Order.Kind == OrderKind::Prepare &&
                        Controller->mapSwitch().versionInUse();
    EncodedOrder Key{S.Number, S.Order.Kind, S.Order.Version, IsDifference};
    if (!Datagrams.empty() && EncodedAs == Key)
      return Datagrams;
    EncodedAs = Key;
    Datagrams = IsDifference ? encodeDifference(S)
                             : encodeOrder(ControlledGroup, S.Number, S.Order);
    return Datagrams;
  }

  std::vector<std::string> encodeDifference(const OutgoingOrder &S) {
    const MapSwitch &Switch = Controller->mapSwitch();
    RankOrder Order = S.Order;
    Order.Map = differenceOf(Switch.mapInUse(), S.Order.Map);
    return encodeOrder(
        ControlledGroup, S.Number, Order,
        MapReference{*Switch.versionInUse(), digestOf(S.Order.Map)});
  }

  asio::awaitable<void> giveOrder(OutgoingOrder S) {
    auto Found = Members.find(S.Rank);
    if (Found == Members.end() || !Found->second.Client ||
        Found->second.IsCalling)
      co_return;
    Found->second.IsCalling = true;
    std::shared_ptr<EngineClient> Client = Found->second.Client;
    uint64_t Epoch = S.Order.Epoch;
    absl::StatusOr<OrderAnswer> Answer = co_await Client->order(S.Order);
    if (auto Again = Members.find(S.Rank); Again != Members.end())
      Again->second.IsCalling = false;
    if (S.Rank == OwnReport.Rank)
      noteOwnAnswer(S.Order, Answer);
    if (!Controller || Controller->mapSwitch().epoch() != Epoch)
      co_return;
    if (Answer.ok())
      Controller->mapSwitch().onAnswer(S.Rank, S.Number, *Answer, now());
    else
      Controller->mapSwitch().onNoAnswer(S.Rank, S.Number, now());
    drive();
  }

  void send(const AgentMessage &M, const std::string &Ip) {
    sendBytes(encodeMessage(M), Ip);
  }

  /// A lost datagram is made up for by the next.
  void sendBytes(const std::string &Bytes, const std::string &Ip) {
    if (!Socket.send(Bytes, {Ip, Options.Listen.Port}))
      Metrics.counter("ragwort_agent_datagrams_unsent_total").add();
  }

  asio::io_context &Io;
  const AgentOptions Options;
  const EngineFactory Make;
  MetricsRegistry &Metrics;
  std::unique_ptr<EngineClient> Own;
  // A connection of its own, so that an order never waits for a report.
  std::unique_ptr<EngineClient> OwnOrders;
  asio::steady_timer BeatTimer;
  DatagramSocket Socket;
  GroupShape Shape;
  std::set<std::string> Neighbours;
  std::function<void(const EngineReport &)> OnReport;

  EngineReport OwnReport;
  RankExperts LastExperts;
  std::vector<std::vector<uint64_t>> LastCounts;
  uint64_t LastCountedStep = 0;
  std::string ControllerIp;
  HeartbeatSchedule Schedule;
  KnownMaps Maps;
  OrderAssembler Orders;
  bool IsOrdering = false;
  bool IsEngineReached = false;
  bool IsBeating = false;
  uint64_t PendingToken = 0;
  bool IsStopping = false;

  // Set while the own engine is the first rank of its group.
  std::unique_ptr<GroupController> Controller;
  std::string ControlledGroup;
  std::map<uint32_t, Member> Members;
  // Of the order that was encoded last.
  EncodedOrder EncodedAs;
  std::vector<std::string> Datagrams;
  TimePoint LastCall{};
  uint64_t Completed = 0;
  uint64_t Abandoned = 0;
};

} // namespace ragwort::rankgroup

#endif
