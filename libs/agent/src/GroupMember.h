//===- GroupMember.h - An agent's role in its rank group ------------------===//
//
// Answers the requests of the group's controller and passes the orders on to
// the engine of its rank. If the group has no controller, the agent becomes
// controller itself and then also plans placements.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_GROUPMEMBER_H
#define RAGWORT_AGENT_GROUPMEMBER_H

#include "RankEngineClient.h"
#include "ragwort/experts/MapController.h"
#include "ragwort/experts/Planner.h"
#include "ragwort/experts/PopularityTracker.h"
#include "ragwort/experts/RankGuard.h"
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/node/NodeContext.h"
#include "ragwort/transport/PeerChannel.h"

namespace ragwort::agent {

/// All coroutines run on one strand.
///
/// \code
///   auto Member = std::make_shared<GroupMember>(Context, Config);
///   Member->start();
///   Member->onRequest(Message, [](wire::GroupMessage Reply) { ... });
/// \endcode
class GroupMember : public std::enable_shared_from_this<GroupMember> {
public:
  using ReplyHandler = std::function<void(wire::GroupMessage)>;

  GroupMember(NodeContext &Context, const ConfigUpdater &Config);
  void start();
  /// Handles a request of a controller. May be called from any thread;
  /// \p SendReply is called on the strand.
  void onRequest(wire::GroupMessage Request, ReplyHandler SendReply);
  /// State of the group as this agent sees it, for the admin endpoint /state.
  asio::awaitable<nlohmann::json> state();

private:
  asio::awaitable<void> enginePollLoop();
  asio::awaitable<void> controllerLoop();
  /// Reads the state of the engine. \returns false if the engine does not
  /// answer.
  asio::awaitable<bool> pollEngine();
  asio::awaitable<wire::GroupMessage> handleRequest(wire::GroupMessage Request);
  /// Sends the orders for \p Grants to the engine. Retries each one until the
  /// engine takes it or a controller with another epoch gets the promise.
  asio::awaitable<void> sendOrders(std::vector<experts::Grant> Grants,
                                   Epoch By);

  // Controller's side of the protocol.
  void becomeController(uint32_t Ranks);
  void sendControllerMessages();
  asio::awaitable<void> sendToRank(uint32_t Rank, wire::GroupMessage Request);
  void onReply(uint32_t Rank, const wire::GroupMessage &Reply);
  asio::awaitable<void> planLoop();
  asio::awaitable<bool> stageOnAllRanks(uint64_t Version, uint32_t Ranks,
                                        experts::Placement Target);
  asio::awaitable<absl::StatusOr<wire::GroupMessage>>
  exchange(uint32_t Rank, wire::GroupMessage Request, Duration Timeout);
  /// Instances of the group that the settings list, sorted by rank.
  std::vector<settings::InstanceSettings> members() const;

  NodeContext &Context;
  const ConfigUpdater &Config;
  asio::strand<asio::io_context::executor_type> Strand;
  SteadyClock Clock;
  Counter &Plans;
  Counter &Moves;

  // The fields below are only used on the strand.
  RankEngineClient Engine;
  // Set once the state of the engine was read.
  std::optional<experts::RankGuard> Guard;
  std::optional<RankReport> LatestReport;
  TimePoint LastControllerContact{};
  // Set while this agent is controller.
  std::optional<experts::MapController> Controller;
  experts::PopularityTracker Tracker;
  // Token counts of the experts at the end of the last period.
  std::vector<double> PreviousCounts;
  std::optional<experts::Placement> PlacementInForce;
  // Highest map version that this agent has planned as controller, also if it
  // could not be staged: a later plan gets a higher one.
  uint64_t HighestVersion = 0;
  std::map<uint32_t, std::shared_ptr<PeerChannel>> Channels;
};

} // namespace ragwort::agent

#endif
