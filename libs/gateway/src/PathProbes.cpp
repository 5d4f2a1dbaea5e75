//===- PathProbes.cpp - Tries paths to data centres that are not good -----===//
#include "ragwort/gateway/PathProbes.h"
#include "ragwort/base/Address.h"

namespace ragwort::gateway {

namespace {

// As for requests, see Forwarding.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

} // namespace

class PathProbes::Probe final : public SocketHandler {
public:
  Probe(PathProbes &Owner, dispatch::BackendInstance Server, TimePoint Now)
      : Owner(Owner), Server(std::move(Server)), Begun(Now),
        Socket(std::make_shared<StreamSocket>(Owner.Io)) {
    Socket->setCharge({Owner.Memory, dispatch::Held::Servers});
    Socket->setHandler(this);
    std::optional<Address> At = parseAddress(this->Server.Address);
    Socket->connect(
        endpointOf<asio::ip::tcp>(At.value_or(Address{"0.0.0.0", 0})),
        ConnectTimeout);
  }
  ~Probe() override {
    if (Socket)
      Socket->close();
  }

  void onConnected() override {
    TimePoint Now = SteadyClock().now();
    Owner.Tracker.onReached(Server, Begun, Now);
    Socket->setHandler(nullptr);
    Owner.Pool.keep(Server.Id, {std::move(Socket), {}}, Duration(0), Now);
  }
  void onBytes(std::string_view) override {}
  void onEnd(SocketEnd) override {
    TimePoint Now = SteadyClock().now();
    if (Socket->hasTimedOut())
      Owner.Tracker.onSilence(Server, dispatch::Silence::Connect, Begun, Now);
    else
      Owner.Tracker.onReached(Server, Begun, Now);
    Socket.reset();
  }
  bool isDone() const { return !Socket; }

private:
  PathProbes &Owner;
  const dispatch::BackendInstance Server;
  const TimePoint Begun;
  // Null once the probe has ended.
  std::shared_ptr<StreamSocket> Socket;
};

PathProbes::PathProbes(asio::io_context &Io, dispatch::LoadTracker &Tracker,
                       BackendPool &Pool,
                       std::shared_ptr<dispatch::MemoryBudget> Memory)
    : Io(Io), Tracker(Tracker), Pool(Pool), Memory(std::move(Memory)) {}

PathProbes::~PathProbes() = default;

void PathProbes::update(const dispatch::BackendDirectory &Directory,
                        TimePoint Now) {
  std::erase_if(Running, [](const auto &Item) { return Item->isDone(); });
  const dispatch::PathHealth &Paths = Tracker.paths();
  if (Paths.areAllGood())
    return;
  if (Paths.count(dispatch::PathState::Lost) > 0)
    for (const auto &[Id, Server] : Directory.instances())
      if (Paths.state(Server.DataCentre) == dispatch::PathState::Lost)
        Pool.closeAll(Id);
  for (dispatch::BackendInstance &Server : Tracker.takeProbes(Now))
    Running.push_back(std::make_unique<Probe>(*this, std::move(Server), Now));
}

} // namespace ragwort::gateway
