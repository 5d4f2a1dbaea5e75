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
  IdleConnection(BackendPool &Owner, std::string Id, KeptConnection Connection,
                 Duration KeepAlive, TimePoint Now)
      : Id(std::move(Id)), Kept(std::move(Connection)), IdleSince(Now),
        ExpiresAt(Now +
                  (KeepAlive.count() > 0
                       ? std::max(KeepAlive - KeepAliveMargin, KeepAlive / 2)
                       : DefaultKeepAlive)),
        Owner(Owner) {
    Kept.Socket->setHandler(this);
  }
  ~IdleConnection() override {
    if (Kept.Socket)
      Kept.Socket->close();
  }

  KeptConnection release() {
    Kept.Socket->setHandler(nullptr);
    return std::move(Kept);
  }
  // Data received while no request is pending belongs to no request.
  void onBytes(std::string_view Bytes) override {
    logEvent(LogLevel::Info, "unexpected-bytes",
             {{"instance", Id}, {"bytes", Bytes.size()}});
    Owner.drop(this);
  }
  void onEnd(SocketEnd) override { Owner.drop(this); }

  const std::string Id;
  // Its socket is null once it is released.
  KeptConnection Kept;
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

std::optional<KeptConnection> BackendPool::take(std::string_view Id,
                                                std::string_view RequestId,
                                                TimePoint Now,
                                                Duration MaxIdle) {
  auto Found = ByInstance.find(Id);
  if (Found == ByInstance.end())
    return std::nullopt;
  Connections &List = Found->second;
  std::erase_if(List,
                [Now](const auto &Item) { return Now >= Item->ExpiresAt; });
  // The most recently used connection is the most likely to be open still.
  auto Usable = std::find_if(List.rbegin(), List.rend(), [&](const auto &Item) {
    return Now - Item->IdleSince <= MaxIdle &&
           !Item->Kept.Carried.contains(RequestId);
  });
  if (Usable == List.rend())
    return std::nullopt;
  KeptConnection Result = (*Usable)->release();
  List.erase(std::next(Usable).base());
  return Result;
}

void BackendPool::keep(std::string Id, KeptConnection Connection,
                       Duration KeepAlive, TimePoint Now) {
  Connections &List = ByInstance[Id];
  if (List.size() >= MaxIdlePerInstance || Connection.Carried.isFull()) {
    Connection.Socket->close();
    return;
  }
  List.push_back(std::make_unique<IdleConnection>(
      *this, std::move(Id), std::move(Connection), KeepAlive, Now));
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
