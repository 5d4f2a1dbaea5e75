//===- CrashingPromptTest.cpp - A fleet under prompts that crash servers --===//
//
// Three nodes that exchange what they know, and backend servers that end as
// soon as they begin to answer a prompt with a certain part. An ended server is
// replaced by a new one.
//
//===----------------------------------------------------------------------===//
#include "LoopbackPeers.h"
#include "ragwort/gateway/PeerExchange.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class CrashingPromptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPromptTest);
  CPPUNIT_TEST(promptPartWhenItCrashedServersReachesNoMoreServers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t Nodes = 3;
  static constexpr size_t RunningServers = 4;
  static inline const std::string Served = "HTTP/1.1 200 OK";
  static constexpr const char *CrashingPart = "dead";
  static constexpr const char *SharedPart = "5c1e07a2";

  struct Node {
    Node(asio::io_context &Io, const Address &Listen)
        : Front(Io, frontOptions(), ProtocolNames(), Metrics),
          Peers(Io, {Listen.Ip, 1, Listen}, Front, [](ConfigDocument) {}) {}
    static GatewayOptions frontOptions() {
      GatewayOptions Options;
      Options.Listen = {"127.0.0.1", 0};
      Options.DataCentre = "here";
      Options.RetryLimits = {0.2, 1000, std::chrono::seconds(10)};
      return Options;
    }
    MetricsRegistry Metrics;
    Gateway Front;
    PeerExchange Peers;
  };

  std::unique_ptr<asio::io_context> Io;
  std::vector<std::unique_ptr<Node>> Fleet;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  uint64_t DirectoryVersion = 0;
  size_t CrashingArrivals = 0;
  uint64_t NextRequest = 0;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    uint16_t Port = freePort();
    for (size_t I = 0; I < Nodes; ++I)
      startNode(Port);
    CrashingArrivals = 0;
    replaceEndedServers();
  }

  void tearDown() override {
    Servers.clear();
    Fleet.clear();
    Io.reset();
  }

private:
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

  void startNode(uint16_t Port) {
    auto N = std::make_unique<Node>(*Io, Address{ipOf(Fleet.size()), Port});
    CPPUNIT_ASSERT(N->Front.listen().ok());
    CPPUNIT_ASSERT(N->Peers.listen().ok());
    for (size_t I = 0; I < Nodes; ++I)
      N->Peers.addPeer(ipOf(I));
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Route R;
    R.Name = "drafts";
    R.Host = "h";
    R.PathPrefix = "/";
    R.Repeat = Repeatability::Resumable;
    R.IsStream = true;
    R.MaxAttempts = 2;
    R.Split.push_back({"s", 1});
    Config->addRoute(R);
    N->Front.applyConfig(std::move(Config));
    Fleet.push_back(std::move(N));
  }

  std::string respond(const std::string &Request) {
    std::string Head =
        "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(Request) + "\r\n" +
        Stamp + "Content-Type: text/event-stream\r\n";
    if (Request.find(CrashingPart) != std::string::npos) {
      ++CrashingArrivals;
      return Head + "\r\n" + ScriptedServer::Crash;
    }
    std::string Event = "id: 1\ndata: x\n\n";
    return Head + "Content-Length: " + std::to_string(Event.size()) +
           "\r\n\r\n" + Event;
  }

  void replaceEndedServers() {
    size_t Running = 0;
    for (const auto &S : Servers)
      Running += S->isRunning();
    for (; Running < RunningServers; ++Running) {
      Servers.push_back(std::make_unique<ScriptedServer>(*Io));
      Servers.back()->Always = [this](const std::string &Request) {
        return respond(Request);
      };
    }
    std::vector<BackendInstance> List;
    for (size_t I = 0; I < Servers.size(); ++I)
      if (Servers[I]->isRunning()) {
        BackendInstance B;
        B.Id = "i" + std::to_string(I);
        B.Service = "s";
        B.Address = Servers[I]->address();
        B.DataCentre = "here";
        B.Slots = 4;
        B.BornMillis = I + 1;
        List.push_back(B);
      }
    ++DirectoryVersion;
    for (auto &N : Fleet) {
      N->Front.directory().replaceAll(List, {0, DirectoryVersion},
                                      std::nullopt);
      N->Front.onDirectoryChanged();
    }
  }

  /// Sends a request to a node. \returns the status line of its answer.
  std::string statusOf(size_t NodeIndex, const std::string &Parts) {
    Caller C(*Io);
    C.ToSend = "POST /x HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: r" +
               std::to_string(++NextRequest) +
               "\r\nRagwort-Prompt-Parts: " + Parts +
               "\r\nContent-Length: 0\r\n\r\n";
    C.Socket->connect(endpointOf<asio::ip::tcp>(
                          {"127.0.0.1", Fleet[NodeIndex]->Front.port()}),
                      std::chrono::seconds(5));
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (C.Received.find("\r\n\r\n") == std::string::npos && !C.IsEnded &&
           std::chrono::steady_clock::now() < End)
      Io->run_for(std::chrono::milliseconds(2));
    return C.Received.substr(0, C.Received.find("\r\n"));
  }

  std::string ownPart() { return "f" + std::to_string(NextRequest) + ":9"; }
  std::string soundPrompt() {
    return std::string(SharedPart) + ":40," + ownPart();
  }
  std::string crashingPrompt() {
    return std::string(SharedPart) + ":40," + CrashingPart + ":30," + ownPart();
  }

  /// Time for the nodes to hear each other.
  void exchangeHeartbeats() {
    Io->run_for(2 * PeerExchange::HeartbeatInterval);
  }

public:
  void promptPartWhenItCrashedServersReachesNoMoreServers() {
    // The users' rule: five crashes to learn from, then no more than three
    // further requests at any server.
    constexpr size_t LearningCrashes = 5;
    constexpr size_t LaterArrivals = 3;
    exchangeHeartbeats();
    for (size_t I = 0; I < Nodes; ++I)
      CPPUNIT_ASSERT_EQUAL(Served, statusOf(I, soundPrompt()));
    constexpr size_t Rounds = 18;
    size_t SoundServed = 0;
    std::string LastStatus;
    for (size_t I = 0; I < Rounds; ++I) {
      LastStatus = statusOf(I % Nodes, crashingPrompt());
      exchangeHeartbeats();
      replaceEndedServers();
      SoundServed += statusOf((I + 1) % Nodes, soundPrompt()) == Served;
    }
    CPPUNIT_ASSERT(CrashingArrivals <= LearningCrashes + LaterArrivals);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable"),
                         LastStatus);
    CPPUNIT_ASSERT_EQUAL(Rounds, SoundServed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptTest);

} // namespace ragwort::gateway
