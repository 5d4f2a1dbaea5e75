//===- AdminServer.h - HTTP server of the admin endpoints -----------------===//
//
// Serves /healthz and /readyz without authentication, and /metrics, /state,
// /explain/ID, /drain and /config to clients with the admin token.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_NODE_ADMINSERVER_H
#define RAGWORT_NODE_ADMINSERVER_H

#include "ragwort/http/HttpServer.h"
#include "ragwort/node/NodeContext.h"
#include <functional>
#include <optional>
#include <string>

namespace ragwort {

/// Functions of a daemon that the admin endpoints call.
struct AdminHooks {
  /// Result of /readyz.
  std::function<bool()> IsReady;
  /// The state of the process as JSON.
  std::function<asio::awaitable<std::string>()> StateJson;
  /// The routing decisions for a request as JSON, or std::nullopt if the
  /// request is not in the history.
  std::function<std::optional<std::string>(const std::string &Id)> ExplainJson;
  /// Starts a graceful shutdown.
  std::function<void()> Drain;
  /// Merges a configuration change that the table service has accepted.
  std::function<void(const wire::ConfigReply &)> MergeConfig;
};

/// \code
///   AdminServer Admin(Context, Hooks);
///   absl::Status Listening = Admin.listen();
/// \endcode
class AdminServer {
public:
  AdminServer(NodeContext &Context, AdminHooks Hooks);
  /// Opens the listener on the admin address of the node settings.
  absl::Status listen();
  uint16_t port() const { return Server.port(); }

private:
  asio::awaitable<void> handle(http::Exchange &X);
  http::Response answer(const http::Request &R);
  http::Response mergeConfig(std::string_view Body);
  bool isAuthorised(const http::Request &R) const;

  NodeContext &Context;
  const AdminHooks Hooks;
  http::Server Server;
};

} // namespace ragwort

#endif
