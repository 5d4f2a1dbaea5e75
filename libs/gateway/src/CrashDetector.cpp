//===- CrashDetector.cpp - Tells crashed servers from broken connections --===//
#include "ragwort/gateway/CrashDetector.h"
#include "ragwort/base/Hash.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <utility>

namespace ragwort::gateway {

/// One connect to the address of a server, and its result.
class CrashDetector::Check final : public SocketHandler {
public:
  Check(CrashDetector &Owner, const dispatch::BackendInstance &Server,
        TimePoint Now)
      : Owner(Owner), Id(Server.Id), Run{hash64(Server.Id), Server.BornMillis},
        BegunAt(Now), Socket(std::make_shared<StreamSocket>(Owner.Io)) {
    Socket->setHandler(this);
  }
  ~Check() override { Socket->close(); }

  void connect(const Address &To) {
    Socket->connect(endpointOf<asio::ip::tcp>(To), ConnectTimeout);
  }
  void onConnected() override { finish(/*HasEnded=*/false); }
  void onBytes(std::string_view) override {}
  void onEnd(SocketEnd) override { finish(/*HasEnded=*/true); }

  CrashDetector &Owner;
  const std::string Id;
  const dispatch::ServerRun Run;
  const TimePoint BegunAt;
  // Unset while the connect is in progress.
  std::optional<bool> HasRunEnded;
  // The traits of each request that waits for the result.
  std::vector<quarantine::RequestTraits> Waiting;

private:
  void finish(bool HasEnded) {
    Socket->close();
    HasRunEnded = HasEnded;
    Owner.onVerdict(*this, HasEnded);
    Waiting.clear();
  }

  std::shared_ptr<StreamSocket> Socket;
};

CrashDetector::~CrashDetector() = default;

void CrashDetector::onBroken(const dispatch::BackendInstance &Server,
                             const quarantine::RequestTraits &Traits,
                             TimePoint Now) {
  std::erase_if(Checks, [Now](const auto &Item) {
    return Item.second->HasRunEnded &&
           Now - Item.second->BegunAt > VerdictLifetime;
  });
  auto Found = Checks.find(Server.Id);
  if (Found != Checks.end() &&
      Found->second->Run.BornMillis == Server.BornMillis) {
    Check &Known = *Found->second;
    if (!Known.HasRunEnded)
      Known.Waiting.push_back(Traits);
    else if (*Known.HasRunEnded)
      OnCrash(Known.Run, Traits);
    return;
  }
  std::optional<Address> To = parseAddress(Server.Address);
  if (!To || Checks.size() >= MaxChecks) {
    logEvent(LogLevel::Debug, "crash-check-skipped",
             {{"instance", Server.Id}, {"checks", Checks.size()}});
    return;
  }
  auto New = std::make_shared<Check>(*this, Server, Now);
  New->Waiting.push_back(Traits);
  Checks[Server.Id] = New;
  New->connect(*To);
}

void CrashDetector::onVerdict(const Check &Done, bool HasEnded) {
  if (!HasEnded)
    return;
  logEvent(LogLevel::Warning, "server-crashed",
           {{"instance", Done.Id}, {"requests", Done.Waiting.size()}});
  for (const quarantine::RequestTraits &Traits : Done.Waiting)
    OnCrash(Done.Run, Traits);
}

} // namespace ragwort::gateway
