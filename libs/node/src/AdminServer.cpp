//===- AdminServer.cpp - HTTP server of the admin endpoints ---------------===//
#include "ragwort/node/AdminServer.h"
#include "ragwort/wire/Codec.h"
#include <openssl/crypto.h>

namespace ragwort {

namespace {

constexpr std::string_view ExplainPrefix = "/explain/";
constexpr std::string_view BearerPrefix = "Bearer ";

http::ServerLimits adminLimits() {
  http::ServerLimits Limits;
  Limits.MaxBodyBytes = wire::MaxFrameBytes;
  Limits.MaxConnections = 64;
  return Limits;
}

http::Response plain(unsigned Status, std::string Text) {
  return http::makeResponse(Status, "text/plain", std::move(Text));
}

http::Response json(std::string Text) {
  return http::makeResponse(200, "application/json", std::move(Text));
}

} // namespace

AdminServer::AdminServer(NodeContext &Context, AdminHooks Hooks)
    : Context(Context), Hooks(std::move(Hooks)),
      Server(
          Context.Io, [this](http::Exchange &X) { return handle(X); },
          adminLimits()) {}

absl::Status AdminServer::listen() { return Server.listen(Context.Node.Admin); }

bool AdminServer::isAuthorised(const http::Request &R) const {
  std::string_view Value = R.header("Authorization");
  if (!Value.starts_with(BearerPrefix))
    return false;
  Value.remove_prefix(BearerPrefix.size());
  const std::string &Token = Context.Node.AdminToken;
  return Value.size() == Token.size() &&
         CRYPTO_memcmp(Value.data(), Token.data(), Token.size()) == 0;
}

http::Response AdminServer::answer(const http::Request &R) {
  if (R.Target == "/healthz")
    return plain(200, "ok\n");
  if (R.Target == "/readyz")
    return Hooks.IsReady() ? plain(200, "ready\n") : plain(503, "not ready\n");
  if (!isAuthorised(R))
    return plain(401, "token required\n");
  if (R.Target == "/metrics")
    return http::makeResponse(200, "text/plain; version=0.0.4",
                              Context.Metrics.prometheusText());
  if (R.Target == "/drain" && R.Method == "POST") {
    Hooks.Drain();
    return plain(202, "draining\n");
  }
  if (R.Target == "/config" && R.Method == "POST")
    return mergeConfig(R.Body);
  if (R.Target.starts_with(ExplainPrefix)) {
    std::optional<std::string> Found =
        Hooks.ExplainJson(R.Target.substr(ExplainPrefix.size()));
    return Found ? json(*Found) : plain(404, "request is not remembered\n");
  }
  return plain(404, "no such endpoint\n");
}

http::Response AdminServer::mergeConfig(std::string_view Body) {
  absl::StatusOr<wire::Message> M = wire::parseMessage(Body);
  auto *Reply = M.ok() ? std::get_if<wire::ConfigReply>(&*M) : nullptr;
  if (!Reply)
    return plain(400, "expected a configuration\n");
  Hooks.MergeConfig(*Reply);
  return plain(202, "taken\n");
}

asio::awaitable<void> AdminServer::handle(http::Exchange &X) {
  http::Response R;
  if (X.request().Target == "/state" && isAuthorised(X.request())) {
    std::string State = co_await Hooks.StateJson();
    R = json(std::move(State));
  } else {
    R = answer(X.request());
  }
  co_await X.respond(std::move(R));
}

} // namespace ragwort
