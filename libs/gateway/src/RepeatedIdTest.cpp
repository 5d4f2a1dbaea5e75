//===- RepeatedIdTest.cpp - Requests that share their id ------------------===//
//
// Callers that send several requests with one id, and servers that write an
// earlier refusal once more. A refusal of one request must not be taken for the
// answer to another, although both have the same id.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class RepeatedIdTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(RepeatedIdTest);
  CPPUNIT_TEST(refusalWhenRepeatedBeforeTheNextRequestIsNotItsAnswer);
  CPPUNIT_TEST(refusalWhenRepeatedBeforeTheNextAnswerIsNotItsAnswer);
  CPPUNIT_TEST(refusalWhenRepeatedWithTheNextAnswerIsNotItsAnswer);
  CPPUNIT_TEST(refusalWhenRepeatedAfterTheNextAnswerIsNotItsAnswer);
  CPPUNIT_TEST(refusalWhenRepeatedSendsTheNextRequestToNoSecondServer);
  CPPUNIT_TEST(requestsWhenTheirIdsDifferShareAConnection);
  CPPUNIT_TEST(refusalWhenItNamesTwoRequestsIsTheAnswerToNone);
  CPPUNIT_TEST_SUITE_END();

  // The pause is shorter than the time between two requests of the tests.
  static std::string refusal(const std::string &Id) {
    return answer("503 Service Unavailable", Id,
                  "Ragwort-Not-Run: 1\r\nRetry-After: 0.001\r\n", "full");
  }
  static std::string success(const std::string &Id) {
    return answer("200 OK", Id, Stamp, "second");
  }
  static std::string refuse(const std::string &Request) {
    return refusal(idOf(Request));
  }

  ScriptedServer &server() { return *Servers[0]; }

  void useOneServer() {
    Servers.resize(1);
    configure();
  }

  /// A request that its server refuses and whose connection is kept.
  void refuseOnce() {
    server().Script = {refuse, literal(ScriptedServer::Silence)};
    CPPUNIT_ASSERT(
        exchange(request("/once/", "r1")).starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(1, server().Connections);
    runFor(std::chrono::milliseconds(20));
  }

  /// The next request, with the same id, as soon as the server has it.
  std::unique_ptr<Caller> sendNext() {
    size_t Seen = server().Requests.size();
    auto C = call(request("/once/", "r1"));
    runUntil([&] { return server().Requests.size() == Seen + 1; });
    return C;
  }

  void checkAnswered(const Caller &C) {
    runUntil([&C] { return !C.Received.empty(); });
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(C.Received, "HTTP/1.1 "));
    CPPUNIT_ASSERT_MESSAGE(C.Received, C.Received.ends_with("second"));
  }

public:
  void refusalWhenRepeatedBeforeTheNextRequestIsNotItsAnswer() {
    useOneServer();
    refuseOnce();
    server().sendOn(0, refusal("r1"));
    auto C = sendNext();
    server().sendLate(success("r1"));
    checkAnswered(*C);
  }

  void refusalWhenRepeatedBeforeTheNextAnswerIsNotItsAnswer() {
    useOneServer();
    refuseOnce();
    auto C = sendNext();
    server().sendOn(0, refusal("r1"));
    runFor(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string(), C->Received);
    server().sendLate(success("r1"));
    checkAnswered(*C);
  }

  void refusalWhenRepeatedWithTheNextAnswerIsNotItsAnswer() {
    useOneServer();
    refuseOnce();
    auto C = sendNext();
    server().sendOn(0, refusal("r1") + success("r1"));
    server().sendLate(success("r1"));
    checkAnswered(*C);
  }

  void refusalWhenRepeatedAfterTheNextAnswerIsNotItsAnswer() {
    useOneServer();
    refuseOnce();
    auto C = sendNext();
    server().sendLate(success("r1"));
    server().sendOn(0, refusal("r1"));
    checkAnswered(*C);
    C = sendNext();
    server().sendLate(success("r1"));
    checkAnswered(*C);
  }

  void refusalWhenRepeatedSendsTheNextRequestToNoSecondServer() {
    // Two attempts for a request that may run once.
    Route Twice = route("/once/", Repeatability::AtMostOnce, 2);
    for (auto &S : Servers)
      S->Always = refuse;
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 2;
    Config->addRoute(Twice);
    Node->applyConfig(std::move(Config));
    CPPUNIT_ASSERT(
        exchange(request("/once/", "r1")).starts_with("HTTP/1.1 503 "));
    runFor(std::chrono::milliseconds(20));
    for (auto &S : Servers)
      S->Always = literal(ScriptedServer::Silence);
    size_t Seen = requestsSeen().size();
    CPPUNIT_ASSERT_EQUAL(size_t(2), Seen);
    auto C = call(request("/once/", "r1"));
    runUntil([&] { return requestsSeen().size() == Seen + 1; });
    for (auto &S : Servers)
      S->sendOn(0, refusal("r1"));
    runFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(Seen + 1, requestsSeen().size());
    CPPUNIT_ASSERT_EQUAL(std::string(), C->Received);
  }

  void requestsWhenTheirIdsDifferShareAConnection() {
    useOneServer();
    server().Always = [](const std::string &R) { return success(idOf(R)); };
    for (const char *Id : {"a", "b", "a", "c"})
      CPPUNIT_ASSERT(exchange(request("/once/", Id)).ends_with("second"));
    CPPUNIT_ASSERT_EQUAL(2, server().Connections);
  }

  void refusalWhenItNamesTwoRequestsIsTheAnswerToNone() {
    useOneServer();
    for (bool IsOwnFirst : {true, false}) {
      server().Script = {[IsOwnFirst](const std::string &R) {
        std::string Own = idOf(R);
        std::string Other = "earlier\r\nRagwort-Request-Id: ";
        return refusal(IsOwnFirst ? Own + "\r\nRagwort-Request-Id: earlier"
                                  : Other + Own);
      }};
      std::string Got = exchange(request("/once/", IsOwnFirst ? "r1" : "r2"));
      CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 502 "));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedIdTest);

} // namespace ragwort::gateway
