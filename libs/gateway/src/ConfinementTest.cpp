//===- ConfinementTest.cpp - Requests that are confined to regions --------===//
//
// A gateway and a server in each of two regions: a confined request, its
// retries and its resumes reach no server elsewhere.
//
//===----------------------------------------------------------------------===//
#include "LoopbackPeers.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class ConfinementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfinementTest);
  CPPUNIT_TEST(requestWhenConfinedIsNotRetriedElsewhere);
  CPPUNIT_TEST(streamWhenConfinedIsNotResumedElsewhere);
  CPPUNIT_TEST(requestWhenItsOrganisationIsConfinedStaysToo);
  CPPUNIT_TEST(requestWhenNoRegionIsLeftIsRefused);
  CPPUNIT_TEST(requestWhenTheConfigurationChangesKeepsItsRegions);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<MetricsRegistry> Metrics;
  std::unique_ptr<Gateway> Node;
  std::unique_ptr<ScriptedServer> North;
  std::unique_ptr<ScriptedServer> South;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Metrics = std::make_unique<MetricsRegistry>();
    constexpr double RetryAllowance = 100;
    GatewayOptions Options = loopbackOptions(RetryAllowance);
    Options.Regions = {{"here", "north"}, {"there", "south"}};
    Node = std::make_unique<Gateway>(*Io, Options, ProtocolNames(), *Metrics);
    CPPUNIT_ASSERT(Node->listen().ok());
    North = std::make_unique<ScriptedServer>(*Io);
    South = std::make_unique<ScriptedServer>(*Io);
    North->Always = South->Always = [](const std::string &Request) {
      return answer("200 OK", idOf(Request), Stamp, "x");
    };
    dispatch::BackendInstance A{"n", "s", North->address(), "here", 4};
    dispatch::BackendInstance B{"s", "s", South->address(), "there", 4};
    Node->directory().replaceAll({A, B}, {0, 1}, std::nullopt);
    Node->onDirectoryChanged();
  }

  void tearDown() override {
    North.reset();
    South.reset();
    Node.reset();
    Io.reset();
  }

private:
  void configure(uint64_t Version, Repeatability Repeat,
                 dispatch::RegionSet OfRoute,
                 dispatch::RegionSet OfOrganisation) {
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = Version;
    Route R;
    R.Host = "h";
    R.PathPrefix = "/";
    R.Repeat = Repeat;
    R.IsStream = Repeat == Repeatability::Resumable;
    R.MaxAttempts = 3;
    R.Split.push_back({"s", 1});
    R.AllowedRegions = std::move(OfRoute);
    Config->addRoute(std::move(R));
    Config->requireKeys();
    Config->addOrganisation({"org", std::nullopt, std::move(OfOrganisation)},
                            {"key"});
    CPPUNIT_ASSERT(Node->applyConfig(std::move(Config)));
  }

  std::unique_ptr<Caller> call() {
    auto C = std::make_unique<Caller>(*Io);
    C->ToSend = "POST / HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: r\r\n"
                "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n";
    C->Socket->connect(endpointOf<asio::ip::tcp>({"127.0.0.1", Node->port()}),
                       std::chrono::seconds(5));
    return C;
  }

  /// The answer's first line, or nothing if the connection broke before it.
  std::string statusOf(const Caller &C) {
    runLoopUntil(*Io, [&] {
      return C.Received.find("\r\n\r\n") != std::string::npos || C.IsEnded;
    });
    return C.Received.substr(0, C.Received.find("\r\n"));
  }

public:
  void requestWhenConfinedIsNotRetriedElsewhere() {
    configure(1, Repeatability::Idempotent, {"south"}, {});
    South->Script.push_back(
        [](const std::string &) { return ScriptedServer::Reset; });
    CPPUNIT_ASSERT(!statusOf(*call()).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(North->Requests.empty());
    CPPUNIT_ASSERT(!South->Requests.empty());
  }

  void streamWhenConfinedIsNotResumedElsewhere() {
    configure(1, Repeatability::Resumable, {"south"}, {});
    South->Script.push_back([](const std::string &Request) {
      return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(Request) +
             "\r\n" + Stamp +
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n"
             "f\r\nid: 1\ndata: x\n\n\r\n" +
             ScriptedServer::Reset;
    });
    auto C = call();
    runLoopUntil(*Io, [&] { return C->IsEnded; });
    CPPUNIT_ASSERT(C->Received.find("id: 1") != std::string::npos);
    CPPUNIT_ASSERT(North->Requests.empty());
  }

  void requestWhenItsOrganisationIsConfinedStaysToo() {
    configure(1, Repeatability::Idempotent, {}, {"south"});
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT(statusOf(*call()).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(North->Requests.empty());
  }

  void requestWhenNoRegionIsLeftIsRefused() {
    configure(1, Repeatability::Idempotent, {"north"}, {"south"});
    CPPUNIT_ASSERT(statusOf(*call()).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(North->Requests.empty() && South->Requests.empty());
  }

  void requestWhenTheConfigurationChangesKeepsItsRegions() {
    configure(1, Repeatability::Idempotent, {"south"}, {});
    South->Script.push_back([this](const std::string &) {
      configure(2, Repeatability::Idempotent, {}, {});
      return ScriptedServer::Reset;
    });
    CPPUNIT_ASSERT(!statusOf(*call()).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(North->Requests.empty());
    for (int I = 0; I < 20 && North->Requests.empty(); ++I)
      statusOf(*call());
    CPPUNIT_ASSERT(!North->Requests.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfinementTest);

} // namespace ragwort::gateway
