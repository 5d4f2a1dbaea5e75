//===- PeerChannel.cpp - Streams over one connection ----------------------===//
#include "ragwort/transport/PeerChannel.h"

namespace ragwort {

namespace {

using namespace std::chrono_literals;
constexpr Duration DialPollInterval = 1ms;

} // namespace

PeerChannel::PeerChannel(asio::io_context &Io, Address Peer, std::string Name,
                         const wire::Keyring &Keys, wire::Hello Self)
    : Io(Io), Peer(std::move(Peer)), Name(std::move(Name)), Keys(Keys),
      Self(std::move(Self)) {}

asio::awaitable<absl::StatusOr<wire::Hello>>
PeerChannel::connect(Duration Timeout) {
  auto Deadline = std::chrono::steady_clock::now() + Timeout;
  for (;;) {
    bool IsOurTurn = false;
    {
      std::lock_guard Lock(Mutex);
      if (Connection)
        co_return PeerHello;
      if (!IsDialing)
        IsOurTurn = IsDialing = true;
    }
    if (IsOurTurn)
      co_return co_await dial(Timeout);
    if (std::chrono::steady_clock::now() >= Deadline)
      co_return absl::UnavailableError("no connection to " + Name);
    co_await sleepFor(DialPollInterval);
  }
}

asio::awaitable<absl::StatusOr<wire::Hello>>
PeerChannel::dial(Duration Timeout) {
  auto KeepAlive = shared_from_this();
  auto NewConnection = std::make_shared<FrameConnection>(
      asio::ip::tcp::socket(asio::make_strand(Io)), Keys,
      wire::Direction::FromClient);
  absl::StatusOr<wire::Hello> Hello = co_await asio::co_spawn(
      NewConnection->executor(), NewConnection->dial(Peer, Self, Timeout),
      asio::use_awaitable);
  if (Hello.ok() && !Name.empty() && Hello->Node != Name) {
    Hello = absl::FailedPreconditionError("expected node " + Name + ", found " +
                                          Hello->Node);
    NewConnection->close();
  }
  std::lock_guard Lock(Mutex);
  IsDialing = false;
  if (!Hello.ok())
    co_return Hello;
  Connection = NewConnection;
  PeerHello = *Hello;
  NewConnection->start(
      [KeepAlive](wire::Message &&M) { KeepAlive->onMessage(std::move(M)); },
      [KeepAlive, NewConnection](const absl::Status &) {
        KeepAlive->onClose(NewConnection);
      });
  co_return Hello;
}

uint64_t PeerChannel::open(std::shared_ptr<StreamBox> Box) {
  std::lock_guard Lock(Mutex);
  uint64_t Stream = NextStream++;
  Streams.emplace(Stream, std::move(Box));
  return Stream;
}

void PeerChannel::closeStream(uint64_t Stream) {
  std::lock_guard Lock(Mutex);
  Streams.erase(Stream);
}

bool PeerChannel::send(wire::Message M) {
  std::shared_ptr<FrameConnection> Current;
  {
    std::lock_guard Lock(Mutex);
    Current = Connection;
  }
  if (!Current)
    return false;
  Current->send(std::move(M));
  return true;
}

bool PeerChannel::isConnected() const {
  std::lock_guard Lock(Mutex);
  return Connection != nullptr;
}

size_t PeerChannel::openStreams() const {
  std::lock_guard Lock(Mutex);
  return Streams.size();
}

void PeerChannel::close() {
  std::shared_ptr<FrameConnection> Current;
  {
    std::lock_guard Lock(Mutex);
    Current = Connection;
  }
  if (Current)
    Current->close();
}

void PeerChannel::onMessage(wire::Message &&M) {
  uint64_t Stream = wire::streamOf(M);
  std::shared_ptr<StreamBox> Box;
  {
    std::lock_guard Lock(Mutex);
    auto Found = Streams.find(Stream);
    if (Found != Streams.end())
      Box = Found->second;
  }
  // A message for a stream that has been closed is dropped here, so a late
  // answer never reaches another caller.
  if (Box && !Box->push(std::move(M)))
    Box->close();
}

void PeerChannel::onClose(const std::shared_ptr<FrameConnection> &Closed) {
  std::unordered_map<uint64_t, std::shared_ptr<StreamBox>> Lost;
  {
    std::lock_guard Lock(Mutex);
    if (Connection != Closed)
      return;
    Connection.reset();
    Lost.swap(Streams);
  }
  for (auto &[Stream, Box] : Lost)
    Box->close();
}

} // namespace ragwort
