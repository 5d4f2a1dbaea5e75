//===- NodeLifecycleTest.cpp - Tests of NodeLifecycle.h -------------------===//
#include "ragwort/fleet/NodeLifecycle.h"
#include "LoopbackFleet.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::fleet {

class NodeLifecycleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeLifecycleTest);
  CPPUNIT_TEST(streamWhenTakenLateInAStopIsRefusedAsNotRun);
  CPPUNIT_TEST(requestsWhenTheNodeExitsAreAnsweredTruthfully);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io{1};
  std::unique_ptr<LoopbackFleet> Fleet;
  std::vector<std::unique_ptr<gateway::ScriptedServer>> Servers;
  bool IsStopped = false;

public:
  void setUp() override {
    Fleet = std::make_unique<LoopbackFleet>(Io, 1);
    Servers.clear();
    Servers.push_back(std::make_unique<gateway::ScriptedServer>(Io));
    Servers.back()->Always = [](const std::string &) {
      return gateway::ScriptedServer::Silence;
    };
    Fleet->list(Servers);
    IsStopped = false;
  }

  void tearDown() override {
    Servers.clear();
    Fleet.reset();
  }

private:
  void beginStop(Duration Grace) {
    asio::co_spawn(Io,
                   shutDownGracefully(Fleet->front(0), Fleet->peers(0), Grace),
                   [this](const std::exception_ptr &) { IsStopped = true; });
  }

  std::unique_ptr<gateway::Caller> idleCaller() {
    auto C = std::make_unique<gateway::Caller>(Io);
    C->Socket->connect(
        endpointOf<asio::ip::tcp>({"127.0.0.1", Fleet->front(0).port()}),
        std::chrono::seconds(5));
    return C;
  }

public:
  void streamWhenTakenLateInAStopIsRefusedAsNotRun() {
    auto Idle = idleCaller();
    beginStop(std::chrono::seconds(4));
    Io.run_for(std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(Idle->IsEnded);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable"),
                         Fleet->statusOf(0, {}));
    CPPUNIT_ASSERT(Servers[0]->Requests.empty());
  }

  // More requests than slots, so that some wait when the time is over.
  void requestsWhenTheNodeExitsAreAnsweredTruthfully() {
    std::vector<std::unique_ptr<gateway::Caller>> Callers;
    constexpr size_t Count = 24;
    Callers.reserve(Count);
    for (size_t I = 0; I < Count; ++I)
      Callers.push_back(Fleet->call(0, {LoopbackFleet::LookupPrefix, "", ""}));
    Io.run_for(std::chrono::milliseconds(100));
    beginStop(std::chrono::seconds(1));
    gateway::runLoopUntil(Io, [this] { return IsStopped; });
    Io.run_for(std::chrono::milliseconds(50));
    size_t Refused = 0;
    size_t Unknown = 0;
    for (const auto &C : Callers) {
      Refused += C->Received.starts_with("HTTP/1.1 503 ");
      Unknown += C->Received.starts_with("HTTP/1.1 502 ");
    }
    CPPUNIT_ASSERT_EQUAL(Servers[0]->Requests.size(), Unknown);
    CPPUNIT_ASSERT_EQUAL(Callers.size(), Refused + Unknown);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeLifecycleTest);

} // namespace ragwort::fleet
