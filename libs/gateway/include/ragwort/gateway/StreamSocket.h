//===- StreamSocket.h - Buffered TCP connection for one event loop --------===//
//
// The byte transport of both sides of the gateway. Reads when the socket is
// readable into a buffer shared by the loop, so that an idle connection holds
// no buffer, and writes at once what the kernel takes.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_STREAMSOCKET_H
#define RAGWORT_GATEWAY_STREAMSOCKET_H

#include "ragwort/base/Time.h"
#include "ragwort/transport/Asio.h"
#include <memory>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// How a connection ended.
enum class SocketEnd : uint8_t {
  /// The peer closed in order, behind its last byte.
  Closed,
  /// A reset, a time-out, or a failed connect: bytes may be missing.
  Broken,
};

/// Receives a socket's events, on the loop's thread.
class SocketHandler {
public:
  virtual ~SocketHandler() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::string_view Bytes) = 0;
  /// The last event. The socket is closed.
  virtual void onEnd(SocketEnd End) = 0;
  /// The write buffer has drained below the low mark.
  virtual void onDrained() {}
};

/// Owned through a shared pointer, as operations in flight keep it alive. After
/// close() or release() no event is given.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
  explicit StreamSocket(asio::io_context &Io) : Socket(Io), ConnectTimer(Io) {}

  void connect(const asio::ip::tcp::endpoint &To, Duration Timeout);
  /// Takes over an accepted socket and starts reading.
  void adopt(asio::ip::tcp::socket Accepted);
  void setHandler(SocketHandler *NewHandler) { Handler = NewHandler; }

  void write(std::string_view Bytes);
  /// Bytes that the kernel has not taken yet.
  size_t unsent() const { return Out.size() - OutTaken; }
  void pauseReading() { IsPaused = true; }
  void resumeReading();

  /// Closes at once. Unsent bytes are lost.
  void close();
  /// Closes behind the unsent bytes.
  void closeAfterWrite();
  bool isOpen() const { return State == Stage::Open; }

private:
  enum class Stage : uint8_t { New, Connecting, Open, Closed };

  void open();
  void waitReadable();
  void onReadable();
  void waitWritable();
  void flush();
  void end(SocketEnd How);

  asio::ip::tcp::socket Socket;
  asio::steady_timer ConnectTimer;
  SocketHandler *Handler = nullptr;
  std::string Out;
  // Invariant: OutTaken <= Out.size().
  size_t OutTaken = 0;
  Stage State = Stage::New;
  bool IsPaused = false;
  bool IsReadWaiting = false;
  bool IsWriteWaiting = false;
  bool ClosesAfterWrite = false;
};

} // namespace ragwort::gateway

#endif
