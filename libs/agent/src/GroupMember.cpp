//===- GroupMember.cpp - An agent's role in its rank group ----------------===//
#include "GroupMember.h"
#include "ragwort/observe/Log.h"
#include <algorithm>

namespace ragwort::agent {

namespace {

using namespace std::chrono_literals;
using experts::Placement;
using wire::GroupMessage;
using Type = wire::GroupMessage::Type;

constexpr Duration EnginePollInterval = 100ms;
constexpr Duration ResendInterval = 200ms;
constexpr Duration PlanInterval = 1s;
constexpr Duration RequestTimeout = 1s;
constexpr Duration StageTimeout = 60s;
// An agent becomes controller if it receives nothing from a controller for this
// long. Higher ranks wait longer, so that usually only one agent tries.
constexpr Duration ControllerTimeout = 1500ms;
constexpr Duration ControllerTimeoutPerRank = 300ms;
constexpr uint64_t GrantLengthSteps = 128;
constexpr uint64_t GrantRefillSteps = 64;

experts::GrantHorizon grantHorizon() {
  experts::GrantHorizon Limits;
  Limits.GrantSteps = GrantLengthSteps;
  Limits.RefillThreshold = GrantRefillSteps;
  return Limits;
}

std::vector<uint16_t> expertsBySlot(const Placement &P) {
  std::vector<uint16_t> Experts;
  for (uint32_t Rank = 0; Rank < P.ranks(); ++Rank)
    for (uint32_t Slot = 0; Slot < P.slots(); ++Slot)
      Experts.push_back(P.at({Rank, Slot}));
  return Experts;
}

} // namespace

GroupMember::GroupMember(NodeContext &Context, const ConfigUpdater &Config)
    : Context(Context), Config(Config), Strand(asio::make_strand(Context.Io)),
      Plans(Context.Metrics.counter("ragwort_group_plans_total")),
      Moves(Context.Metrics.counter("ragwort_group_moved_experts_total")),
      Engine(Strand, Context.Node.Backend.Server) {}

void GroupMember::start() {
  auto Self = shared_from_this();
  asio::co_spawn(
      Strand, [Self] { return Self->enginePollLoop(); }, asio::detached);
  asio::co_spawn(
      Strand, [Self] { return Self->controllerLoop(); }, asio::detached);
  asio::co_spawn(
      Strand, [Self] { return Self->planLoop(); }, asio::detached);
}

std::vector<settings::InstanceSettings> GroupMember::members() const {
  std::vector<settings::InstanceSettings> Result;
  if (ConfigUpdater::Snapshot Fleet = Config.fleet())
    for (const settings::InstanceSettings &Instance : Fleet->Instances)
      if (Instance.Group == Context.Node.Backend.Group)
        Result.push_back(Instance);
  std::sort(Result.begin(), Result.end(),
            [](const auto &A, const auto &B) { return A.Rank < B.Rank; });
  return Result;
}

//===----------------------------------------------------------------------===//
// Rank
//===----------------------------------------------------------------------===//

asio::awaitable<bool> GroupMember::pollEngine() {
  absl::StatusOr<RankReport> Report = co_await Engine.report();
  if (!Report.ok())
    co_return false;
  if (!Guard) {
    Guard.emplace(Context.Self, Report->State);
    LastControllerContact = Clock.now();
    logEvent(LogLevel::Info, "rank-engine-connected",
             {{"group", Context.Node.Backend.Group},
              {"rank", Context.Node.Backend.Rank},
              {"step", Report->State.Step}});
  }
  Guard->onStep(Report->State.Step);
  LatestReport = std::move(*Report);
  co_return true;
}

asio::awaitable<void> GroupMember::enginePollLoop() {
  for (;;) {
    bool IsKnown = co_await pollEngine();
    if (IsKnown && Controller) {
      Controller->onStep(LatestReport->State.Step);
      sendControllerMessages();
    }
    co_await sleepFor(EnginePollInterval);
  }
}

void GroupMember::onRequest(GroupMessage Request, ReplyHandler SendReply) {
  auto Self = shared_from_this();
  asio::co_spawn(
      Strand,
      [Self, Request = std::move(Request),
       SendReply = std::move(SendReply)]() -> asio::awaitable<void> {
        GroupMessage Reply = co_await Self->handleRequest(Request);
        SendReply(std::move(Reply));
      },
      asio::detached);
}

asio::awaitable<GroupMessage> GroupMember::handleRequest(GroupMessage Request) {
  GroupMessage Reply;
  Reply.Stream = Request.Stream;
  Reply.Group = Request.Group;
  Reply.By = Request.By;
  Reply.Incarnation = Context.Self.Value;
  // The agent promises nothing before it has read the state of the engine. It
  // sends a reply that grants nothing.
  if (!Guard || Request.Group != Context.Node.Backend.Group)
    co_return Reply;
  if (Request.By >= Guard->promisedEpoch().Value)
    LastControllerContact = Clock.now();
  switch (Request.Kind) {
  case Type::PromiseRequest: {
    experts::PromiseReply P = Guard->onPromise({Epoch{Request.By}});
    Reply.Kind = Type::PromiseReply;
    Reply.By = P.Promised.Value;
    Reply.IsGranted = P.IsPromised;
    Reply.Step = P.Step;
    Reply.Chain = P.Chain;
    break;
  }
  case Type::AcceptRequest: {
    experts::AcceptRequest Accept;
    Accept.By = Epoch{Request.By};
    Accept.To = Incarnation{Request.Incarnation};
    Accept.Chain = Request.Chain;
    experts::AcceptReply A = Guard->onAccept(Accept);
    Reply.Kind = Type::AcceptReply;
    Reply.IsGranted = A.IsAccepted;
    Reply.Index = A.Index;
    Reply.Step = A.Step;
    break;
  }
  case Type::CommitNotice: {
    experts::CommitNotice Notice;
    Notice.By = Epoch{Request.By};
    Notice.To = Incarnation{Request.Incarnation};
    Notice.Index = Request.Index;
    std::vector<experts::Grant> Usable = Guard->onCommit(Notice);
    co_await sendOrders(std::move(Usable), Epoch{Request.By});
    Reply.Kind = Type::CommitNotice;
    Reply.IsGranted = Guard->hasCommitted(Notice);
    Reply.Index = Notice.Index;
    break;
  }
  case Type::StageRequest: {
    Reply.Kind = Type::StageReply;
    Reply.Version = Request.Version;
    if (Request.By == Guard->promisedEpoch().Value) {
      absl::Status Staged = co_await Engine.stage(
          Request.Version, Epoch{Request.By}, Request.Placement);
      Reply.IsGranted = Staged.ok();
    }
    break;
  }
  default:
    break;
  }
  co_return Reply;
}

asio::awaitable<void>
GroupMember::sendOrders(std::vector<experts::Grant> Grants, Epoch By) {
  for (const experts::Grant &G : Grants) {
    // Until the engine has received the order, the group waits; its ranks never
    // use different maps. An engine accepts the same order again.
    absl::Status Sent = co_await Engine.order(G, By);
    while (!Sent.ok() && Guard->promisedEpoch() == By) {
      co_await sleepFor(EnginePollInterval);
      Sent = co_await Engine.order(G, By);
    }
  }
}

//===----------------------------------------------------------------------===//
// Controller
//===----------------------------------------------------------------------===//

asio::awaitable<void> GroupMember::controllerLoop() {
  for (;;) {
    co_await sleepFor(ResendInterval);
    if (!Guard)
      continue;
    if (Controller &&
        Controller->phase() == experts::MapController::Phase::Fenced) {
      logEvent(LogLevel::Info, "group-duty-lost",
               {{"epoch", Controller->epoch().Value}});
      Controller.reset();
      LastControllerContact = Clock.now();
    }
    if (Controller) {
      LastControllerContact = Clock.now();
      Controller->resend();
      sendControllerMessages();
      continue;
    }
    Duration Timeout = ControllerTimeout +
                       ControllerTimeoutPerRank * Context.Node.Backend.Rank;
    auto Ranks = static_cast<uint32_t>(members().size());
    if (Ranks > 0 && Clock.now() - LastControllerContact > Timeout)
      becomeController(Ranks);
  }
}

void GroupMember::becomeController(uint32_t Ranks) {
  Epoch Own =
      experts::controllerEpoch(experts::nextRound(Guard->promisedEpoch()),
                               Context.Node.Backend.Rank, Context.Self);
  logEvent(LogLevel::Info, "group-duty-taken",
           {{"group", Context.Node.Backend.Group}, {"epoch", Own.Value}});
  Controller.emplace(Ranks, Own, grantHorizon());
  PlacementInForce.reset();
  PreviousCounts.clear();
  Tracker = experts::PopularityTracker();
  Controller->start();
  sendControllerMessages();
}

void GroupMember::sendControllerMessages() {
  if (!Controller)
    return;
  for (experts::RankMessage &Out : Controller->takeMessages()) {
    GroupMessage Request;
    Request.Group = Context.Node.Backend.Group;
    if (auto *P = std::get_if<experts::PromiseRequest>(&Out.Message)) {
      Request.Kind = Type::PromiseRequest;
      Request.By = P->By.Value;
    } else if (auto *A = std::get_if<experts::AcceptRequest>(&Out.Message)) {
      Request.Kind = Type::AcceptRequest;
      Request.By = A->By.Value;
      Request.Incarnation = A->To.Value;
      Request.Chain = A->Chain;
    } else if (auto *C = std::get_if<experts::CommitNotice>(&Out.Message)) {
      Request.Kind = Type::CommitNotice;
      Request.By = C->By.Value;
      Request.Incarnation = C->To.Value;
      Request.Index = C->Index;
    }
    auto Self = shared_from_this();
    asio::co_spawn(
        Strand,
        [Self, Rank = Out.Rank, Request] {
          return Self->sendToRank(Rank, Request);
        },
        asio::detached);
  }
}

asio::awaitable<void> GroupMember::sendToRank(uint32_t Rank,
                                              GroupMessage Request) {
  absl::StatusOr<GroupMessage> Reply =
      co_await exchange(Rank, std::move(Request), RequestTimeout);
  if (Reply.ok())
    onReply(Rank, *Reply);
}

asio::awaitable<absl::StatusOr<GroupMessage>>
GroupMember::exchange(uint32_t Rank, GroupMessage Request, Duration Timeout) {
  if (Rank == Context.Node.Backend.Rank)
    co_return co_await handleRequest(std::move(Request));
  std::vector<settings::InstanceSettings> Members = members();
  if (Rank >= Members.size())
    co_return absl::NotFoundError("no agent for the rank");
  std::shared_ptr<PeerChannel> &Channel = Channels[Rank];
  if (!Channel)
    Channel = std::make_shared<PeerChannel>(Context.Io, Members[Rank].Peer,
                                            Members[Rank].Name, Context.Keys,
                                            Context.hello());
  std::shared_ptr<PeerChannel> Peer = Channel;
  absl::StatusOr<wire::Hello> Hello = co_await Peer->connect(RequestTimeout);
  if (!Hello.ok())
    co_return Hello.status();
  auto Box = std::make_shared<StreamBox>(Strand, 4);
  Request.Stream = Peer->open(Box);
  uint64_t Stream = Request.Stream;
  Peer->send(std::move(Request));
  absl::StatusOr<wire::Message> M =
      co_await Box->receive(std::chrono::steady_clock::now() + Timeout);
  Peer->closeStream(Stream);
  if (!M.ok())
    co_return M.status();
  if (auto *Reply = std::get_if<GroupMessage>(&*M))
    co_return std::move(*Reply);
  co_return absl::InternalError("unexpected message");
}

void GroupMember::onReply(uint32_t Rank, const GroupMessage &Reply) {
  if (!Controller)
    return;
  if (Reply.Kind == Type::PromiseReply) {
    experts::PromiseReply P;
    P.Rank = Incarnation{Reply.Incarnation};
    P.Promised = Epoch{Reply.By};
    P.IsPromised = Reply.IsGranted;
    P.Step = Reply.Step;
    P.Chain = Reply.Chain;
    Controller->onPromiseReply(Rank, P);
  } else if (Reply.Kind == Type::AcceptReply) {
    experts::AcceptReply A;
    A.Rank = Incarnation{Reply.Incarnation};
    A.By = Epoch{Reply.By};
    A.IsAccepted = Reply.IsGranted;
    A.Index = Reply.Index;
    A.Step = Reply.Step;
    Controller->onAcceptReply(Rank, A);
  } else if (Reply.Kind == Type::CommitNotice && Reply.IsGranted) {
    experts::CommitReply C;
    C.Rank = Incarnation{Reply.Incarnation};
    C.By = Epoch{Reply.By};
    C.Index = Reply.Index;
    Controller->onCommitReply(Rank, C);
  }
  sendControllerMessages();
}

asio::awaitable<void> GroupMember::planLoop() {
  for (;;) {
    co_await sleepFor(PlanInterval);
    bool IsSteady =
        Controller && LatestReport &&
        Controller->phase() == experts::MapController::Phase::Steady;
    ConfigUpdater::Snapshot Fleet = Config.fleet();
    if (!IsSteady || !Fleet)
      continue;
    std::vector<double> Counts = LatestReport->ExpertCounts;
    // The counts are totals since the engine started, so the first ones only
    // mark the start of the first period.
    bool IsFirst = PreviousCounts.size() != Counts.size();
    std::vector<double> Previous = std::exchange(PreviousCounts, Counts);
    if (IsFirst)
      continue;
    std::vector<double> Period = Counts;
    for (size_t E = 0; E < Counts.size(); ++E)
      Period[E] = std::max(0.0, Counts[E] - Previous[E]);
    Tracker.onPeriod(Period);
    auto Experts = static_cast<uint32_t>(Counts.size());
    uint32_t Ranks = LatestReport->Ranks;
    if (Experts == 0 || Ranks == 0 || Tracker.popularity().empty())
      continue;
    // A new controller does not know the placement of its predecessor. It plans
    // from the default placement, which costs additional moves.
    if (!PlacementInForce)
      PlacementInForce =
          Placement::roundRobin(Experts, Ranks, LatestReport->Slots);
    experts::PlanWeights Weights{Fleet->Objective.SkewWeight,
                                 Fleet->Objective.RebalancingWeight};
    experts::Plan Next =
        experts::planRebalancing(*PlacementInForce, Tracker.popularity(),
                                 Weights, experts::PlanLimits());
    if (Next.Moves == 0)
      continue;
    uint64_t Version =
        std::max(HighestVersion, Controller->versionInForce()) + 1;
    HighestVersion = Version;
    bool IsStaged = co_await stageOnAllRanks(Version, Ranks, Next.Target);
    if (!IsStaged || !Controller)
      continue;
    Plans.add();
    Moves.add(Next.Moves);
    logEvent(LogLevel::Info, "map-staged",
             {{"version", Version},
              {"moves", Next.Moves},
              {"skew_before", std::to_string(Next.SkewBefore)},
              {"skew_after", std::to_string(Next.SkewAfter)}});
    PlacementInForce = Next.Target;
    Controller->setVersion(Version);
    Controller->onStep(LatestReport->State.Step);
    sendControllerMessages();
  }
}

asio::awaitable<bool> GroupMember::stageOnAllRanks(uint64_t Version,
                                                   uint32_t Ranks,
                                                   Placement Target) {
  GroupMessage Request;
  Request.Kind = Type::StageRequest;
  Request.Group = Context.Node.Backend.Group;
  Request.By = Controller->epoch().Value;
  Request.Version = Version;
  Request.Placement = expertsBySlot(Target);
  auto Pending = std::make_shared<uint32_t>(Ranks);
  auto Failed = std::make_shared<uint32_t>(0);
  auto Self = shared_from_this();
  for (uint32_t Rank = 0; Rank < Ranks; ++Rank)
    asio::co_spawn(
        Strand,
        [Self, Rank, Request, Pending, Failed]() -> asio::awaitable<void> {
          absl::StatusOr<GroupMessage> Reply =
              co_await Self->exchange(Rank, Request, StageTimeout);
          *Failed += !Reply.ok() || !Reply->IsGranted;
          --*Pending;
        },
        asio::detached);
  while (*Pending > 0)
    co_await sleepFor(10ms);
  co_return *Failed == 0;
}

asio::awaitable<nlohmann::json> GroupMember::state() {
  auto Self = shared_from_this();
  auto ReadState = [Self]() -> asio::awaitable<nlohmann::json> {
    nlohmann::json Result = {{"group", Self->Context.Node.Backend.Group},
                             {"rank", Self->Context.Node.Backend.Rank},
                             {"is_controller", Self->Controller.has_value()}};
    if (Self->Guard)
      Result["promised_epoch"] = Self->Guard->promisedEpoch().Value;
    if (Self->LatestReport)
      Result["step"] = Self->LatestReport->State.Step;
    if (Self->Controller) {
      Result["version"] = Self->Controller->versionInForce();
      Result["granted_through"] = Self->Controller->grantedThrough();
    }
    co_return Result;
  };
  co_return co_await asio::co_spawn(Strand, ReadState, asio::use_awaitable);
}

} // namespace ragwort::agent
