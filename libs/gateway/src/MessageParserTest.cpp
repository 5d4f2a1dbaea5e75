//===- MessageParserTest.cpp - Tests of MessageParser.h -------------------===//
#include "ragwort/gateway/MessageParser.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class MessageParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageParserTest);
  CPPUNIT_TEST(requestWhenSplitAnywhereIsParsedCompletely);
  CPPUNIT_TEST(requestWhenChunkedHasItsBody);
  CPPUNIT_TEST(requestWhenLengthsConflictIsMalformed);
  CPPUNIT_TEST(requestWhenHeadIsTooLargeReportsHeadTooLarge);
  CPPUNIT_TEST(requestWhenFollowedByAnotherDoesNotConsumeIt);
  CPPUNIT_TEST(responseWhenLengthIsMissingEndsWithTheConnection);
  CPPUNIT_TEST(responseWhenTruncatedFails);
  CPPUNIT_TEST(responseWhenBytesFollowDoesNotConsumeThem);
  CPPUNIT_TEST(responseWhenNotHttpFails);
  CPPUNIT_TEST(responseWhenInterimIsReportedAsInterim);
  CPPUNIT_TEST(messageWhenItsFramingNeverEndsFails);
  CPPUNIT_TEST(bodyWhenAnotherHeadBeginsInItIsFound);
  CPPUNIT_TEST(bodyWhenItEndsInAnotherHeadIsFound);
  CPPUNIT_TEST(responseWhenItsHeadIsBrokenOffAndBegunAgainFails);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint32_t MaxHead = 1024;

  static ParseStage stageOf(const std::string &Bytes) {
    RequestParser P(MaxHead);
    P.feed(Bytes);
    return P.stage();
  }

