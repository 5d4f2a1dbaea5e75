//===- CrashingPromptTest.cpp - A fleet under prompts that crash servers --===//
//
// Nodes that exchange what they know, and backend servers that end as
// soon as they begin to answer a prompt with a certain part. An ended server is
// replaced by a new one.
//
//===----------------------------------------------------------------------===//
#include "LoopbackFleet.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::fleet {

class CrashingPromptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPromptTest);
  CPPUNIT_TEST(promptPartWhenItCrashedServersReachesNoMoreServers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t Nodes = 3;
  static inline const std::string Served = LoopbackFleet::Served;
  static constexpr const char *CrashingPart = "dead";
  static constexpr const char *SharedPart = "5c1e07a2";

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<LoopbackFleet> Fleet;
  std::unique_ptr<ReplacedServers> Servers;
  size_t CrashingArrivals = 0;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Fleet = std::make_unique<LoopbackFleet>(*Io, Nodes);
    CrashingArrivals = 0;
    Servers = std::make_unique<ReplacedServers>(
        *Io, *Fleet,
        [this](const std::string &Request) { return respond(Request); });
  }

  void tearDown() override {
    Servers.reset();
    Fleet.reset();
    Io.reset();
  }

private:
  std::string respond(const std::string &Request) {
    std::string Head =
        "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + gateway::idOf(Request) +
        "\r\n" + gateway::Stamp + "Content-Type: text/event-stream\r\n";
    if (Request.find(CrashingPart) != std::string::npos) {
      ++CrashingArrivals;
      return Head + "\r\n" + gateway::ScriptedServer::Crash;
    }
    std::string Event = "id: 1\ndata: x\n\n";
    return Head + "Content-Length: " + std::to_string(Event.size()) +
           "\r\n\r\n" + Event;
  }

  std::string statusOf(size_t NodeIndex, const std::string &Parts) {
    FleetRequest Request;
    Request.Headers = "Ragwort-Prompt-Parts: " + Parts + "\r\n";
    Request.Body = "prompt of " + Parts;
    return Fleet->statusOf(NodeIndex, Request);
  }

  std::string ownPart() {
    return "f" + std::to_string(Fleet->lastRequest()) + ":9";
  }
  std::string harmlessPrompt() {
    return std::string(SharedPart) + ":40," + ownPart();
  }
  std::string crashingPrompt() {
    return std::string(SharedPart) + ":40," + CrashingPart + ":30," + ownPart();
  }

public:
  void promptPartWhenItCrashedServersReachesNoMoreServers() {
    // The users' rule: five crashes to learn from, then no more than three
    // further requests at any server.
    constexpr size_t LearningCrashes = 5;
    constexpr size_t LaterArrivals = 3;
    Fleet->exchangeHeartbeats();
    for (size_t I = 0; I < Nodes; ++I)
      CPPUNIT_ASSERT_EQUAL(Served, statusOf(I, harmlessPrompt()));
    constexpr size_t Rounds = 18;
    size_t HarmlessServed = 0;
    std::string LastStatus;
    for (size_t I = 0; I < Rounds; ++I) {
      LastStatus = statusOf(I % Nodes, crashingPrompt());
      Fleet->exchangeHeartbeats();
      Servers->replaceEnded();
      HarmlessServed += statusOf((I + 1) % Nodes, harmlessPrompt()) == Served;
    }
    CPPUNIT_ASSERT(CrashingArrivals <= LearningCrashes + LaterArrivals);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable"),
                         LastStatus);
    CPPUNIT_ASSERT_EQUAL(Rounds, HarmlessServed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptTest);

} // namespace ragwort::fleet
