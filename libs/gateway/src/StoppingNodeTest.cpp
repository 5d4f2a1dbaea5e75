//===- StoppingNodeTest.cpp - Requests at a node that stops ---------------===//
//
// A node that has been told to exit sends only requests that can end before it
// does. It refuses the others as not run while that is true.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class StoppingNodeTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(StoppingNodeTest);
  CPPUNIT_TEST(requestWhenItWaitsAndCannotEndInTimeIsRefused);
  CPPUNIT_TEST(requestWhenItsTurnComesTooLateIsNotSent);
  CPPUNIT_TEST(atMostOnceWhenItsDurationIsUnknownIsRefused);
  CPPUNIT_TEST(repeatableWhenItsDurationIsUnknownIsSent);
  CPPUNIT_TEST(atMostOnceWhenItsRouteIsKnownToBeShortIsSent);
  CPPUNIT_TEST(refusalWhenTheNodeStopsClosesItsConnection);
  CPPUNIT_TEST_SUITE_END();

  // The requests of /once/ may take 400 ms.
  static constexpr Duration ShortGrace = std::chrono::milliseconds(700);

  void stop() {
    Node->beginDrain(StopSchedule(SteadyClock().now(), ShortGrace));
  }

  /// Takes all places of both servers, and lets one more request wait.
  std::unique_ptr<Caller> fillServers() {
    scriptBoth(literal(ScriptedServer::Silence), 100);
    std::unique_ptr<Caller> Last;
    do {
      if (Last)
        Busy.push_back(std::move(Last));
      size_t Seen = requestsSeen().size();
      Last = call(request("/once/", "b" + std::to_string(Busy.size())));
      runUntil([&] {
        return requestsSeen().size() > Seen || Node->dispatcher().waiting() > 0;
      });
    } while (Node->dispatcher().waiting() == 0);
    return Last;
  }
  std::vector<std::unique_ptr<Caller>> Busy;

  static bool isRefusal(const std::string &Received) {
    return Received.starts_with("HTTP/1.1 503 ") &&
           Received.find("Retry-After: 0.") != std::string::npos;
  }

public:
  void tearDown() override {
    Busy.clear();
    GatewayFixture::tearDown();
  }

  // Guards against a request that waits while the node stops, is sent late and
  // cut at the exit.
  void requestWhenItWaitsAndCannotEndInTimeIsRefused() {
    std::unique_ptr<Caller> Waiting = fillServers();
    stop();
    runUntil([&] { return !Waiting->Received.empty(); });
    CPPUNIT_ASSERT(isRefusal(Waiting->Received));
    for (const auto &C : Busy)
      CPPUNIT_ASSERT(C->Received.empty());
  }

  void requestWhenItsTurnComesTooLateIsNotSent() {
    std::unique_ptr<Caller> Waiting = fillServers();
    stop();
    Servers[0]->sendOn(
        0, answer("200 OK", idOf(Servers[0]->Requests[0]), Stamp, "first"));
    runUntil([&] { return !Waiting->Received.empty(); });
    CPPUNIT_ASSERT(isRefusal(Waiting->Received));
    CPPUNIT_ASSERT_EQUAL(Busy.size(), requestsSeen().size());
  }

  void atMostOnceWhenItsDurationIsUnknownIsRefused() {
    scriptBoth(served("x"));
    stop();
    CPPUNIT_ASSERT(isRefusal(exchange(request("/once/", "r1"))));
    CPPUNIT_ASSERT(requestsSeen().empty());
  }

  void repeatableWhenItsDurationIsUnknownIsSent() {
    scriptBoth(served("x"));
    stop();
    CPPUNIT_ASSERT(exchange(request("/safe/", "r1")).ends_with("x"));
  }

  void atMostOnceWhenItsRouteIsKnownToBeShortIsSent() {
    for (auto &S : Servers)
      S->Always = served("x");
    for (uint64_t I = 0; I < RouteDurations::MinRequestsOfNearlyAll; ++I)
      exchange(request("/once/", "r" + std::to_string(I)));
    stop();
    CPPUNIT_ASSERT(exchange(request("/once/", "last")).ends_with("x"));
  }

  void refusalWhenTheNodeStopsClosesItsConnection() {
    stop();
    auto C = call(request("/once/", "r1"));
    runUntil([&] { return C->IsEnded; });
    CPPUNIT_ASSERT(isRefusal(C->Received));
    CPPUNIT_ASSERT_EQUAL(size_t(1),
                         count(C->Received, "Connection: close\r\n"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoppingNodeTest);

} // namespace ragwort::gateway
