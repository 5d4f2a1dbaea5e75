//===- HeadRequestTest.cpp - Answers to HEAD ------------------------------===//
//
// An answer to HEAD has no body, whoever writes it. Further bytes would be read
// as the next answer, by the caller or by the gateway.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class HeadRequestTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(HeadRequestTest);
  CPPUNIT_TEST(refusalWhenForHeadHasNoBody);
  CPPUNIT_TEST(failureWhenForHeadHasNoBody);
  CPPUNIT_TEST(requestWhenTooLargeAndForHeadIsRefusedWithoutBody);
  CPPUNIT_TEST(streamWhenForHeadHasNoBody);
  CPPUNIT_TEST(answerWhenForHeadKeepsItsLength);
  CPPUNIT_TEST(answerWhenForHeadAndChunkedHasNoLength);
  CPPUNIT_TEST(bodyWhenSentForHeadReachesNoCaller);
  CPPUNIT_TEST_SUITE_END();

  static std::string head(const std::string &Path, const std::string &Id,
                          const std::string &Extra = "") {
    return "HEAD " + Path +
           " HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: " + Id +
           "\r\nAuthorization: Bearer key\r\n" + Extra + "\r\n";
  }

  /// What the caller receives for \p Bytes, and shortly after that.
  std::string receive(const std::string &Bytes) {
    auto C = call(Bytes);
    runUntil([&C] { return count(C->Received, "\r\n\r\n") > 0; });
    runFor(std::chrono::milliseconds(20));
    return C->Received;
  }

  static void checkHeadOnly(const std::string &Got, const std::string &Status) {
    CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 " + Status + " "));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Got, Got.size() - 4, Got.find("\r\n\r\n"));
  }

public:
  void refusalWhenForHeadHasNoBody() {
    checkHeadOnly(receive(head("/none/", "r1")), "404");
    std::string Both = receive(head("/none/", "r1") + head("/none/", "r2"));
    CPPUNIT_ASSERT_EQUAL(size_t(2), count(Both, "HTTP/1.1 404 "));
    CPPUNIT_ASSERT(Both.find("\r\n\r\nHTTP/1.1 404 ") != std::string::npos);
  }

  void failureWhenForHeadHasNoBody() {
    scriptBoth(literal(ScriptedServer::Reset));
    checkHeadOnly(receive(head("/once/", "r1")), "502");
  }

  void requestWhenTooLargeAndForHeadIsRefusedWithoutBody() {
    checkHeadOnly(
        receive(head("/once/", "r1", "Content-Length: 99999999999\r\n")),
        "413");
  }

  void streamWhenForHeadHasNoBody() {
    scriptBoth([](const std::string &R) { return streamHead(idOf(R)); });
    std::string Got = receive(head("/stream/", "r1"));
    checkHeadOnly(Got, "200");
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, "text/event-stream"));
  }

  void answerWhenForHeadKeepsItsLength() {
    scriptBoth([](const std::string &R) {
      return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) + "\r\n" +
             Stamp + "Content-Length: 1234\r\n\r\n";
    });
    std::string Got = receive(head("/safe/", "r1"));
    checkHeadOnly(Got, "200");
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, "Content-Length: "));
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, "Content-Length: 1234\r\n"));
  }

  void answerWhenForHeadAndChunkedHasNoLength() {
    scriptBoth([](const std::string &R) {
      return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) + "\r\n" +
             Stamp + "Transfer-Encoding: chunked\r\n\r\n";
    });
    std::string Got = receive(head("/safe/", "r1"));
    checkHeadOnly(Got, "200");
    CPPUNIT_ASSERT_EQUAL(size_t(0), count(Got, "Content-Length"));
  }

  void bodyWhenSentForHeadReachesNoCaller() {
    Servers.resize(1);
    configure();
    ScriptedServer &Server = *Servers[0];
    // The body comes with the head, on the idle connection, and after the next
    // request. It is itself the text of an answer to that request.
    for (int Late = 0; Late < 3; ++Late) {
      std::string Id = "h" + std::to_string(Late);
      std::string Next = "n" + std::to_string(Late);
      std::string Stray = answer("200 OK", Next, Stamp, "stray");
      std::string Head = "HTTP/1.1 200 OK\r\nRagwort-Request-Id: ";
      Head += Id;
      Head += "\r\n";
      Head += Stamp;
      Head += "Content-Length: " + std::to_string(Stray.size()) + "\r\n\r\n";
      Server.Script = {literal(Head + (Late == 0 ? Stray : "")),
                       literal(ScriptedServer::Silence)};
      checkHeadOnly(receive(head("/once/", Id)), "200");
      size_t Used = static_cast<size_t>(Server.Connections) - 1;
      size_t Seen = Server.Requests.size();
      if (Late == 1) {
        Server.sendOn(Used, Stray);
        runFor(std::chrono::milliseconds(20));
      }
      auto C = call(request("/once/", Next));
      runUntil([&] { return Server.Requests.size() == Seen + 1; });
      if (Late == 2)
        Server.sendOn(Used, Stray);
      runFor(std::chrono::milliseconds(20));
      CPPUNIT_ASSERT_EQUAL(std::string(), C->Received);
      Server.sendLate(answer("200 OK", Next, Stamp, "own"));
      runUntil([&C] { return !C->Received.empty(); });
      CPPUNIT_ASSERT_MESSAGE(C->Received, C->Received.ends_with("own"));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeadRequestTest);

} // namespace ragwort::gateway
