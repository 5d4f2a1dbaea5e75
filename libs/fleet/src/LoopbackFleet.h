//===- LoopbackFleet.h - Several gateway nodes for tests ------------------===//
//
// Nodes that exchange what they know over loopback, on one event loop, with two
// routes to the service "s": one of streams, and one of lookups that may be
// repeated.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_LOOPBACKFLEET_H
#define RAGWORT_FLEET_LOOPBACKFLEET_H

#include "LoopbackPeers.h"
#include "ragwort/fleet/PeerExchange.h"
#include <algorithm>

namespace ragwort::fleet {

/// What a caller asks for.
struct FleetRequest {
  std::string Target = "/x";
  std::string Headers;
  std::string Body;
};

class LoopbackFleet {
public:
  static inline const std::string LookupPrefix = "/lookups/";
  static inline const std::string Served = "HTTP/1.1 200 OK";

  /// \p AwaitsEvacuations: as in GatewayOptions.
  LoopbackFleet(asio::io_context &Io, size_t Size,
                bool AwaitsEvacuations = false)
      : Io(Io), Port(freePort()), AwaitsEvacuations(AwaitsEvacuations) {
    for (size_t I = 0; I < Size; ++I)
      start(I, Size);
  }

  /// Starts a further node, which knows the others.
  void startAnother() { start(Nodes.size(), Nodes.size()); }
  size_t size() const { return Nodes.size(); }
  gateway::Gateway &front(size_t Index) { return Nodes[Index]->Front; }
  PeerExchange &peers(size_t Index) { return Nodes[Index]->Peers; }
  MetricsRegistry &metrics(size_t Index) { return Nodes[Index]->Metrics; }

  /// Lists the running servers as instances `i0`, `i1`, ... at all nodes.
  void list(std::span<const std::unique_ptr<gateway::ScriptedServer>> Servers) {
    std::vector<dispatch::BackendInstance> List;
    for (size_t I = 0; I < Servers.size(); ++I)
      if (Servers[I]->isRunning()) {
        dispatch::BackendInstance B;
        B.Id = "i" + std::to_string(I);
        B.Service = "s";
        B.Address = Servers[I]->address();
        B.DataCentre = "here";
        B.Slots = 4;
        B.BornMillis = I + 1;
        List.push_back(B);
      }
    ++DirectoryVersion;
    for (auto &N : Nodes) {
      N->Front.directory().replaceAll(List, {0, DirectoryVersion},
                                      std::nullopt);
      N->Front.onDirectoryChanged();
    }
  }

  /// Begins a request to a node.
  std::unique_ptr<gateway::Caller> call(size_t NodeIndex,
                                        const FleetRequest &Request) {
    auto C = std::make_unique<gateway::Caller>(Io);
    C->ToSend = "POST " + Request.Target +
                " HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: r" +
                std::to_string(++LastRequest) + "\r\n" + Request.Headers +
                "Content-Length: " + std::to_string(Request.Body.size()) +
                "\r\n\r\n" + Request.Body;
    C->Socket->connect(endpointOf<asio::ip::tcp>(
                           {"127.0.0.1", Nodes[NodeIndex]->Front.port()}),
                       std::chrono::seconds(5));
    return C;
  }

  /// Sends a request to a node. \returns the status line of its answer.
  std::string statusOf(size_t NodeIndex, const FleetRequest &Request) {
    std::unique_ptr<gateway::Caller> C = call(NodeIndex, Request);
    gateway::runLoopUntil(Io, [&C] {
      return C->Received.find("\r\n\r\n") != std::string::npos || C->IsEnded;
    });
    return C->Received.substr(0, C->Received.find("\r\n"));
  }

  /// Time for the nodes to hear each other.
  void exchangeHeartbeats() { Io.run_for(2 * PeerExchange::HeartbeatInterval); }
  uint64_t lastRequest() const { return LastRequest; }

private:
  struct Node {
    Node(asio::io_context &Io, const Address &Listen, bool AwaitsEvacuations)
        : Front(Io, options(AwaitsEvacuations), gateway::ProtocolNames(),
                Metrics),
          Peers(Io, {Listen.Ip, 1, Listen}, Front, [](ConfigDocument) {}) {}
    static constexpr double RetryAllowance = 1000;
    static gateway::GatewayOptions options(bool AwaitsEvacuations) {
      gateway::GatewayOptions Result = gateway::loopbackOptions(RetryAllowance);
      Result.AwaitsEvacuations = AwaitsEvacuations;
      return Result;
    }
    MetricsRegistry Metrics;
    gateway::Gateway Front;
    PeerExchange Peers;
  };

  static uint16_t freePort() {
    asio::io_context Unused;
    asio::ip::udp::socket Probe(
        Unused,
        asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return Probe.local_endpoint().port();
  }

  /// Each node has an address of its own, since peers use the same port.
  static std::string ipOf(size_t Index) {
    return "127.0.0." + std::to_string(11 + Index);
  }

  void start(size_t Index, size_t Size) {
    auto N = std::make_unique<Node>(Io, Address{ipOf(Index), Port},
                                    AwaitsEvacuations);
    CPPUNIT_ASSERT(N->Front.listen().ok());
    CPPUNIT_ASSERT(N->Peers.listen().ok());
    for (size_t I = 0; I < Size; ++I)
      N->Peers.addPeer(ipOf(I));
    auto Config = std::make_shared<gateway::TrafficConfig>();
    Config->Version = 1;
    gateway::Route R;
    R.Name = "drafts";
    R.Host = "h";
    R.PathPrefix = "/";
    R.Repeat = gateway::Repeatability::Resumable;
    R.IsStream = true;
    R.MaxAttempts = 2;
    R.Split.push_back({"s", 1});
    Config->addRoute(R);
    R.Name = "lookups";
    R.PathPrefix = LookupPrefix;
    R.Repeat = gateway::Repeatability::Idempotent;
    R.IsStream = false;
    Config->addRoute(R);
    N->Front.applyConfig(std::move(Config));
    Nodes.push_back(std::move(N));
  }

  asio::io_context &Io;
  const uint16_t Port;
  const bool AwaitsEvacuations;
  std::vector<std::unique_ptr<Node>> Nodes;
  uint64_t DirectoryVersion = 0;
  uint64_t LastRequest = 0;
};

/// Backend servers of a fleet. One that has ended is replaced by a new one.
class ReplacedServers {
public:
  static constexpr size_t Running = 4;

  ReplacedServers(asio::io_context &Io, LoopbackFleet &Fleet,
                  gateway::ScriptedServer::Responder Respond)
      : Io(Io), Fleet(Fleet), Respond(std::move(Respond)) {
    replaceEnded();
  }

  void replaceEnded() {
    auto Left = static_cast<size_t>(
        std::count_if(Servers.begin(), Servers.end(),
                      [](const auto &S) { return S->isRunning(); }));
    for (; Left < Running; ++Left) {
      Servers.push_back(std::make_unique<gateway::ScriptedServer>(Io));
      Servers.back()->Always = Respond;
    }
    Fleet.list(Servers);
  }

private:
  asio::io_context &Io;
  LoopbackFleet &Fleet;
  const gateway::ScriptedServer::Responder Respond;
  std::vector<std::unique_ptr<gateway::ScriptedServer>> Servers;
};

} // namespace ragwort::fleet

#endif
