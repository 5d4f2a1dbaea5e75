//===- PeerChannel.h - Requests multiplexed to one peer -------------------===//
//
// Keeps one connection to a peer and multiplexes streams over it. A lost
// connection closes the mailbox of every open stream; the caller decides what
// that means for its request.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_PEERCHANNEL_H
#define RAGWORT_TRANSPORT_PEERCHANNEL_H

#include "ragwort/transport/FrameConnection.h"
#include "ragwort/transport/Mailbox.h"
#include <unordered_map>

namespace ragwort {

/// Messages of one stream, in the order in which the peer sent them.
using StreamBox = Mailbox<wire::Message>;

/// \code
///   auto Channel = std::make_shared<PeerChannel>(Io, Peer, "agent-1", Keys,
///                                                Self);
///   absl::StatusOr<wire::Hello> Hello = co_await Channel->connect(Timeout);
///   uint64_t Stream = Channel->open(Box);
///   Channel->send(wire::CancelRequest{Stream});
/// \endcode
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
public:
  /// \p Name is the node expected at \p Peer: an address may have moved to
  /// another node, whose hello is then rejected. Empty accepts any node.
  PeerChannel(asio::io_context &Io, Address Peer, std::string Name,
              const wire::Keyring &Keys, wire::Hello Self);

  /// Returns the peer's hello, connecting first if there is no connection.
  asio::awaitable<absl::StatusOr<wire::Hello>> connect(Duration Timeout);

  /// Registers a stream. Messages for it are pushed to \p Box.
  uint64_t open(std::shared_ptr<StreamBox> Box);
  void closeStream(uint64_t Stream);
  /// Sends on the current connection. \returns false when there is none.
  bool send(wire::Message M);

  bool isConnected() const;
  size_t openStreams() const;
  void close();

private:
  void onMessage(wire::Message &&M);
  void onClose(const std::shared_ptr<FrameConnection> &Closed);
  asio::awaitable<absl::StatusOr<wire::Hello>> dial(Duration Timeout);

  asio::io_context &Io;
  const Address Peer;
  const std::string Name;
  const wire::Keyring Keys;
  const wire::Hello Self;

  mutable std::mutex Mutex; // Leaf lock. Guards everything below.
  std::shared_ptr<FrameConnection> Connection;
  wire::Hello PeerHello;
  bool IsDialing = false;
  uint64_t NextStream = 1;
  std::unordered_map<uint64_t, std::shared_ptr<StreamBox>> Streams;
};

} // namespace ragwort

#endif
