//===- BackendPool.cpp - Idle connections to backend servers --------------===//
#include "ragwort/gateway/BackendPool.h"
#include "ragwort/observe/Log.h"
#include <algorithm>

namespace ragwort::gateway {

namespace {

// Maximum idle time of a connection whose server did not state a keep-alive
// timeout.
constexpr Duration DefaultKeepAlive = std::chrono::milliseconds(900);
// Subtracted from the server's keep-alive timeout, so that a request arrives
// before the server closes the connection; covers the network delay and the
// server's rounding of the timeout.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(400);

} // namespace

class BackendPool::IdleConnection final : public SocketHandler {
public:
  IdleConnection(BackendPool &Owner, std::string Id,
                 std::shared_ptr<StreamSocket> Socket, Duration KeepAlive,
                 TimePoint Now)
      : Id(std::move(Id)), Socket(std::move(Socket)), IdleSince(Now),
        ExpiresAt(Now +
                  (KeepAlive.count() > 0
                       ? std::max(KeepAlive - KeepAliveMargin, KeepAlive / 2)
                       : DefaultKeepAlive)),
        Owner(Owner) {
    this->Socket->setHandler(this);
  }
  ~IdleConnection() override {
    if (Socket)
      Socket->close();
  }

  std::shared_ptr<StreamSocket> release() {
    Socket->setHandler(nullptr);
    return std::move(Socket);
  }
  // Data received while no request is pending belongs to no request.
  void onBytes(std::string_view Bytes) override {
    logEvent(LogLevel::Info, "unexpected-bytes",
             {{"instance", Id}, {"bytes", Bytes.size()}});
    Owner.drop(this);
  }
  void onEnd(SocketEnd) override { Owner.drop(this); }

  const std::string Id;
  std::shared_ptr<StreamSocket> Socket;
  const TimePoint IdleSince;
  const TimePoint ExpiresAt;

private:
  BackendPool &Owner;
};

BackendPool::BackendPool() = default;
BackendPool::~BackendPool() = default;

void BackendPool::drop(IdleConnection *Connection) {
  auto Found = ByInstance.find(Connection->Id);
  if (Found == ByInstance.end())
    return;
  std::erase_if(Found->second, [Connection](const auto &Item) {
    return Item.get() == Connection;
  });
}

std::shared_ptr<StreamSocket>
BackendPool::take(std::string_view Id, TimePoint Now, Duration MaxIdle) {
  auto Found = ByInstance.find(Id);
  if (Found == ByInstance.end())
    return nullptr;
  Connections &List = Found->second;
  // The most recently used connection is the most likely to be open still.
  while (!List.empty()) {
    IdleConnection &Last = *List.back();
    if (Now >= Last.ExpiresAt) {
      List.pop_back();
      continue;
    }
    if (Now - Last.IdleSince > MaxIdle)
      return nullptr;
    std::shared_ptr<StreamSocket> Socket = Last.release();
    List.pop_back();
    return Socket;
  }
  return nullptr;
}

void BackendPool::keep(std::string Id, std::shared_ptr<StreamSocket> Socket,
                       Duration KeepAlive, TimePoint Now) {
  Connections &List = ByInstance[Id];
  if (List.size() >= MaxIdlePerInstance) {
    Socket->close();
    return;
  }
  List.push_back(std::make_unique<IdleConnection>(
      *this, std::move(Id), std::move(Socket), KeepAlive, Now));
}

void BackendPool::closeAll() { ByInstance.clear(); }

void BackendPool::closeAll(std::string_view Id) {
  auto Found = ByInstance.find(Id);
  if (Found != ByInstance.end())
    ByInstance.erase(Found);
}

void BackendPool::expire(TimePoint Now) {
  for (auto &[Id, List] : ByInstance)
    std::erase_if(List,
                  [Now](const auto &Item) { return Now >= Item->ExpiresAt; });
  std::erase_if(ByInstance,
                [](const auto &Item) { return Item.second.empty(); });
}

size_t BackendPool::size() const {
  size_t Total = 0;
  for (const auto &[Id, List] : ByInstance)
    Total += List.size();
  return Total;
}

} // namespace ragwort::gateway
