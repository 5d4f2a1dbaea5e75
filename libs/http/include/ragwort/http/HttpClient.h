//===- HttpClient.h - HTTP/1.1 client connection --------------------------===//
//
// One connection with explicit steps, so that its user knows whether the server
// may have received part of a request: never before send(), possibly after it.
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

/// Most bytes of a body that lists no nodes, servers or rows.
inline constexpr size_t MaxSmallBody = 1 * MiB;
/// Most bytes of a list of all servers or instances.
inline constexpr size_t MaxListBody = 16 * MiB;

/// A connection to one server. All calls must come from one strand. It is not
/// reused once the server has written more than it was asked for.
///
/// \code
///   ClientConnection C(Executor, {"127.0.0.1", 8080});
///   absl::StatusOr<Response> R = co_await C.exchange(Req, Timeout);
/// \endcode
class ClientConnection {
public:
  /// If requests have the header \p IdHeader, a response to one must have the
  /// same value or none; otherwise it belongs to another request.
  ClientConnection(asio::any_io_executor Executor, Address Server,
                   std::string IdHeader = "");
  ~ClientConnection();

  /// Connects unless a reusable connection is open.
  asio::awaitable<absl::Status> connect(Duration Timeout);
  /// Opens a new connection even if one is open.
  asio::awaitable<absl::Status> reconnect(Duration Timeout);

  /// Sends a complete request. After an error, parts of it may have been sent.
  asio::awaitable<absl::Status> send(const Request &R, Duration Timeout);
  asio::awaitable<absl::StatusOr<ResponseHead>> receiveHead(Duration Timeout);
  /// send() and receiveHead().
  asio::awaitable<absl::StatusOr<ResponseHead>> sendForHead(const Request &R,
                                                            Duration Timeout);
  /// The next part of the body, or nothing at its end. An end that is not
  /// marked by a length or a last chunk is an error: the body may be truncated.
  asio::awaitable<absl::StatusOr<std::optional<std::string>>>
  receiveChunk(Duration Timeout);

  /// Connects if needed, sends \p R and receives the complete response, whose
  /// body may have at most \p MaxBody bytes; all of it within \p Timeout.
  asio::awaitable<absl::StatusOr<Response>>
  exchange(const Request &R, Duration Timeout, size_t MaxBody = MaxSmallBody);

  /// Closes immediately. Call it on the connection's strand.
  void close();

private:
  bool isStale();

  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Sends one request on a new connection, as ClientConnection::exchange().
asio::awaitable<absl::StatusOr<Response>> fetch(Address Server, Request R,
                                                Duration Timeout,
                                                size_t MaxBody = MaxSmallBody);

} // namespace ragwort::http

#endif
