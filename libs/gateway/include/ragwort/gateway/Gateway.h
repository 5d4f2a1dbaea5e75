//===- Gateway.h - Accepts callers and owns their shared state ------------===//
//
// Runs on one event loop and one thread, because a gateway node is designed for
// a fraction of one core.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_GATEWAY_H
#define RAGWORT_GATEWAY_GATEWAY_H

#include "ragwort/dispatch/LinkLoad.h"
#include "ragwort/gateway/CallerSession.h"
#include "ragwort/gateway/PathProbes.h"
#include "ragwort/gateway/StopSchedule.h"
#include <absl/status/status.h>
#include <functional>
#include <set>
#include <unordered_map>

namespace ragwort::gateway {

/// Settings that are fixed at start. The traffic configuration follows through
/// Gateway::applyConfig().
struct GatewayOptions {
  Address Listen;
  std::string DataCentre;
  /// Data centre -> region, of all that there are; empty if not known.
  std::map<std::string, std::string, std::less<>> Regions;
  /// Whether no request is accepted before evacuations() are known.
  bool AwaitsEvacuations = false;
  /// Limits on retries, for the whole fleet.
  dispatch::RetryBudgetLimits RetryLimits;
  /// Maximum number of caller connections. Further ones are closed on accept.
  size_t MaxCallers = 1024;
  /// Memory of the instance in bytes; 0 if unknown. Half of it may be held for
  /// callers and servers.
  size_t MemoryBytes = 0;
  /// Bandwidth of the instance's link in Mbit/s; 0 if unknown.
  double LinkMbps = 0;
  uint64_t Seed = 1;
};

/// The entry point for callers: accepts connections, authenticates and routes
/// requests, and dispatches them to backend servers.
///
/// \code
///   Gateway G(Io, Options, Names, Metrics);
///   absl::Status Listening = G.listen();
///   G.applyConfig(Config);
///   G.directory().replaceAll(...); G.onDirectoryChanged();
/// \endcode
class Gateway final : public RequestHandler {
public:
  Gateway(asio::io_context &Io, GatewayOptions Options, ProtocolNames Names,
          MetricsRegistry &Metrics);
  ~Gateway() override;

  /// Starts accepting callers and applying time limits.
  absl::Status listen();
  uint16_t port() const;

  /// Applies \p Config if its version is newer than the current one. \returns
  /// whether it was applied.
  bool applyConfig(std::shared_ptr<const TrafficConfig> Config);
  uint64_t configVersion() const { return Config ? Config->Version : 0; }
  dispatch::BackendDirectory &directory() { return Directory; }
  const dispatch::BackendDirectory &directory() const { return Directory; }
  /// Call after each change of directory().
  void onDirectoryChanged();
  dispatch::Evacuations &evacuations() { return Evacuated; }
  /// Call after each change of evacuations().
  void onEvacuationsChanged();
  /// Records the load that \p Peer reported.
  void onPeerReport(std::string_view Peer,
                    std::vector<dispatch::InFlightReport> Report);
  dispatch::Dispatcher &dispatcher() { return Dispatch; }
  quarantine::RequestQuarantine &requestQuarantine() { return Quarantine; }
  const dispatch::MemoryBudget &memory() const { return *Memory; }

  /// Whether a load balancer may send callers to this node: it has a
  /// configuration and a directory, and is not draining.
  bool isReady() const;
  /// Starts draining: isReady() becomes false, each response closes its
  /// connection, and requests that cannot end by \p Schedule are refused.
  void beginDrain(const StopSchedule &Schedule);
  /// Closes the caller connections without a request.
  void closeIdle();
  void stopAccepting();
  /// Ends all requests truthfully before the process exits: those that no
  /// server has been sent are refused, the others fail or are cut.
  void endRequests();
  /// Caller connections that have a request in progress.
  size_t activeRequests() const;
  /// Caller connections, including those closed since the last tick.
  size_t callers() const { return Sessions.size(); }
  /// Closes idle backend connections after the process was suspended for
  /// \p Gap, since they may be dead.
  void onSuspended(Duration Gap);
  /// Sets the gauges of the node's current state, before they are read.
  void updateGauges();
  /// State for the operators' state dump.
  std::string describe() const;

  std::variant<AcceptedRequest, LocalReply> accept(http::Request Message,
                                                   TimePoint Arrived) override;
  ForwardingContext &context() override { return Context; }
  CallerLimits limits() const override;
  bool isDraining() const override { return Stop.has_value(); }

private:
  /// Whether it has what it needs to place requests.
  bool hasState() const;
  void acceptNext();
  void tick();
  void dispatchWaiting();
  void scheduleDispatch();
  /// A request with \p Traits was at a server when \p Run of it ended.
  void onCrash(const dispatch::ServerRun &Run,
               const quarantine::RequestTraits &Traits);

  asio::io_context &Io;
  const GatewayOptions Options;
  const ProtocolNames Names;
  MetricsRegistry &Metrics;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Ticker;
  std::shared_ptr<dispatch::MemoryBudget> Memory;
  dispatch::LinkLoad Link;
  dispatch::Dispatcher Dispatch;
  BackendPool Pool;
  PathProbes Probes;
  quarantine::RequestQuarantine Quarantine;
  CrashDetector Crashes;
  RouteDurations Durations;
  StreamStarts Starts;
  dispatch::BackendDirectory Directory;
  dispatch::Evacuations Evacuated;
  std::shared_ptr<const TrafficConfig> Config;
  // Has a value while the node drains.
  std::optional<StopSchedule> Stop;
  ForwardingContext Context;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  std::unordered_map<uint64_t, std::weak_ptr<Forwarding>> Waiting;
  bool IsDispatchScheduled = false;
};

} // namespace ragwort::gateway

#endif
