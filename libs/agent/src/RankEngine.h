//===- RankEngine.h - Orders to the engine of a rank ----------------------===//
//
// The engine's side of the rank group over HTTP: state, staging of weights,
// and orders that permit steps.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_RANKENGINE_H
#define RAGWORT_AGENT_RANKENGINE_H

#include "ragwort/experts/MapGrant.h"
#include "ragwort/experts/Placement.h"
#include "ragwort/http/HttpClient.h"
#include <nlohmann/json.hpp>

namespace ragwort::agent {

/// What an engine reports of its group.
struct RankReport {
  experts::EngineState State;
  /// Tokens routed to each expert since the engine started.
  std::vector<double> ExpertCounts;
  uint32_t Ranks = 0;
  uint32_t Slots = 0;
};

/// \code
///   RankEngine Engine(Strand, Server);
///   absl::StatusOr<RankReport> R = co_await Engine.report();
/// \endcode
class RankEngine {
public:
  RankEngine(asio::any_io_executor Executor, const Address &Server);

  asio::awaitable<absl::StatusOr<RankReport>> report();
  /// Loads the weights of the version; returns when they are loaded.
  asio::awaitable<absl::Status> stage(uint64_t Version, Epoch Fencing,
                                      std::vector<uint16_t> Placement);
  asio::awaitable<absl::Status> order(experts::Grant G, Epoch Fencing);

private:
  asio::awaitable<absl::StatusOr<nlohmann::json>> call(http::Request R,
                                                       Duration Timeout);
  asio::any_io_executor Executor;
  const Address Server;
};

} // namespace ragwort::agent

#endif
