//===- StreamSocket.h - Buffered TCP connection for one event loop --------===//
//
// The byte transport towards callers and backend servers. Waits for the socket
// to become readable and then reads into a buffer that all connections of the
// loop share, so that an idle connection holds no read buffer. Writes
// immediately what the kernel accepts and buffers the rest.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_STREAMSOCKET_H
#define RAGWORT_GATEWAY_STREAMSOCKET_H

#include "ragwort/base/Time.h"
#include "ragwort/dispatch/MemoryBudget.h"
#include "ragwort/transport/Asio.h"
#include <memory>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// How a connection ended.
enum class SocketEnd : uint8_t {
  /// The peer closed the connection after its last byte.
  Closed,
  /// A reset, a timeout, or a failed connect. Bytes may be missing.
  Broken,
};

/// Receives a socket's events on the event loop's thread.
class SocketHandler {
public:
  virtual ~SocketHandler() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::string_view Bytes) = 0;
  /// The last event. The socket is already closed.
  virtual void onEnd(SocketEnd End) = 0;
  /// The write buffer has become empty.
  virtual void onDrained() {}
};

/// Must be owned by a shared pointer, since pending operations keep it alive.
/// No event is delivered after close() or closeAfterWrite().
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
  explicit StreamSocket(asio::io_context &Io) : Socket(Io), ConnectTimer(Io) {}

  /// Connects within \p Timeout, then calls SocketHandler::onConnected(); on
  /// failure, SocketHandler::onEnd().
  void connect(const asio::ip::tcp::endpoint &To, Duration Timeout);
  /// Takes over an accepted socket and starts reading.
  void adopt(asio::ip::tcp::socket Accepted);
  void setHandler(SocketHandler *NewHandler) { Handler = NewHandler; }
  /// Charges what the connection holds to \p NewCharge.
  void setCharge(dispatch::MemoryCharge NewCharge);
  /// Time after which the connection is dropped if the peer does not accept
  /// bytes; set before it opens.
  void setUnsentTimeout(Duration Timeout) { UnsentTimeout = Timeout; }

  /// Does nothing unless the socket is open.
  void write(std::string_view Bytes);
  /// Number of bytes that the kernel has not accepted yet.
  size_t unsent() const { return Out.size() - OutTaken; }
  /// Number of bytes that the kernel has accepted.
  uint64_t written() const { return Written; }
  bool isReadingPaused() const { return IsPaused; }
  void pauseReading();
  void resumeReading();

  /// Closes immediately and discards unsent bytes.
  void close();
  /// Closes with a reset, so that bytes which the network still holds are not
  /// delivered.
  void abort();
  /// Closes once the unsent bytes are written.
  void closeAfterWrite();
  /// As closeAfterWrite(), but discards what the peer still sends, for at most
  /// \p Timeout. Closing with unread bytes would reset the connection, and the
  /// peer might lose what was written.
  void closeAfterReading(Duration Timeout);
  /// Whether the connection ended because the peer gave no sign of life.
  bool hasTimedOut() const { return HasTimedOut; }
  bool isOpen() const { return State == Stage::Open; }

private:
  enum class Stage : uint8_t { New, Connecting, Open, Closed };

  void open();
  void waitReadable();
  void onReadable();
  void waitWritable();
  void flush();
  void end(SocketEnd How);
  void updateCharge();
  void finishWriting();

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  SocketHandler *Handler = nullptr;
  std::string Out;
  // Invariant: OutTaken <= Out.size().
  size_t OutTaken = 0;
  uint64_t Written = 0;
  dispatch::MemoryCharge Charge;
  Duration UnsentTimeout = std::chrono::milliseconds(2000);
  Stage State = Stage::New;
  bool IsPaused = false;
  bool IsReadWaiting = false;
  bool IsWriteWaiting = false;
  bool ClosesAfterWrite = false;
  bool HasTimedOut = false;
  // The peer's bytes are discarded until it closes the connection.
  bool IsDiscarding = false;
};

} // namespace ragwort::gateway

#endif
