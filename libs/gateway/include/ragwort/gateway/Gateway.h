//===- Gateway.h - Accepts callers and owns what their requests share -----===//
//
// Runs on one event loop and one thread: the instances it is made for have a
// part of one core.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_GATEWAY_H
#define RAGWORT_GATEWAY_GATEWAY_H

#include "ragwort/gateway/CallerSession.h"
#include <absl/status/status.h>
#include <functional>
#include <set>
#include <unordered_map>

namespace ragwort::gateway {

/// What a gateway needs besides the configuration that comes later.
struct GatewayOptions {
  Address Listen;
  std::string DataCentre;
  RetryBudgetLimits RetryLimits;
  /// Connections of callers beyond this are closed on arrival.
  size_t MaxCallers = 1024;
  uint64_t Seed = 1;
};

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

  absl::Status listen();
  uint16_t port() const;

  /// Puts \p Config in force unless a newer one is. \returns whether it was.
  bool applyConfig(std::shared_ptr<const TrafficConfig> Config);
  uint64_t configVersion() const { return Config ? Config->Version : 0; }
  BackendDirectory &directory() { return Directory; }
  const BackendDirectory &directory() const { return Directory; }
  /// The directory has changed.
  void onDirectoryChanged();
  /// Load that a peer reported.
  void onPeerReport(std::string_view Peer, std::vector<InFlightReport> Report);
  Dispatcher &dispatcher() { return Dispatch; }

  /// Whether callers may be sent here.
  bool isReady() const;
  /// Announces the end: not ready any more, answers close their connections.
  void beginDrain();
  /// Closes the caller connections that wait for a request and stops accepting.
  void closeIdle();
  size_t activeRequests() const;
  size_t callers() const { return Sessions.size(); }
  /// The process stood still: kept connections may be dead.
  void onSuspended(Duration Gap);
  std::string describe() const;

  std::variant<AcceptedRequest, OwnAnswer> accept(http::Request Message,
                                                  TimePoint Arrived) override;
  ForwardingContext &context() override { return Context; }
  CallerLimits limits() const override;
  bool isDraining() const override { return IsDraining; }

private:
  void acceptNext();
  void tick();
  void dispatchWaiting();
  void scheduleDispatch();

  asio::io_context &Io;
  const GatewayOptions Options;
  const ProtocolNames Names;
  MetricsRegistry &Metrics;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer Ticker;
  Dispatcher Dispatch;
  BackendPool Pool;
  BackendDirectory Directory;
  std::shared_ptr<const TrafficConfig> Config;
  ForwardingContext Context;
  std::set<std::shared_ptr<CallerSession>> Sessions;
  std::unordered_map<uint64_t, std::weak_ptr<Forwarding>> Waiting;
  bool IsDraining = false;
  bool IsDispatchScheduled = false;
};

} // namespace ragwort::gateway

#endif
