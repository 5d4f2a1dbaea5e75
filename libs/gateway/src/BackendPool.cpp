//===- BackendPool.cpp - Kept connections to backend servers --------------===//
#include "ragwort/gateway/BackendPool.h"
#include <algorithm>

namespace ragwort::gateway {

namespace {

// Idle time after which a connection is no longer used where the server did
// not say how long it keeps it.
constexpr Duration UnstatedKeepAlive = std::chrono::milliseconds(900);
// A request must arrive before the server closes; this much of the stated time
// is left for the way and for the server's rounding.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(400);

} // namespace

class BackendPool::Kept final : public SocketHandler {
public:
  Kept(BackendPool &Owner, std::string Id, std::shared_ptr<StreamSocket> Socket,
       Duration KeepAlive, TimePoint Now)
      : Id(std::move(Id)), Socket(std::move(Socket)), Since(Now),
        Until(Now + (KeepAlive.count() > 0
                         ? std::max(KeepAlive - KeepAliveMargin, KeepAlive / 2)
                         : UnstatedKeepAlive)),
        Owner(Owner) {
    this->Socket->setHandler(this);
  }
  ~Kept() override {
    if (Socket)
      Socket->close();
  }

  std::shared_ptr<StreamSocket> release() {
    Socket->setHandler(nullptr);
    return std::move(Socket);
  }
  // Bytes that nobody asked for belong to no request.
  void onBytes(std::string_view) override { Owner.drop(this); }
  void onEnd(SocketEnd) override { Owner.drop(this); }

  const std::string Id;
  std::shared_ptr<StreamSocket> Socket;
  const TimePoint Since;
  const TimePoint Until;

private:
  BackendPool &Owner;
};

BackendPool::BackendPool() = default;
BackendPool::~BackendPool() = default;

void BackendPool::drop(Kept *Connection) {
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
  // The one used last is the most likely to be alive.
  while (!List.empty()) {
    Kept &Last = *List.back();
    if (Now >= Last.Until) {
      List.pop_back();
      continue;
    }
    if (Now - Last.Since > MaxIdle)
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
  List.push_back(std::make_unique<Kept>(*this, std::move(Id), std::move(Socket),
                                        KeepAlive, Now));
}

void BackendPool::closeAll() { ByInstance.clear(); }

void BackendPool::expire(TimePoint Now) {
  for (auto &[Id, List] : ByInstance)
    std::erase_if(List, [Now](const auto &Item) { return Now >= Item->Until; });
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
