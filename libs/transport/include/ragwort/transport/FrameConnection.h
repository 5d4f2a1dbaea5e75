//===- FrameConnection.h - Authenticated frames over one TCP socket -------===//
//
// Queued frames are written in one batch, and one read may return many frames,
// so that a busy connection needs few system calls.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_FRAMECONNECTION_H
#define RAGWORT_TRANSPORT_FRAMECONNECTION_H

#include "ragwort/base/Time.h"
#include "ragwort/transport/Asio.h"
#include "ragwort/wire/Codec.h"
#include <absl/status/statusor.h>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace ragwort {

/// One connection between two processes of the system. Handlers run on the
/// connection's strand; send() and close() are safe from any thread.
///
/// \code
///   auto C = std::make_shared<FrameConnection>(std::move(Socket), Keys,
///                                              wire::Direction::FromClient);
///   absl::StatusOr<wire::Hello> Peer = co_await C->handshake(Self, Timeout);
///   C->start(OnMessage, OnClose);
///   C->send(wire::StartRequest{...});
/// \endcode
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
  using MessageHandler = std::function<void(wire::Message &&)>;
  using CloseHandler = std::function<void(const absl::Status &)>;

  /// \p Socket's executor must be a strand.
  FrameConnection(asio::ip::tcp::socket Socket, const wire::Keyring &Keys,
                  wire::Direction Self);

  /// Exchanges hellos and starts the session. \returns the peer's hello.
  asio::awaitable<absl::StatusOr<wire::Hello>> handshake(wire::Hello Self,
                                                         Duration Timeout);

  /// Connects to \p Peer and does the handshake. Runs on the connection's
  /// strand.
  asio::awaitable<absl::StatusOr<wire::Hello>>
  dial(Address Peer, wire::Hello Self, Duration Timeout);

  /// Starts reading. \p OnClose runs once, after the last message.
  void start(MessageHandler OnMessage, CloseHandler OnClose);

  /// Queues a message. Messages to a closed connection are dropped; the owner
  /// learns of the close from its close handler.
  void send(wire::Message M);

  void close();

  asio::any_io_executor executor() { return Socket.get_executor(); }

private:
  std::shared_ptr<asio::steady_timer> closeAfter(Duration Timeout);
  asio::awaitable<absl::StatusOr<wire::Hello>> exchangeHellos(wire::Hello Own);
  asio::awaitable<absl::Status> sendHello(const wire::Hello &Self);
  asio::awaitable<absl::StatusOr<wire::Hello>> receiveHello();
  asio::awaitable<absl::StatusOr<std::string>> readFrame();
  asio::awaitable<void> readLoop();
  asio::awaitable<void> writeLoop();
  absl::Status dispatchFrames();
  void finish(const absl::Status &Reason);
  void scheduleWrite();

  asio::ip::tcp::socket Socket;
  // Codec and buffers are used on the strand only.
  wire::FrameCodec Codec;
  const wire::Direction Self;
  std::string Input;
  size_t InputRead = 0;
  MessageHandler OnMessage;
  CloseHandler OnClose;
  bool IsFinished = false;

  std::mutex Mutex; // Leaf lock. Guards the three fields below.
  std::vector<wire::Message> Outbox;
  bool IsWriting = false;
  bool IsClosed = false;
};

} // namespace ragwort

#endif
