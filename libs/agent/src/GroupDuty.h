//===- GroupDuty.h - An agent's part in its rank group --------------------===//
//
// Guards the rank's engine, answers the group's controller, and takes the
// controller's duty up when nobody holds it: then it also plans placements.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_GROUPDUTY_H
#define RAGWORT_AGENT_GROUPDUTY_H

#include "RankEngine.h"
#include "ragwort/experts/MapController.h"
#include "ragwort/experts/Planner.h"
#include "ragwort/experts/PopularityTracker.h"
#include "ragwort/experts/RankGuard.h"
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/node/NodeContext.h"
#include "ragwort/transport/PeerChannel.h"

namespace ragwort::agent {

/// All of it runs on one strand.
///
/// \code
///   auto Duty = std::make_shared<GroupDuty>(Context, Config);
///   Duty->start();
///   Duty->onRequest(Message, [](wire::GroupMessage Reply) { ... });
/// \endcode
class GroupDuty : public std::enable_shared_from_this<GroupDuty> {
public:
  using Replier = std::function<void(wire::GroupMessage)>;

  GroupDuty(NodeContext &Context, const ConfigUpdater &Config);
  void start();
  /// Takes a request of a controller, from any thread.
  void onRequest(wire::GroupMessage Request, Replier Answer);
  /// For the state dump.
  asio::awaitable<nlohmann::json> state();

private:
  asio::awaitable<void> watchLoop();
  asio::awaitable<void> dutyLoop();
  asio::awaitable<bool> learnEngine();
  asio::awaitable<wire::GroupMessage> serve(wire::GroupMessage Request);
  asio::awaitable<void> giveOrders(std::vector<experts::Grant> Grants,
                                   Epoch By);

  // The controller's duty.
  void takeDutyUp(uint32_t Ranks);
  void sendOut();
  asio::awaitable<void> ask(uint32_t Rank, wire::GroupMessage Request);
  void onReply(uint32_t Rank, const wire::GroupMessage &Reply);
  asio::awaitable<void> planLoop();
  asio::awaitable<bool> stageEverywhere(uint64_t Version, uint32_t Ranks,
                                        experts::Placement Target);
  asio::awaitable<absl::StatusOr<wire::GroupMessage>>
  exchange(uint32_t Rank, wire::GroupMessage Request, Duration Timeout);
  /// The agents of the group by rank, or nothing while some are unknown.
  std::vector<settings::InstanceSettings> members() const;

  NodeContext &Context;
  const ConfigUpdater &Config;
  asio::strand<asio::io_context::executor_type> Strand;
  SteadyClock Clock;
  Counter &Plans;
  Counter &Moves;

  // Everything below belongs to the strand.
  RankEngine Engine;
  std::optional<experts::RankGuard> Guard;
  std::optional<RankReport> Latest;
  TimePoint ControllerHeard{};
  std::optional<experts::MapController> Controller;
  experts::PopularityTracker Tracker;
  std::vector<double> CountsBefore;
  std::optional<experts::Placement> InForce;
  uint64_t HighestVersion = 0;
  std::map<uint32_t, std::shared_ptr<PeerChannel>> Channels;
};

} // namespace ragwort::agent

#endif
