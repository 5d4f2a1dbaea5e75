//===- HeartbeatSocket.cpp - Authenticated heartbeats over UDP ------------===//
#include "ragwort/transport/HeartbeatSocket.h"

namespace ragwort {

HeartbeatSocket::HeartbeatSocket(asio::io_context &Io,
                                 const wire::Keyring &Keys, Handler OnHeartbeat)
    : Strand(asio::make_strand(Io)),
      Socket(Strand, wire::MaxDatagramBytes,
             [this](std::string_view Datagram, const Address &From) {
               onDatagram(Datagram, From);
             }),
      Codec(Keys), OnHeartbeat(std::move(OnHeartbeat)) {}

absl::Status HeartbeatSocket::listen(const Address &Local) {
  return Socket.listen(Local);
}

void HeartbeatSocket::send(wire::Heartbeat Heartbeat, const Address &To) {
  asio::post(Strand, [this, Heartbeat = std::move(Heartbeat), To] {
    absl::StatusOr<std::string> Bytes = Codec.encode(Heartbeat);
    if (!Bytes.ok())
      return;
    if (Socket.send(*Bytes, To))
      SentBytes += Bytes->size();
  });
}

void HeartbeatSocket::close() {
  asio::post(Strand, [this] { Socket.close(); });
}

void HeartbeatSocket::onDatagram(std::string_view Datagram,
                                 const Address &From) {
  ReceivedBytes += Datagram.size();
  absl::StatusOr<wire::Heartbeat> Heartbeat = Codec.decode(Datagram);
  if (Heartbeat.ok())
    OnHeartbeat(*Heartbeat, From);
  else
    ++Dropped;
}

} // namespace ragwort
