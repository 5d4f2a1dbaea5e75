//===- StreamSocket.cpp - Buffered TCP connection for one event loop ------===//
#include "ragwort/gateway/StreamSocket.h"
#include "ragwort/base/Bytes.h"
#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace ragwort::gateway {

namespace {

// TCP keep-alive detects a peer that disappeared without a reset within about
// three seconds. Detection faster than the time that callers wait for a
// stream's next event would cost many packets; much slower detection would
// leave dead connections in the pools.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

constexpr size_t ReadBytes = 64 * KiB;
// What a connection takes besides its buffers.
constexpr size_t ConnectionBytes = 1 * KiB;
// What the system may hold of a connection that is not read.
constexpr size_t ReceiveBufferBytes = 64 * KiB;

template <int Level, int Name>
using IntOption = asio::detail::socket_option::integer<Level, Name>;

void setOptions(asio::ip::tcp::socket &Socket, Duration UnsentTimeout) {
  error_code Error; // Ignored: the connection works without these options.
  Socket.non_blocking(true, Error);
  Socket.set_option(asio::ip::tcp::no_delay(true), Error);
  Socket.set_option(asio::socket_base::keep_alive(true), Error);
  Socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveIdleSeconds),
                    Error);
  Socket.set_option(
      IntOption<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveIntervalSeconds), Error);
  Socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes),
                    Error);
  Socket.set_option(IntOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                        static_cast<int>(UnsentTimeout.count() / 1000)),
                    Error);
}

bool isTimeout(const error_code &Error) {
  return Error == asio::error::timed_out ||
         Error == asio::error::host_unreachable ||
         Error == asio::error::network_unreachable;
}

} // namespace

void StreamSocket::connect(const asio::ip::tcp::endpoint &To,
                           Duration Timeout) {
  State = Stage::Connecting;
  error_code Error;
  Socket.open(To.protocol(), Error);
  if (Error) {
    asio::post(Socket.get_executor(),
               [Self = shared_from_this()] { Self->end(SocketEnd::Broken); });
    return;
  }
  ConnectTimer.expires_after(Timeout);
  ConnectTimer.async_wait([Self = shared_from_this()](error_code Failed) {
    if (Failed || Self->State != Stage::Connecting)
      return;
    Self->HasTimedOut = true;
    Self->end(SocketEnd::Broken);
  });
  Socket.async_connect(To, [Self = shared_from_this()](error_code Failed) {
    if (Self->State != Stage::Connecting)
      return;
    Self->ConnectTimer.cancel();
    if (Failed) {
      Self->HasTimedOut = isTimeout(Failed);
      Self->end(SocketEnd::Broken);
      return;
    }
    Self->open();
    if (Self->Handler)
      Self->Handler->onConnected();
  });
}

void StreamSocket::adopt(asio::ip::tcp::socket Accepted) {
  Socket = std::move(Accepted);
  open();
}

void StreamSocket::open() {
  State = Stage::Open;
  setOptions(Socket, UnsentTimeout);
  waitReadable();
}

void StreamSocket::waitReadable() {
  if (IsReadWaiting || IsPaused || State != Stage::Open)
    return;
  IsReadWaiting = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](error_code Error) {
                      Self->IsReadWaiting = false;
                      if (!Error)
                        Self->onReadable();
                    });
}

void StreamSocket::onReadable() {
  if (State != Stage::Open || IsPaused)
    return;
  // Safe to share, since the event loop has one thread and the handler consumes
  // the bytes before the next read.
  static thread_local std::array<char, ReadBytes> Shared;
  error_code Error;
  size_t Count = Socket.read_some(asio::buffer(Shared), Error);
  if (Error == asio::error::would_block || Error == asio::error::try_again) {
    waitReadable();
    return;
  }
  if (Error) {
    HasTimedOut = isTimeout(Error);
    end(Error == asio::error::eof ? SocketEnd::Closed : SocketEnd::Broken);
    return;
  }
  auto Self = shared_from_this();
  if (Handler && !IsDiscarding)
    Handler->onBytes(std::string_view(Shared.data(), Count));
  waitReadable();
}

