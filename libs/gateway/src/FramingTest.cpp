//===- FramingTest.cpp - Messages whose end is open -----------------------===//
//
// Callers that hide a request in the body of another one, and servers that
// spoil the framing of their answers.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class FramingTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(FramingTest);
  CPPUNIT_TEST(requestWhenItsEndIsOpenIsRefusedWithoutASend);
  CPPUNIT_TEST(answerWhenItsLengthLostADigitIsReplacedByAnotherServers);
  CPPUNIT_TEST(answerWhenItsCodingIsSpoiledIsReplacedByAnotherServers);
  CPPUNIT_TEST(answerWhenAFieldIsFoldedIsReplacedByAnotherServers);
  CPPUNIT_TEST_SUITE_END();

  /// A spoiled answer to the first request; the second server's is sound.
  void checkReplaced(const ScriptedServer::Responder &Spoiled) {
    tearDown();
    setUp();
    scriptFirst(Spoiled, served("second"));
    std::string Got = exchange(request("/safe/", "r1"));
    CPPUNIT_ASSERT_MESSAGE(Got, Got.ends_with("second"));
    tearDown();
    setUp();
    scriptBoth(Spoiled);
    Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 502 "));
  }

  static ScriptedServer::Responder framed(const std::string &Fields,
                                          const std::string &Body) {
    return [=](const std::string &R) {
      return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) + "\r\n" +
             Stamp + Fields + "\r\n" + Body;
    };
  }

public:
  // Guards against requests that hide in the body of another one.
  void requestWhenItsEndIsOpenIsRefusedWithoutASend() {
    const std::string Hidden = request("/once/", "hidden");
    for (const char *Framing :
         {"Transfer-Encoding: identity", "Transfer-Encoding: chunked, identity",
          "Transfer-Encoding: xchunked", "Transfer-Encoding: gzip",
          "Transfer-Encoding: gzip, chunked", "Transfer-Encoding : chunked",
          "Transfer-Encoding:\tchunked\r\n x", "X: y\r\n Transfer-Encoding: z",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
          "Transfer-Encoding: chunked\r\nContent-Length: 4",
          "Content-Length: +4", "Content-Length: 4, 4", "Content-Length: 4 4",
          "Content-Length: 0x4", "Content-Length: 4\r\nContent-Length: 0"}) {
      tearDown();
      setUp();
      auto C = call("POST /once/ HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: "
                    "r1\r\nAuthorization: Bearer key\r\n" +
                    std::string(Framing) + "\r\n\r\n" + Hidden);
      runUntil([&C] { return C->IsEnded; });
      CPPUNIT_ASSERT_MESSAGE(Framing, C->Received.starts_with("HTTP/1.1 400 "));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Framing, size_t(1),
                                   count(C->Received, "HTTP/1.1 "));
      CPPUNIT_ASSERT_MESSAGE(Framing, requestsSeen().empty());
    }
  }

  // Guards against a part of a body that is forwarded as the whole one.
  void answerWhenItsLengthLostADigitIsReplacedByAnotherServers() {
    checkReplaced(framed("Content-Length: 80\r\n", std::string(800, 'x')));
  }

  // Guards against the sizes of chunks that are forwarded as a part of a body.
  void answerWhenItsCodingIsSpoiledIsReplacedByAnotherServers() {
    checkReplaced(framed("Transfer-Encoding: chunkee\r\n",
                         chunk("spoiled") + "0\r\n\r\n"));
  }

  void answerWhenAFieldIsFoldedIsReplacedByAnotherServers() {
    checkReplaced(
        framed("X: y\r\n eep-Alive: 1\r\nContent-Length: 2\r\n", "ab"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FramingTest);

} // namespace ragwort::gateway
