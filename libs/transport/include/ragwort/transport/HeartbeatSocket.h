//===- HeartbeatSocket.h - Authenticated heartbeats over UDP --------------===//
//
// Malformed datagrams and those with a wrong tag are dropped and counted.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_HEARTBEATSOCKET_H
#define RAGWORT_TRANSPORT_HEARTBEATSOCKET_H

#include "ragwort/transport/DatagramSocket.h"
#include "ragwort/wire/Codec.h"
#include <atomic>
#include <functional>

namespace ragwort {

/// \code
///   HeartbeatSocket Socket(Io, Keys, OnHeartbeat);
///   Socket.send(Heartbeat, Peer);
/// \endcode
class HeartbeatSocket {
public:
  using Handler =
      std::function<void(const wire::Heartbeat &, const Address &From)>;

  HeartbeatSocket(asio::io_context &Io, const wire::Keyring &Keys,
                  Handler OnHeartbeat);

  absl::Status listen(const Address &Local);
  /// Safe from any thread. Drops the datagram when the socket buffer is full.
  void send(wire::Heartbeat Heartbeat, const Address &To);
  void close();

  uint64_t dropped() const { return Dropped.load(); }
  uint64_t sentBytes() const { return SentBytes.load(); }
  uint64_t receivedBytes() const { return ReceivedBytes.load(); }

private:
  void onDatagram(std::string_view Datagram, const Address &From);

  asio::strand<asio::io_context::executor_type> Strand;
  DatagramSocket Socket;     // Used on the strand only.
  wire::DatagramCodec Codec; // Used on the strand only.
  const Handler OnHeartbeat;
  std::atomic<uint64_t> Dropped = 0;
  std::atomic<uint64_t> SentBytes = 0;
  std::atomic<uint64_t> ReceivedBytes = 0;
};

} // namespace ragwort

#endif
