//===- FrameConnection.cpp - Reading and writing of frames ----------------===//
#include "ragwort/transport/FrameConnection.h"
#include <boost/asio/read.hpp>

namespace ragwort {

namespace {

constexpr size_t ReadBytes = 64 * KiB;
constexpr size_t MaxOutbox = 65'536; // messages
constexpr size_t NonceBytes = 16;

absl::Status ioError(const char *Action, const error_code &Error) {
  return absl::UnavailableError(std::string(Action) + ": " + Error.message());
}

} // namespace

FrameConnection::FrameConnection(asio::ip::tcp::socket Socket,
                                 const wire::Keyring &Keys,
                                 wire::Direction Self)
    : Socket(std::move(Socket)), Codec(Keys, Self), Self(Self) {
  error_code Ignored;
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
}

asio::awaitable<absl::Status>
FrameConnection::sendHello(const wire::Hello &Hello) {
  absl::StatusOr<std::string> Bytes = Codec.encode(Hello);
  if (!Bytes.ok())
    co_return Bytes.status();
  error_code Error;
  co_await asio::async_write(Socket, asio::buffer(*Bytes),
                             asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return ioError("write hello", Error);
  co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<std::string>> FrameConnection::readFrame() {
  std::string Bytes(wire::LengthBytes, '\0');
  error_code Error;
  co_await asio::async_read(Socket, asio::buffer(Bytes),
                            asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return ioError("read hello", Error);
  absl::StatusOr<size_t> Length = wire::parseFrameLength(Bytes);
  // A hello is small; a larger first frame comes from another kind of client.
  if (!Length.ok() || *Length > wire::MaxTextBytes)
    co_return absl::InvalidArgumentError("first frame is no hello");
  Bytes.resize(*Length);
  co_await asio::async_read(Socket, asio::buffer(Bytes),
                            asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return ioError("read hello", Error);
  co_return Bytes;
}

asio::awaitable<absl::StatusOr<wire::Hello>> FrameConnection::receiveHello() {
  absl::StatusOr<std::string> Frame = co_await readFrame();
  if (!Frame.ok())
    co_return Frame.status();
  absl::StatusOr<wire::Message> M = Codec.decode(*Frame);
  if (!M.ok())
    co_return M.status();
  auto *Hello = std::get_if<wire::Hello>(&*M);
  if (!Hello)
    co_return absl::InvalidArgumentError("first frame is no hello");
  if (Hello->Protocol != wire::ProtocolVersion)
    co_return absl::FailedPreconditionError(
        "peer speaks protocol " + std::to_string(Hello->Protocol) +
        ", expected " + std::to_string(wire::ProtocolVersion));
  co_return std::move(*Hello);
}

std::shared_ptr<asio::steady_timer>
FrameConnection::closeAfter(Duration Timeout) {
  auto Timer =
      std::make_shared<asio::steady_timer>(Socket.get_executor(), Timeout);
  Timer->async_wait([Connection = shared_from_this()](const error_code &Error) {
    if (!Error)
      Connection->close();
  });
  return Timer;
}

asio::awaitable<absl::StatusOr<wire::Hello>>
FrameConnection::handshake(wire::Hello Own, Duration Timeout) {
  auto KeepAlive = shared_from_this();
  auto Timer = closeAfter(Timeout);
  absl::StatusOr<wire::Hello> Peer = co_await exchangeHellos(std::move(Own));
  Timer->cancel();
  if (!Peer.ok())
    close();
  co_return Peer;
}

asio::awaitable<absl::StatusOr<wire::Hello>>
FrameConnection::dial(Address Peer, wire::Hello Own, Duration Timeout) {
  auto KeepAlive = shared_from_this();
  auto Timer = closeAfter(Timeout);
  error_code Error;
  co_await Socket.async_connect(
      endpointOf<asio::ip::tcp>(Peer),
      asio::redirect_error(asio::use_awaitable, Error));
  if (Error) {
    Timer->cancel();
    co_return ioError(("connect to " + toString(Peer)).c_str(), Error);
  }
  Socket.set_option(asio::ip::tcp::no_delay(true), Error);
  absl::StatusOr<wire::Hello> Hello = co_await exchangeHellos(std::move(Own));
  Timer->cancel();
  if (!Hello.ok())
    close();
  co_return Hello;
}

asio::awaitable<absl::StatusOr<wire::Hello>>
FrameConnection::exchangeHellos(wire::Hello Own) {
  Own.Nonce = wire::randomBytes(NonceBytes);
  bool IsClient = Self == wire::Direction::FromClient;
  if (IsClient) {
    absl::Status Sent = co_await sendHello(Own);
    if (!Sent.ok())
      co_return Sent;
  }
  absl::StatusOr<wire::Hello> Peer = co_await receiveHello();
  if (!Peer.ok())
    co_return Peer;
  if (!IsClient) {
    absl::Status Sent = co_await sendHello(Own);
    if (!Sent.ok())
      co_return Sent;
  }
  Codec.startSession(IsClient ? Own.Nonce : Peer->Nonce,
                     IsClient ? Peer->Nonce : Own.Nonce);
  co_return Peer;
}

void FrameConnection::start(MessageHandler NewOnMessage,
                            CloseHandler NewOnClose) {
  OnMessage = std::move(NewOnMessage);
  OnClose = std::move(NewOnClose);
  asio::co_spawn(
      Socket.get_executor(),
      [Self = shared_from_this()] { return Self->readLoop(); }, asio::detached);
}

void FrameConnection::send(wire::Message M) {
  {
    std::lock_guard Lock(Mutex);
    if (IsClosed)
      return;
    if (Outbox.size() < MaxOutbox) {
      Outbox.push_back(std::move(M));
      if (IsWriting)
        return;
      IsWriting = true;
    }
  }
  scheduleWrite();
}

void FrameConnection::scheduleWrite() {
  asio::co_spawn(
      Socket.get_executor(),
      [Self = shared_from_this()] { return Self->writeLoop(); },
      asio::detached);
}

void FrameConnection::close() {
  {
    std::lock_guard Lock(Mutex);
    IsClosed = true;
  }
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    error_code Ignored;
    Self->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Self->Socket.close(Ignored);
  });
}

asio::awaitable<void> FrameConnection::writeLoop() {
  std::vector<wire::Message> Batch;
  std::string Bytes;
  for (;;) {
    {
      std::lock_guard Lock(Mutex);
      if (Outbox.empty() || IsClosed) {
        IsWriting = false;
        co_return;
      }
      Batch.swap(Outbox);
    }
    Bytes.clear();
    for (const wire::Message &M : Batch) {
      absl::StatusOr<std::string> Frame = Codec.encode(M);
      // Senders check the bounds. If a message is oversized all the same, the
      // connection is closed, so that no stream waits for a dropped message.
      if (!Frame.ok()) {
        close();
        co_return;
      }
      Bytes += *Frame;
    }
    Batch.clear();
    error_code Error;
    co_await asio::async_write(
        Socket, asio::buffer(Bytes),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error) {
      close();
      co_return;
    }
  }
}

absl::Status FrameConnection::dispatchFrames() {
  for (;;) {
    std::string_view Remaining = std::string_view(Input).substr(InputRead);
    if (Remaining.size() < wire::LengthBytes)
      break;
    absl::StatusOr<size_t> Length =
        wire::parseFrameLength(Remaining.substr(0, wire::LengthBytes));
    if (!Length.ok())
      return Length.status();
    if (Remaining.size() < wire::LengthBytes + *Length)
      break;
    absl::StatusOr<wire::Message> M =
        Codec.decode(Remaining.substr(wire::LengthBytes, *Length));
    if (!M.ok())
      return M.status();
    InputRead += wire::LengthBytes + *Length;
    OnMessage(std::move(*M));
  }
  Input.erase(0, InputRead);
  InputRead = 0;
  return absl::OkStatus();
}

asio::awaitable<void> FrameConnection::readLoop() {
  absl::Status Reason;
  while (Reason.ok()) {
    size_t Old = Input.size();
    Input.resize(Old + ReadBytes);
    error_code Error;
    size_t Count = co_await Socket.async_read_some(
        asio::buffer(Input.data() + Old, ReadBytes),
        asio::redirect_error(asio::use_awaitable, Error));
    Input.resize(Old + Count);
    Reason = Error ? ioError("read", Error) : dispatchFrames();
  }
  finish(Reason);
}

void FrameConnection::finish(const absl::Status &Reason) {
  if (IsFinished)
    return;
  IsFinished = true;
  close();
  CloseHandler Handler = std::move(OnClose);
  OnMessage = nullptr;
  OnClose = nullptr;
  if (Handler)
    Handler(Reason);
}

} // namespace ragwort
