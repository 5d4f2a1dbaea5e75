//===- FrameServer.h - Accepts connections from other processes -----------===//
//
// Accepts connections, does the handshake and passes them to their owner. A
// wrong key or malformed data ends the connection and is counted.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_FRAMESERVER_H
#define RAGWORT_TRANSPORT_FRAMESERVER_H

#include "ragwort/transport/FrameConnection.h"
#include <set>

namespace ragwort {

/// \code
///   FrameServer Server(Io, Keys, Self, OnConnection);
///   absl::Status Listening = Server.listen({"127.0.0.1", 0});
/// \endcode
class FrameServer {
public:
  /// Receives each connection after its handshake; calls start() on it.
  using ConnectionHandler = std::function<void(std::shared_ptr<FrameConnection>,
                                               const wire::Hello &Peer)>;

  FrameServer(asio::io_context &Io, const wire::Keyring &Keys, wire::Hello Self,
              ConnectionHandler OnConnection);

  /// Binds and starts to accept connections.
  absl::Status listen(const Address &Local);
  /// The bound port, once listening.
  uint16_t port() const { return BoundPort; }
  void close();
  /// Connections that failed their handshake.
  uint64_t rejected() const { return Rejected.load(); }

private:
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> acceptHandshake(asio::ip::tcp::socket Socket);

  asio::io_context &Io;
  const wire::Keyring Keys;
  const wire::Hello Self;
  const ConnectionHandler OnConnection;
  asio::ip::tcp::acceptor Acceptor;
  uint16_t BoundPort = 0;
  std::atomic<uint64_t> Rejected = 0;
  // Limited, so that peers without a key cannot keep many connections open.
  std::atomic<int> PendingHandshakes = 0;
};

} // namespace ragwort

#endif
