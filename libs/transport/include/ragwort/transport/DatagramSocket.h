//===- DatagramSocket.h - Datagrams over UDP ------------------------------===//
//
// Sending never blocks: when the socket buffer is full, the datagram is
// dropped, as the network may do at any time.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_DATAGRAMSOCKET_H
#define RAGWORT_TRANSPORT_DATAGRAMSOCKET_H

#include "ragwort/transport/Asio.h"
#include <absl/status/status.h>
#include <functional>
#include <string_view>
#include <vector>

namespace ragwort {

/// \code
///   DatagramSocket Socket(Io.get_executor(), 1400,
///                         [](std::string_view Bytes, const Address &From) {});
///   absl::Status Listening = Socket.listen({"127.0.0.1", 0});
///   Socket.send(Bytes, Peer);
/// \endcode
class DatagramSocket {
public:
  using Handler = std::function<void(std::string_view, const Address &From)>;

  /// A datagram of more than \p MaxBytes is truncated to MaxBytes + 1, so that
  /// the handler can tell it is too large. \p OnDatagram runs on \p Executor.
  DatagramSocket(asio::any_io_executor Executor, size_t MaxBytes,
                 Handler OnDatagram);

  absl::Status listen(const Address &Local);
  /// Opens an IPv4 socket on any port, for sending only.
  absl::Status openForSending();
  /// \returns whether the operating system accepted the datagram.
  bool send(std::string_view Bytes, const Address &To);
  void close();

private:
  absl::Status open(asio::ip::udp Protocol);
  asio::awaitable<void> receiveLoop();

  const asio::any_io_executor Executor;
  asio::ip::udp::socket Socket;
  const Handler OnDatagram;
  std::vector<char> Buffer;
};

} // namespace ragwort

#endif
