//===- AdminServer.h - Health, metrics and state dump ---------------------===//
//
// Serves /healthz and /readyz to anyone who reaches the address, and /metrics,
// /state, /explain/ID /drain and /config to holders of the
// token.
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

/// What the admin endpoints ask of a daemon.
struct AdminHooks {
  std::function<bool()> IsReady;
  /// Every table of the process as JSON.
  std::function<asio::awaitable<std::string>()> StateJson;
  /// Why a request went where it went, as JSON; nothing when not remembered.
  std::function<std::optional<std::string>(const std::string &Id)> ExplainJson;
  /// Starts a graceful shutdown.
  std::function<void()> Drain;
  /// Takes a change that the table service has accepted.
  std::function<void(const wire::ConfigReply &)> MergeConfig;
};

/// \code
///   AdminServer Admin(Context, Hooks);
///   absl::Status Listening = Admin.listen();
/// \endcode
class AdminServer {
public:
  AdminServer(NodeContext &Context, AdminHooks Hooks);
  absl::Status listen();
  uint16_t port() const { return Server.port(); }

private:
  asio::awaitable<void> handle(http::Exchange &X);
  http::Response answer(const http::Request &R);
  http::Response takeConfig(std::string_view Body);
  bool isAuthorised(const http::Request &R) const;

  NodeContext &Context;
  const AdminHooks Hooks;
  http::Server Server;
};

} // namespace ragwort

#endif