void StreamSocket::setCharge(dispatch::MemoryCharge NewCharge) {
  Charge = std::move(NewCharge);
  updateCharge();
}

void StreamSocket::updateCharge() {
  Charge.set(State == Stage::Closed ? 0
                                    : ConnectionBytes + Out.capacity() +
                                          (IsPaused ? ReceiveBufferBytes : 0));
}

void StreamSocket::pauseReading() {
  IsPaused = true;
  updateCharge();
}

void StreamSocket::resumeReading() {
  if (std::exchange(IsPaused, false))
    updateCharge();
  waitReadable();
}

void StreamSocket::write(std::string_view Bytes) {
  if (State != Stage::Open)
    return;
  if (unsent() > 0) {
    Out += Bytes;
    updateCharge();
    return;
  }
  error_code Error;
  size_t Taken =
      Socket.write_some(asio::buffer(Bytes.data(), Bytes.size()), Error);
  if (Error && Error != asio::error::would_block) {
    // Drops the bytes. The pending read reports the error, after any bytes that
    // arrived before it.
    Taken = Bytes.size();
  }
  Written += Taken;
  if (Taken == Bytes.size())
    return;
  Out.assign(Bytes.substr(Taken));
  OutTaken = 0;
  updateCharge();
  waitWritable();
}

void StreamSocket::waitWritable() {
  if (IsWriteWaiting || State != Stage::Open)
    return;
  IsWriteWaiting = true;
  Socket.async_wait(asio::ip::tcp::socket::wait_write,
                    [Self = shared_from_this()](error_code Error) {
                      Self->IsWriteWaiting = false;
                      if (!Error)
                        Self->flush();
                    });
}

void StreamSocket::flush() {
  if (State != Stage::Open)
    return;
  error_code Error;
  size_t Taken =
      Socket.write_some(asio::buffer(Out.data() + OutTaken, unsent()), Error);
  OutTaken += Taken;
  Written += Taken;
  if (Error && Error != asio::error::would_block) {
    end(SocketEnd::Broken);
    return;
  }
  if (unsent() > 0) {
    // A reader that is slow but never stops would otherwise keep all of its
    // answer here.
    if (OutTaken >= unsent()) {
      Out = Out.substr(OutTaken);
      OutTaken = 0;
      updateCharge();
    }
    waitWritable();
    return;
  }
  Out = std::string();
  OutTaken = 0;
  updateCharge();
  if (ClosesAfterWrite) {
    finishWriting();
    return;
  }
  if (Handler)
    Handler->onDrained();
}

void StreamSocket::close() {
  Handler = nullptr;
  if (State == Stage::Closed)
    return;
  State = Stage::Closed;
  ConnectTimer.cancel();
  error_code Error; // Ignored: the socket is no longer used.
  Socket.close(Error);
  Out = std::string();
  OutTaken = 0;
  updateCharge();
}

void StreamSocket::abort() {
  error_code Error; // Ignored: the socket is closed in any case.
  if (State != Stage::Closed)
    Socket.set_option(asio::socket_base::linger(true, 0), Error);
  close();
}

void StreamSocket::closeAfterWrite() {
  Handler = nullptr;
  ClosesAfterWrite = true;
  if (unsent() == 0)
    finishWriting();
}

void StreamSocket::closeAfterReading(Duration Timeout) {
  IsDiscarding = true;
  ConnectTimer.expires_after(Timeout);
  ConnectTimer.async_wait([Self = shared_from_this()](error_code Stopped) {
    if (!Stopped)
      Self->close();
  });
  closeAfterWrite();
  if (State == Stage::Open)
    resumeReading();
}

void StreamSocket::finishWriting() {
  if (!IsDiscarding) {
    close();
    return;
  }
  error_code Error; // Ignored: the timer closes the connection in any case.
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Error);
}

void StreamSocket::end(SocketEnd How) {
  SocketHandler *Last = Handler;
  auto Self = shared_from_this();
  close();
  if (Last)
    Last->onEnd(How);
}

} // namespace ragwort::gateway
