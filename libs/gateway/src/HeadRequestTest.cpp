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
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeadRequestTest);

} // namespace ragwort::gateway
