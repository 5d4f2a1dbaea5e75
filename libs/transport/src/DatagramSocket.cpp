//===- DatagramSocket.cpp - Datagrams over UDP ----------------------------===//
#include "ragwort/transport/DatagramSocket.h"

namespace ragwort {

DatagramSocket::DatagramSocket(asio::any_io_executor Executor, size_t MaxBytes,
                               Handler OnDatagram)
    : Executor(Executor), Socket(Executor), OnDatagram(std::move(OnDatagram)),
      Buffer(MaxBytes + 1) {}

absl::Status DatagramSocket::open(asio::ip::udp Protocol) {
  error_code Error;
  Socket.open(Protocol, Error);
  if (!Error)
    Socket.non_blocking(true, Error);
  return Error ? absl::UnavailableError("cannot open UDP: " + Error.message())
               : absl::OkStatus();
}

absl::Status DatagramSocket::openForSending() {
  return open(asio::ip::udp::v4());
}

absl::Status DatagramSocket::listen(const Address &Local) {
  auto Endpoint = endpointOf<asio::ip::udp>(Local);
  absl::Status Opened = open(Endpoint.protocol());
  if (!Opened.ok())
    return Opened;
  error_code Error;
  Socket.bind(Endpoint, Error);
  if (Error)
    return absl::UnavailableError("cannot bind UDP " + toString(Local) + ": " +
                                  Error.message());
  asio::co_spawn(Executor, receiveLoop(), asio::detached);
  return absl::OkStatus();
}

bool DatagramSocket::send(std::string_view Bytes, const Address &To) {
  error_code Error;
  Socket.send_to(asio::buffer(Bytes), endpointOf<asio::ip::udp>(To), 0, Error);
  return !Error;
}

void DatagramSocket::close() {
  error_code Ignored; // Closing twice is harmless.
  Socket.close(Ignored);
}

asio::awaitable<void> DatagramSocket::receiveLoop() {
  while (Socket.is_open()) {
    asio::ip::udp::endpoint From;
    error_code Error;
    size_t Count = co_await Socket.async_receive_from(
        asio::buffer(Buffer), From,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    // Errors of earlier sends (port unreachable) are reported here; ignored.
    if (Error)
      continue;
    OnDatagram(std::string_view(Buffer.data(), Count), addressOf(From));
  }
}

} // namespace ragwort
