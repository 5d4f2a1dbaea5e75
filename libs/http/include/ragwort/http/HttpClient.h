//===- HttpClient.h - HTTP/1.1 client connection --------------------------===//
//
// One connection with explicit steps, so that its user knows whether a byte of
// a request may have left: before send() nothing has, after it anything may.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_HTTP_HTTPCLIENT_H
#define RAGWORT_HTTP_HTTPCLIENT_H

#include "ragwort/base/Bytes.h"
#include "ragwort/base/Time.h"
#include "ragwort/http/HttpTypes.h"
#include "ragwort/transport/Asio.h"
#include <absl/status/statusor.h>
#include <memory>
#include <optional>

namespace ragwort::http {

/// A connection to one server. Used on one strand.
///
/// \code
///   ClientConnection C(Executor, {"127.0.0.1", 8080});
///   absl::StatusOr<Response> R = co_await C.exchange(Req, Timeout);
/// \endcode
class ClientConnection {
public:
  ClientConnection(asio::any_io_executor Executor, Address Server);
  ~ClientConnection();

  /// Connects unless a reusable connection is open.
  asio::awaitable<absl::Status> connect(Duration Timeout);
  /// Opens a new connection even if one is open.
  asio::awaitable<absl::Status> reconnect(Duration Timeout);

  /// Sends a whole request; an error means that parts may have left.
  asio::awaitable<absl::Status> send(const Request &R, Duration Timeout);
  asio::awaitable<absl::StatusOr<ResponseHead>> receiveHead(Duration Timeout);
  /// send() and receiveHead().
  asio::awaitable<absl::StatusOr<ResponseHead>> sendForHead(const Request &R,
                                                            Duration Timeout);
  /// The next piece of the body, or nothing at its end. An end that the server
  /// did not mark (by length or last chunk) is an error: the body may be cut.
  asio::awaitable<absl::StatusOr<std::optional<std::string>>>
  receiveChunk(Duration Timeout);

  /// connect(), send() and the whole response, bounded by \p MaxBody bytes.
  asio::awaitable<absl::StatusOr<Response>>
  exchange(const Request &R, Duration Timeout, size_t MaxBody = 16 * MiB);

  /// Closes at once, from the connection's strand.
  void close();

private:
  bool isStale();

  struct Impl;
  std::unique_ptr<Impl> State;
};

/// One request on a connection of its own.
asio::awaitable<absl::StatusOr<Response>> fetch(Address Server, Request R,
                                                Duration Timeout);

} // namespace ragwort::http

#endif
