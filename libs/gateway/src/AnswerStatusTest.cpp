//===- AnswerStatusTest.cpp - Answers with a status that HTTP lacks -------===//
//
// A server's answer whose status is no status of HTTP is not an answer: another
// server is tried where the request may be repeated, and the caller is told at
// once that the outcome is unknown otherwise.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class AnswerStatusTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(AnswerStatusTest);
  CPPUNIT_TEST(statusWhenNotOfHttpIsReplacedByAnotherServersAnswer);
  CPPUNIT_TEST(statusWhenNotOfHttpIsAFailureOfAnAtMostOnceRequest);
  CPPUNIT_TEST(statusWhenNotOfHttpInAStreamIsReplacedByAnotherServers);
  CPPUNIT_TEST(answerWhenAfterInterimOnesIsForwarded);
  CPPUNIT_TEST(interimAnswersWhenTheyNeverEndAreAFailure);
  CPPUNIT_TEST_SUITE_END();

  static inline const std::vector<std::string> Malformed = {
      "000 OK", "001 OK",  "099 OK", "101 Switching Protocols",
      "104 X",  "199 X",   "600 OK", "999 OK",
      "20 OK",  "2000 OK", "2x0 OK", "-20 OK",
      " 200 OK"};

  void restart() {
    tearDown();
    setUp();
  }
  static ScriptedServer::Responder answered(const std::string &Status,
                                            const std::string &Field = "") {
    return [=](const std::string &R) {
      return answer(Status, idOf(R), Stamp + Field, "malformed");
    };
  }
  static std::string describe(std::string Status, const std::string &Got) {
    return Status.append(": ").append(Got);
  }
  static std::string interim(const std::string &Status) {
    return "HTTP/1.1 " + Status + "\r\n\r\n";
  }

public:
  // Guards against status 000 that reaches a caller, or is waited upon.
  void statusWhenNotOfHttpIsReplacedByAnotherServersAnswer() {
    for (const std::string &Status : Malformed) {
      restart();
      scriptFirst(answered(Status), served("second"));
      std::string Got = exchange(request("/safe/", "r1"));
      CPPUNIT_ASSERT_MESSAGE(describe(Status, Got), Got.ends_with("second"));
    }
  }

  void statusWhenNotOfHttpIsAFailureOfAnAtMostOnceRequest() {
    for (const std::string &Status : Malformed) {
      restart();
      scriptBoth(answered(Status));
      std::string Got = exchange(request("/once/", "r1"));
      CPPUNIT_ASSERT_MESSAGE(describe(Status, Got),
                             Got.starts_with("HTTP/1.1 502 "));
      CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
    }
  }

  void statusWhenNotOfHttpInAStreamIsReplacedByAnotherServers() {
    for (const std::string &Status : Malformed) {
      restart();
      scriptFirst(answered(Status, "Content-Type: text/event-stream\r\n"),
                  [](const std::string &R) {
                    return streamHead(idOf(R)) + chunk(event(1)) + "0\r\n\r\n";
                  });
      std::string Got = exchange(request("/stream/", "r1"));
      CPPUNIT_ASSERT_MESSAGE(describe(Status, Got),
                             Got.ends_with(chunk(event(1)) + "0\r\n\r\n"));
    }
  }

  void answerWhenAfterInterimOnesIsForwarded() {
    scriptBoth([](const std::string &R) {
      return interim("100 Continue") + interim("102 Processing") +
             interim("103 Early Hints") + served("final")(R);
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, "HTTP/1.1 "));
    CPPUNIT_ASSERT(Got.ends_with("final"));
  }

  void interimAnswersWhenTheyNeverEndAreAFailure() {
    scriptBoth([](const std::string &) {
      std::string Many;
      for (int I = 0; I < 1000; ++I)
        Many += interim("100 Continue");
      return Many;
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 502 "));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerStatusTest);

} // namespace ragwort::gateway
