//===- HttpServer.h - HTTP/1.1 server over Boost.Beast --------------------===//
//
// One coroutine per connection, each on its own strand. A malformed request is
// answered with a problem document and closes only its own connection.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_HTTP_HTTPSERVER_H
#define RAGWORT_HTTP_HTTPSERVER_H

#include "ragwort/base/Bytes.h"
#include "ragwort/base/Time.h"
#include "ragwort/http/HttpTypes.h"
#include "ragwort/transport/Asio.h"
#include <absl/status/status.h>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace ragwort::http {

/// Limits that keep callers from exhausting the process's resources.
struct ServerLimits {
  uint64_t MaxBodyBytes = MiB;
  uint32_t MaxHeaderBytes = 16 * KiB;
  uint32_t MaxConnections = 4096;
  Duration IdleTimeout = std::chrono::seconds(60);
  Duration WriteTimeout = std::chrono::seconds(30);
};

/// One request and its response. Used on the connection's strand.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual const Request &request() const = 0;
  virtual asio::any_io_executor executor() = 0;

  /// Sends a complete response. \returns false when the connection is lost.
  virtual asio::awaitable<bool> respond(Response R) = 0;
  /// Sends the head of a response whose body follows in chunks.
  virtual asio::awaitable<bool> startStream(ResponseHead Head) = 0;
  virtual asio::awaitable<bool> writeChunk(std::string_view Data) = 0;
  /// Ends the stream. Without it the caller sees a truncated body.
  virtual asio::awaitable<bool> finishStream() = 0;
};

/// Answers one request. Must respond or finish a stream; otherwise the
/// connection is closed.
using Handler = std::function<asio::awaitable<void>(Exchange &)>;

struct ServerState;

/// Listens and runs one coroutine per connection.
///
/// \code
///   Server S(Io, [](Exchange &X) -> asio::awaitable<void> {
///     Response R = makeResponse(200, "text/plain", "hello");
///     co_await X.respond(std::move(R));
///   }, ServerLimits());
///   absl::Status Listening = S.listen({"127.0.0.1", 0});
/// \endcode
class Server {
public:
  Server(asio::io_context &Io, Handler OnRequest, ServerLimits Limits);
  ~Server();

  absl::Status listen(const Address &Local);
  uint16_t port() const;

  /// Stops accepting. Each later response closes its connection, so that
  /// callers reconnect to another server; idle connections stay open until
  /// closeIdle().
  void stopAccepting();
  /// Closes the connections that wait for a request.
  void closeIdle();
  /// Requests whose response is not finished.
  size_t activeRequests() const;
  size_t connections() const;
  /// Requests that were rejected as malformed.
  uint64_t malformed() const;

private:
  std::shared_ptr<ServerState> State;
};

} // namespace ragwort::http

#endif
