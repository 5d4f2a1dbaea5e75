//===- CrashingRequestTest.cpp - A fleet under a request that crashes servers //
//
// Nodes that exchange what they know, and backend servers that end as soon as
// they begin to answer one certain request. It comes again and again under new
// ids, beside sound requests. An ended server is replaced by a new one.
//
//===----------------------------------------------------------------------===//
#include "LoopbackFleet.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::fleet {

class CrashingRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingRequestTest);
  CPPUNIT_TEST(lookupWhenItCrashedThreeServersReachesAtMostThreeMore);
  CPPUNIT_TEST(draftWhenItCrashedThreeServersReachesAtMostThreeMore);
  CPPUNIT_TEST_SUITE_END();

  // The users' rule: after the third crash and this time, at most three more
  // sends to servers.
  static constexpr size_t LearningCrashes = 3;
  static constexpr size_t LaterArrivals = 3;
  static constexpr Duration SettlingTime = std::chrono::seconds(3);

  static constexpr size_t Nodes = 3;
  static inline const std::string Served = LoopbackFleet::Served;
  static constexpr const char *SharedPart = "5c1e07a2";

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<LoopbackFleet> Fleet;
  std::unique_ptr<ReplacedServers> Servers;
  /// Text that only the crashing request has.
  std::string CrashingText;
  size_t CrashingArrivals = 0;
  size_t Crashes = 0;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Fleet = std::make_unique<LoopbackFleet>(*Io, Nodes);
    CrashingArrivals = 0;
    Crashes = 0;
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
    if (Request.find(CrashingText) != std::string::npos) {
      ++CrashingArrivals;
      ++Crashes;
      return gateway::ScriptedServer::Crash;
    }
    if (Request.find(LoopbackFleet::LookupPrefix) != std::string::npos)
      return gateway::answer("200 OK", gateway::idOf(Request), gateway::Stamp,
                             "found");
    return gateway::answer("200 OK", gateway::idOf(Request),
                           gateway::Stamp +
                               "Content-Type: text/event-stream\r\n",
                           "id: 1\ndata: x\n\n");
  }

  static FleetRequest lookup(const std::string &Subject) {
    FleetRequest Result;
    Result.Target = LoopbackFleet::LookupPrefix + Subject;
    return Result;
  }

  static FleetRequest draft(const std::string &Subject) {
    FleetRequest Result;
    Result.Headers = "Ragwort-Prompt-Parts: " + std::string(SharedPart) +
                     ":40," + Subject + ":9\r\n";
    Result.Body = "prompt about " + Subject;
    return Result;
  }

  /// Repeats the crashing request at all nodes, each time beside a sound one
  /// that \p MakeRequest makes for another subject.
  template <class Make> void expectFewArrivals(Make MakeRequest) {
    CrashingText = "dead";
    const FleetRequest Crashing = MakeRequest(CrashingText);
    Fleet->exchangeHeartbeats();
    for (size_t I = 0; I < Nodes; ++I)
      CPPUNIT_ASSERT_EQUAL(
          Served, Fleet->statusOf(I, MakeRequest("a" + std::to_string(I))));
    for (size_t I = 0; Crashes < LearningCrashes; ++I) {
      Fleet->statusOf(I % Nodes, Crashing);
      Servers->replaceEnded();
    }
    Io->run_for(SettlingTime);
    size_t ArrivalsBefore = CrashingArrivals;
    constexpr size_t Rounds = 12;
    size_t SoundServed = 0;
    std::string LastStatus;
    for (size_t I = 0; I < Rounds; ++I) {
      LastStatus = Fleet->statusOf(I % Nodes, Crashing);
      Servers->replaceEnded();
      FleetRequest Sound = MakeRequest("b" + std::to_string(I));
      SoundServed += Fleet->statusOf((I + 1) % Nodes, Sound) == Served;
    }
    CPPUNIT_ASSERT(CrashingArrivals - ArrivalsBefore <= LaterArrivals);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable"),
                         LastStatus);
    CPPUNIT_ASSERT_EQUAL(Rounds, SoundServed);
  }

public:
  void lookupWhenItCrashedThreeServersReachesAtMostThreeMore() {
    expectFewArrivals(lookup);
  }

  void draftWhenItCrashedThreeServersReachesAtMostThreeMore() {
    expectFewArrivals(draft);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

} // namespace ragwort::fleet
