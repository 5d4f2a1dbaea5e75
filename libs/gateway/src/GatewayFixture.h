//===- GatewayFixture.h - A gateway with two scripted servers for tests ---===//
//
// One event loop runs a gateway, its backend servers and callers on loopback.
// The routes are /once/ (at most once), /safe/ (idempotent), and /stream/ and
// /slow/ (resumable streams with a short and a long timeout).
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_GATEWAYFIXTURE_H
#define RAGWORT_GATEWAY_GATEWAYFIXTURE_H

#include "LoopbackPeers.h"
#include <cppunit/TestFixture.h>

namespace ragwort::gateway {

inline size_t count(const std::string &Text, const std::string &Part) {
  size_t Total = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Total;
  return Total;
}

class GatewayFixture : public CppUnit::TestFixture {
protected:
  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<MetricsRegistry> Metrics;
  std::unique_ptr<Gateway> Node;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Metrics = std::make_unique<MetricsRegistry>();
    constexpr double RetryAllowance = 100;
    Node = std::make_unique<Gateway>(*Io, loopbackOptions(RetryAllowance),
                                     ProtocolNames(), *Metrics);
    CPPUNIT_ASSERT(Node->listen().ok());
    Servers.clear();
    for (int I = 0; I < 2; ++I)
      Servers.push_back(std::make_unique<ScriptedServer>(*Io));
    configure();
  }

  void tearDown() override {
    Servers.clear();
    Node.reset();
    Io.reset();
  }

protected:
  static Route route(const char *Prefix, Repeatability Repeat,
                     uint32_t Attempts) {
    Route R;
    R.Name = Prefix;
    R.Host = "h";
    R.PathPrefix = Prefix;
    R.Repeat = Repeat;
    R.IsStream = Repeat == Repeatability::Resumable;
    R.MaxAttempts = Attempts;
    R.Timeout = std::chrono::milliseconds(400);
    R.TargetLatency = std::chrono::milliseconds(300);
    R.Split.push_back({"s", 1});
    return R;
  }

  void configure() {
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Config->addRoute(route("/once/", Repeatability::AtMostOnce, 1));
    Config->addRoute(route("/safe/", Repeatability::Idempotent, 2));
    Config->addRoute(route("/stream/", Repeatability::Resumable, 2));
    Route Slow = route("/slow/", Repeatability::Resumable, 2);
    Slow.Timeout = std::chrono::seconds(4);
    Config->addRoute(Slow);
    Config->requireKeys();
    Config->addOrganisation({"org", std::nullopt}, {"key"});
    Node->applyConfig(std::move(Config));
    std::vector<dispatch::BackendInstance> List;
    for (size_t I = 0; I < Servers.size(); ++I) {
      dispatch::BackendInstance B;
      B.Id = "i" + std::to_string(I);
      B.Service = "s";
      B.Address = Servers[I]->address();
      B.DataCentre = "here";
      B.Slots = 4;
      List.push_back(B);
    }
    Node->directory().replaceAll(List, {0, ++DirectoryVersion}, std::nullopt);
    Node->onDirectoryChanged();
  }
  uint64_t DirectoryVersion = 0;

  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Extra = "",
                             const std::string &Body = "body") {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: " + Id +
           "\r\nAuthorization: Bearer key\r\n" + Extra +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  /// Both servers answer with \p L, whichever is chosen.
  void scriptBoth(const ScriptedServer::Responder &L, int Times = 1) {
    for (auto &S : Servers)
      for (int I = 0; I < Times; ++I)
        S->Script.push_back(L);
  }
  /// The first request to arrive at either server is answered by \p First, each
  /// later one by \p Then.
  void scriptFirst(const ScriptedServer::Responder &First,
                   const ScriptedServer::Responder &Then) {
    auto IsFirst = std::make_shared<bool>(true);
    scriptBoth(
        [=](const std::string &R) {
          return std::exchange(*IsFirst, false) ? First(R) : Then(R);
        },
        4);
  }

  std::vector<std::string> requestsSeen() const {
    std::vector<std::string> All;
    for (const auto &S : Servers)
      All.insert(All.end(), S->Requests.begin(), S->Requests.end());
    return All;
  }

  std::unique_ptr<Caller> call(const std::string &Bytes) {
    auto C = std::make_unique<Caller>(*Io);
    C->ToSend = Bytes;
    C->Socket->connect(endpointOf<asio::ip::tcp>({"127.0.0.1", Node->port()}),
                       std::chrono::seconds(5));
    return C;
  }

  template <class Condition> void runUntil(Condition IsDone) {
    runLoopUntil(*Io, IsDone);
  }
  void runFor(Duration Time) { Io->run_for(Time); }

  /// Sends one request and returns all bytes that the caller received.
  std::string exchange(const std::string &Bytes) {
    auto C = call(Bytes);
    runUntil([&C] {
      size_t Head = C->Received.find("\r\n\r\n");
      if (Head == std::string::npos)
        return C->IsEnded;
      ResponseParser P;
      P.feed(C->Received);
      return P.stage() == ParseStage::Done || C->IsEnded;
    });
    return C->Received;
  }

  static ScriptedServer::Responder served(const std::string &Body) {
    return [Body](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp, Body);
    };
  }
  static ScriptedServer::Responder literal(const std::string &Text) {
    return [Text](const std::string &) { return Text; };
  }

  static std::string event(int Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }
  static std::string chunk(const std::string &Data) {
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Data.size());
    return Size + Data + "\r\n";
  }
  /// Head of a stream that ends with its connection.
  static std::string unframedStreamHead(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + Id + "\r\n" + Stamp +
           "Content-Type: text/event-stream\r\n\r\n";
  }
  static std::string streamHead(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + Id + "\r\n" + Stamp +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }
};

} // namespace ragwort::gateway

#endif
