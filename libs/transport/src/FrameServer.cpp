//===- FrameServer.cpp - Accept loop for frames ---------------------------===//
#include "ragwort/transport/FrameServer.h"
#include "ragwort/transport/Listen.h"

namespace ragwort {

namespace {

using namespace std::chrono_literals;

constexpr Duration HandshakeTimeout = 5s;
constexpr Duration AcceptRetryDelay = 50ms;
constexpr int MaxPendingHandshakes = 256; // connections

} // namespace

FrameServer::FrameServer(asio::io_context &Io, const wire::Keyring &Keys,
                         wire::Hello Self, ConnectionHandler OnConnection)
    : Io(Io), Keys(Keys), Self(std::move(Self)),
      OnConnection(std::move(OnConnection)), Acceptor(asio::make_strand(Io)) {}

absl::Status FrameServer::listen(const Address &Local) {
  absl::Status Listening = listenOn(Acceptor, Local);
  if (!Listening.ok())
    return Listening;
  BoundPort = Acceptor.local_endpoint().port();
  asio::co_spawn(Acceptor.get_executor(), acceptLoop(), asio::detached);
  return absl::OkStatus();
}

void FrameServer::close() {
  asio::post(Acceptor.get_executor(), [this] {
    error_code Ignored;
    Acceptor.close(Ignored);
  });
}

asio::awaitable<void> FrameServer::acceptLoop() {
  while (Acceptor.is_open()) {
    error_code Error;
    asio::ip::tcp::socket Socket = co_await Acceptor.async_accept(
        asio::make_strand(Io),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      // Out of file descriptors, or the peer has disconnected already: retry.
      co_await sleepFor(AcceptRetryDelay);
      continue;
    }
    if (PendingHandshakes.load() >= MaxPendingHandshakes) {
      ++Rejected;
      continue;
    }
    auto Executor = Socket.get_executor();
    asio::co_spawn(Executor, acceptHandshake(std::move(Socket)),
                   asio::detached);
  }
}

asio::awaitable<void>
FrameServer::acceptHandshake(asio::ip::tcp::socket Socket) {
  ++PendingHandshakes;
  auto Connection = std::make_shared<FrameConnection>(
      std::move(Socket), Keys, wire::Direction::FromServer);
  absl::StatusOr<wire::Hello> Peer =
      co_await Connection->handshake(Self, HandshakeTimeout);
  --PendingHandshakes;
  if (!Peer.ok()) {
    ++Rejected;
    co_return;
  }
  OnConnection(Connection, *Peer);
}

} // namespace ragwort
