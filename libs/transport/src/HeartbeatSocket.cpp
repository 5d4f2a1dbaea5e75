//===- HeartbeatSocket.cpp - UDP send and receive -------------------------===//
#include "ragwort/transport/HeartbeatSocket.h"

namespace ragwort {

HeartbeatSocket::HeartbeatSocket(asio::io_context &Io,
                                 const wire::Keyring &Keys, Handler OnHeartbeat)
    : Strand(asio::make_strand(Io)), Socket(Strand), Codec(Keys),
      OnHeartbeat(std::move(OnHeartbeat)) {}

absl::Status HeartbeatSocket::listen(const Address &Local) {
  auto Endpoint = endpointOf<asio::ip::udp>(Local);
  error_code Error;
  Socket.open(Endpoint.protocol(), Error);
  if (!Error)
    Socket.bind(Endpoint, Error);
  if (!Error)
    Socket.non_blocking(true, Error);
  if (Error)
    return absl::UnavailableError("cannot bind UDP " + toString(Local) + ": " +
                                  Error.message());
  asio::co_spawn(Strand, receiveLoop(), asio::detached);
  return absl::OkStatus();
}

void HeartbeatSocket::send(wire::Heartbeat Beat, const Address &To) {
  asio::post(Strand, [this, Beat = std::move(Beat), To] {
    absl::StatusOr<std::string> Bytes = Codec.encode(Beat);
    if (!Bytes.ok())
      return;
    error_code Error;
    Socket.send_to(asio::buffer(*Bytes), endpointOf<asio::ip::udp>(To), 0,
                   Error);
    if (!Error)
      SentBytes += Bytes->size();
  });
}

void HeartbeatSocket::close() {
  asio::post(Strand, [this] {
    error_code Ignored;
    Socket.close(Ignored);
  });
}

asio::awaitable<void> HeartbeatSocket::receiveLoop() {
  while (Socket.is_open()) {
    asio::ip::udp::endpoint From;
    error_code Error;
    size_t Count = co_await Socket.async_receive_from(
        asio::buffer(Buffer), From,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    // Errors of earlier sends (port unreachable) surface here; go on.
    if (Error)
      continue;
    ReceivedBytes += Count;
    absl::StatusOr<wire::Heartbeat> Beat =
        Codec.decode(std::string_view(Buffer.data(), Count));
    if (Beat.ok())
      OnHeartbeat(*Beat, addressOf(From));
    else
      ++Dropped;
  }
}

} // namespace ragwort
