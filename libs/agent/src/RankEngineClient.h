//===- RankEngineClient.h - HTTP client of a rank's engine ----------------===//
//
// Reads the state of an engine, stages weights, and sends the orders that
// permit the engine to run steps.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_RANKENGINECLIENT_H
#define RAGWORT_AGENT_RANKENGINECLIENT_H

#include "ragwort/experts/MapGrant.h"
#include "ragwort/experts/Placement.h"
#include "ragwort/http/HttpClient.h"
#include <nlohmann/json.hpp>

namespace ragwort::agent {

/// State that an engine reports about itself and its group.
struct RankReport {
  experts::EngineState State;
  /// Tokens routed to each expert since the engine started.
  std::vector<double> ExpertCounts;
  uint32_t Ranks = 0;
  /// Number of slots of each rank.
  uint32_t Slots = 0;
};

/// \code
///   RankEngineClient Engine(Strand, Server);
///   absl::StatusOr<RankReport> R = co_await Engine.report();
/// \endcode
class RankEngineClient {
public:
  RankEngineClient(asio::any_io_executor Executor, const Address &Server);

  asio::awaitable<absl::StatusOr<RankReport>> report();
  /// Loads the weights of a map version. Returns after they are loaded. \p
  /// Placement is the expert of each slot, rank by rank.
  asio::awaitable<absl::Status> stage(uint64_t Version, Epoch Fencing,
                                      std::vector<uint16_t> Placement);
  /// Permits the engine to run the steps of \p G.
  asio::awaitable<absl::Status> order(experts::Grant G, Epoch Fencing);

private:
  asio::awaitable<absl::StatusOr<nlohmann::json>> call(http::Request R,
                                                       Duration Timeout);
  asio::any_io_executor Executor;
  const Address Server;
};

} // namespace ragwort::agent

#endif
