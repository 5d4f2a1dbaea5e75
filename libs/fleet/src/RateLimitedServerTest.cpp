//===- RateLimitedServerTest.cpp - A fleet and servers that state a rate limit
//--===//
//
// Three nodes that exchange what they know, and servers that state in their
// answers how many requests a second they take from all nodes together.
//
//===----------------------------------------------------------------------===//
#include "LoopbackFleet.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::fleet {

class RateLimitedServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitedServerTest);
  CPPUNIT_TEST(serverWhenItStatesARateLimitGetsNoMoreFromAllNodes);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t Nodes = 3;
  static constexpr double LimitPerSecond = 2;
  static constexpr std::chrono::seconds Window{4};

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<LoopbackFleet> Fleet;
  std::vector<std::unique_ptr<gateway::ScriptedServer>> Servers;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Fleet = std::make_unique<LoopbackFleet>(*Io, Nodes);
    for (int I = 0; I < 2; ++I) {
      Servers.push_back(std::make_unique<gateway::ScriptedServer>(*Io));
      Servers.back()->Always = [](const std::string &Request) {
        return gateway::answer("200 OK", gateway::idOf(Request),
                               gateway::Stamp + "Ragwort-Rate-Limit: 2.0\r\n",
                               "x");
      };
    }
    Fleet->list(Servers);
    Fleet->exchangeHeartbeats();
  }

  void tearDown() override {
    Servers.clear();
    Fleet.reset();
    Io.reset();
  }

private:
  /// Sends requests to all nodes in turn for \p Time, far more than the limit.
  /// \returns how many were served.
  size_t press(std::chrono::milliseconds Time) {
    constexpr std::chrono::milliseconds Pause{20};
    std::vector<std::unique_ptr<gateway::Caller>> Callers;
    auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      Callers.push_back(Fleet->call(Callers.size() % Nodes, {}));
      Io->run_for(Pause);
    }
    Io->run_for(std::chrono::milliseconds(200));
    return static_cast<size_t>(
        std::count_if(Callers.begin(), Callers.end(), [](const auto &C) {
          return C->Received.starts_with(LoopbackFleet::Served);
        }));
  }

public:
  void serverWhenItStatesARateLimitGetsNoMoreFromAllNodes() {
    // The users' rule: in four seconds one and a half times what the limit
    // allows, and five requests.
    constexpr auto Allowed =
        static_cast<size_t>(1.5 * LimitPerSecond * Window.count() + 5);
    press(std::chrono::seconds(1));
    std::vector<size_t> Before;
    for (const auto &S : Servers)
      Before.push_back(S->Requests.size());
    size_t ServedCount = press(Window);
    for (size_t I = 0; I < Servers.size(); ++I) {
      size_t Arrivals = Servers[I]->Requests.size() - Before[I];
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Arrivals), Arrivals <= Allowed);
    }
    // The servers' capacity is used.
    CPPUNIT_ASSERT(ServedCount >= LimitPerSecond * Window.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitedServerTest);

} // namespace ragwort::fleet