public:
  void requestWhenSplitAnywhereIsParsedCompletely() {
    const std::string All =
        "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    for (size_t Cut = 0; Cut <= All.size(); ++Cut) {
      RequestParser P(MaxHead);
      std::string Buffer = All.substr(0, Cut);
      Buffer.erase(0, P.feed(Buffer));
      Buffer += All.substr(Cut);
      Buffer.erase(0, P.feed(Buffer));
      CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
      CPPUNIT_ASSERT(Buffer.empty());
      CPPUNIT_ASSERT_EQUAL(std::string("POST"), P.request().Method);
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=1"), P.request().Target);
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), P.request().Body);
      CPPUNIT_ASSERT_EQUAL(size_t(2), P.request().Headers.size());
    }
  }

  void requestWhenChunkedHasItsBody() {
    RequestParser P(MaxHead);
    std::string Buffer = "POST / HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n";
    Buffer.erase(0, P.feed(Buffer));
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), P.request().Body);
    CPPUNIT_ASSERT(P.request().header("X-Trailer").empty());
  }

  void requestWhenLengthsConflictIsMalformed() {
    const std::string Head = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (const char *Framing :
         {"Content-Length: 3\r\nContent-Length: 4\r\n",
          "Content-Length: 3\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          "Content-Length: -1\r\n", "Content-Length: 3x\r\n"})
      CPPUNIT_ASSERT_MESSAGE(Framing, stageOf(Head + Framing + "\r\nabcd") ==
                                          ParseStage::Failed);
  }

  void requestWhenHeadIsTooLargeReportsHeadTooLarge() {
    RequestParser P(MaxHead);
    P.feed("GET / HTTP/1.1\r\nX: " + std::string(2 * size_t(MaxHead), 'a'));
    CPPUNIT_ASSERT(P.failure() == ParseFailure::HeadTooLarge);
    RequestParser Q(MaxHead);
    Q.feed("GARBAGE\r\n\r\n");
    CPPUNIT_ASSERT(Q.failure() == ParseFailure::Malformed);
  }

  void requestWhenFollowedByAnotherDoesNotConsumeIt() {
    RequestParser P(MaxHead);
    const std::string First = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string Buffer = First + "GET /2 HTTP/1.1\r\n";
    CPPUNIT_ASSERT_EQUAL(First.size(), P.feed(Buffer));
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
  }

  void responseWhenLengthIsMissingEndsWithTheConnection() {
    ResponseParser P;
    P.feed("HTTP/1.1 200 OK\r\nServer-X: 1\r\n\r\npart");
    CPPUNIT_ASSERT(P.stage() == ParseStage::Body);
    P.feedEnd();
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("part"), P.takeBody());
    CPPUNIT_ASSERT(!P.isKeepAlive());
  }

  void responseWhenTruncatedFails() {
    ResponseParser P;
    P.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    P.feedEnd();
    CPPUNIT_ASSERT(P.stage() == ParseStage::Failed);
  }

  void responseWhenBytesFollowDoesNotConsumeThem() {
    ResponseParser P;
    const std::string First = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CPPUNIT_ASSERT_EQUAL(First.size(), P.feed(First + "HTTP/1.1 200 OK"));
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
    CPPUNIT_ASSERT(P.isKeepAlive());
  }

  void responseWhenNotHttpFails() {
    ResponseParser P;
    P.feed("\x01\x02garbage\r\n\r\n");
    CPPUNIT_ASSERT(P.stage() == ParseStage::Failed);
  }

  void responseWhenInterimIsReportedAsInterim() {
    ResponseParser P;
    P.feed("HTTP/1.1 100 Continue\r\n\r\n");
    CPPUNIT_ASSERT(P.isInterim());
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
  }

  /// Feeds \p Piece again and again until the parser fails. \returns the most
  /// bytes that were buffered for it.
  template <class Parser>
  static size_t feedWithoutEnd(Parser &P, std::string_view Head,
                               std::string_view Begin, std::string_view Piece) {
    constexpr size_t GiveUpBytes = 1 << 20;
    std::string Buffer(Head);
    Buffer += "Transfer-Encoding: chunked\r\n\r\n";
    Buffer += Begin;
    size_t Most = 0;
    while (P.stage() != ParseStage::Failed && Most < GiveUpBytes) {
      Buffer += Piece;
      Buffer.erase(0, P.feed(Buffer));
      Most = std::max(Most, Buffer.size());
    }
    return Most;
  }

  void messageWhenItsFramingNeverEndsFails() {
    constexpr size_t MostBuffered = 100'000;
    const std::pair<std::string, std::string> Endings[] = {
        {"5;a=", std::string(1000, 'x')}, // Extension of a chunk.
        {"", std::string(1000, '0')},     // Size of a chunk.
        {"0\r\n", "A: b\r\n"},            // Trailers.
    };
    for (const auto &[Begin, Piece] : Endings) {
      ResponseParser Response;
      CPPUNIT_ASSERT(feedWithoutEnd(Response, "HTTP/1.1 200 OK\r\n", Begin,
                                    Piece) < MostBuffered);
      RequestParser Request(MaxHead);
      CPPUNIT_ASSERT(feedWithoutEnd(Request, "POST / HTTP/1.1\r\nHost: h\r\n",
                                    Begin, Piece) < MostBuffered);
    }
  }

  void bodyWhenAnotherHeadBeginsInItIsFound() {
    const std::string Head =
        "HTTP/1.1 200 OK\r\nServer: s\r\nrequest-id: 7\r\n\r\nrest";
    const std::string Body = "{\"a\": HTTP/1." + Head;
    CPPUNIT_ASSERT(holdsResponseHead(Body, "", "Request-Id"));
    // From the status line's beginning on, the head may end in the rest.
    size_t Begin = Body.find(Head);
    for (size_t Cut = 0; Cut < Body.size(); ++Cut)
      CPPUNIT_ASSERT_EQUAL(Cut > Begin,
                           holdsResponseHead(Body.substr(0, Cut),
                                             Body.substr(Cut), "Request-Id"));
    for (const char *Text :
         {"", "HTTP/1.", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 20 OK\r\nRequest-Id: 7\r\n",
          "HTTP/1.1 2000\r\nRequest-Id: 7\r\n",
          "POST / HTTP/1.1\r\nRequest-Id: 7\r\n",
          "HTTP/1.1 200 OK\r\n\r\nRequest-Id: 7\r\n",
          "HTTP/1.1 200 OK\r\nno field\r\nRequest-Id: 7\r\n"})
      CPPUNIT_ASSERT_MESSAGE(Text, !holdsResponseHead(Text, "", "Request-Id"));
    CPPUNIT_ASSERT(holdsResponseHead(Body, "", "Request-Id", "7"));
    CPPUNIT_ASSERT(!holdsResponseHead(Body, "", "Request-Id", "8"));
    // Heads whose status lines look like header lines of the one before.
    std::string Many;
    while (Many.size() < 8'000'000)
      Many += "HTTP/1.1 200 a:b\r\n";
    CPPUNIT_ASSERT(!holdsResponseHead(Many, "", "Request-Id"));
  }

  // Guards against a body that takes in the beginning of a second answer.
  void bodyWhenItEndsInAnotherHeadIsFound() {
    const std::string Head =
        "HTTP/1.1 200 OK\r\nServer: s\r\nRequest-Id: 7\r\n";
    for (size_t Shortest : {1, 4, 10})
      for (size_t Cut = 1; Cut <= Head.size(); ++Cut)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            Head.substr(0, Cut), Cut >= Shortest,
            endsInResponseHead("body" + Head.substr(0, Cut), "", Shortest));
    for (const std::string &Text :
         {std::string(), std::string("HTTP/1.1 OK"),
          std::string("HTTP/1.1 200 OK\r\nno field\r\n"), Head + "\r\n",
          Head + "\r\nbody"})
      CPPUNIT_ASSERT_MESSAGE(Text, !endsInResponseHead(Text, "", 1));
    // A copy that begins after the body is none of its business.
    const std::string Text = "body" + Head;
    for (size_t Cut = 0; Cut < Text.size(); ++Cut)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          std::to_string(Cut), Cut > 4,
          endsInResponseHead(Text.substr(0, Cut), Text.substr(Cut), 10));
  }

  // Guards against one head that is made of parts of two.
  void responseWhenItsHeadIsBrokenOffAndBegunAgainFails() {
    const std::string Whole =
        "HTTP/1.1 200 OK\r\nServer: s\r\n"
        "Server-Stamp: s1\r\nContent-Length: 4\r\n\r\nbody";
    for (size_t Cut = 1; Cut < Whole.find("\r\n\r\n") + 4; ++Cut) {
      ResponseParser P;
      P.feed(Whole.substr(0, Cut) + Whole);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Cut),
                             P.stage() == ParseStage::Failed);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MessageParserTest);

} // namespace ragwort::gateway
