//===- SpoiledAnswerTest.cpp - Answers of servers that misbehave ----------===//
//
// Servers that spoil an event, repeat an answer or continue a stream with
// something else. The caller must receive one whole answer, a failure, or an
// answer that visibly ends early.
//
//===----------------------------------------------------------------------===//
#include "StreamFixture.h"
#include "ragwort/base/Bytes.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class SpoiledAnswerTest : public StreamFixture {
  CPPUNIT_TEST_SUITE(SpoiledAnswerTest);
  CPPUNIT_TEST(streamWhenItsLastEventIsSpoiledIsContinuedElsewhere);
  CPPUNIT_TEST(streamWhenSpoiledAfterItHasBegunIsContinuedElsewhere);
  CPPUNIT_TEST(streamWhenItsLastEventIsRepeatedKeepsEveryEvent);
  CPPUNIT_TEST(streamWhenAnEventHasNoIdAfterOthersIsContinuedElsewhere);
  CPPUNIT_TEST(answerWhenTooLargeIsReplacedByAnotherServers);
  CPPUNIT_TEST(streamWhenContinuedWithoutEventsIsCut);
  CPPUNIT_TEST(streamWhenItsNextEventNeverComesIsCut);
  CPPUNIT_TEST(streamWhenOnlyACommentWasSentIsStartedElsewhere);
  CPPUNIT_TEST(streamWhenItsTypeIsInAnotherCaseIsContinued);
  CPPUNIT_TEST(streamWhenWithoutLengthAndRepeatedIsForwardedOnce);
  CPPUNIT_TEST(streamWhenWithoutLengthAndBrokenByAnAnswerIsContinuedElsewhere);
  CPPUNIT_TEST(answerWhenWithoutLengthAndRepeatedIsNotForwarded);
  CPPUNIT_TEST(answerWhenItHoldsAnEarlierOneIsNotForwarded);
  CPPUNIT_TEST(answerWhenBrokenOffAndRepeatedIsNotForwarded);
  CPPUNIT_TEST(streamWhenBrokenOffAndRepeatedIsContinuedElsewhere);
  CPPUNIT_TEST(answerWhenItsHeadIsBrokenOffIsNotForwarded);
  CPPUNIT_TEST(answerWhenItsHeadIsBrokenOffAndBegunAgainIsNotForwarded);
  CPPUNIT_TEST(answerWhenACopyOfItIsBrokenOffIsNotForwarded);
  CPPUNIT_TEST(answerWhenBrokenOffLikeItsCopyIsNotForwarded);
  CPPUNIT_TEST(answerWhenItQuotesAnAnswerIsForwarded);
  CPPUNIT_TEST(answerWhenRepeatedLateIsNotTakenForTheNext);
  CPPUNIT_TEST(answerWhenRepeatedWithinTheNextIsNotForwarded);
  CPPUNIT_TEST_SUITE_END();

public:
  void streamWhenItsLastEventIsSpoiledIsContinuedElsewhere() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(events(1, 2) + event(7)) +
                 "0\r\n\r\n";
        },
        continued(3));
    checkStream(exchange(request("/stream/", "r1")), 3);
    CPPUNIT_ASSERT_EQUAL(size_t(2), requestsSeen().size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(requestsSeen()[0] + requestsSeen()[1],
                                          "Last-Event-Id: 2\r\n"));
  }

  void streamWhenSpoiledAfterItHasBegunIsContinuedElsewhere() {
    warmUp();
    scriptFirst(begun(), continued(3));
    auto C = call(request("/slow/", "r1"));
    runUntil([&C] { return count(C->Received, "id: 2") == 1; });
    Servers[firstUsed()]->sendLate(chunk(event(7)) + "0\r\n\r\n");
    runUntil([&C] { return C->Received.ends_with("0\r\n\r\n"); });
    checkStream(C->Received, 3);
  }

  void streamWhenItsLastEventIsRepeatedKeepsEveryEvent() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(events(1, 3) + event(3)) +
                 "0\r\n\r\n";
        },
        continued(3));
    checkStream(exchange(request("/stream/", "r1")), 3);
  }

  void streamWhenAnEventHasNoIdAfterOthersIsContinuedElsewhere() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(events(1, 2) + "data: y\n\n") +
                 "0\r\n\r\n";
        },
        continued(3));
    checkStream(exchange(request("/stream/", "r1")), 3);
  }

  void answerWhenTooLargeIsReplacedByAnotherServers() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return answer("200 OK", idOf(R), Stamp,
                        std::string(8 * MiB + 1, 'x'));
        },
        served("second"));
    std::string Got = exchange(request("/safe/", "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, "HTTP/1.1 "));
    CPPUNIT_ASSERT(Got.ends_with("second"));
  }

  void streamWhenContinuedWithoutEventsIsCut() {
    const std::pair<const char *, const char *> Answers[] = {
        {"200 OK", "Content-Type: application/json\r\n"},
        {"204 No Content", ""},
        {"204 No Content", "Content-Type: text/event-stream\r\n"},
        {"302 Found", "Location: /\r\n"},
        {"400 Bad Request", ""},
        {"404 Not Found", "Content-Type: text/plain\r\n"},
        {"404 Not Found", "Content-Type: text/event-stream\r\n"},
        {"429 Too Many Requests", ""},
        {"500 Internal Server Error", ""},
        {"503 Service Unavailable", "Ragwort-Not-Run: 1\r\n"}};
    for (const auto &[Status, Field] : Answers) {
      tearDown();
      setUp();
      warmUp();
      std::string Other = std::string(Status) + "\n" + Field;
      scriptFirst(begun(ScriptedServer::Reset),
                  [Status = std::string(Status),
                   Field = std::string(Field)](const std::string &R) {
                    bool HasBody = !Status.starts_with("204");
                    return answer(Status, idOf(R), Stamp + Field,
                                  HasBody ? "another answer" : "");
                  });
      auto C = call(request("/stream/", "r1"));
      runUntil([&C] {
        return C->IsEnded || C->Received.ends_with("0\r\n\r\n") ||
               count(C->Received, "HTTP/1.1 ") > 1;
      });
      CPPUNIT_ASSERT_MESSAGE(Other, C->IsEnded);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Other, size_t(1),
                                   count(C->Received, "HTTP/1.1 "));
      CPPUNIT_ASSERT_MESSAGE(Other, C->Received.ends_with(chunk(events(1, 2))));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Other, size_t(2), requestsSeen().size());
    }
  }

  void streamWhenItsNextEventNeverComesIsCut() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(events(1, 2) + "id: 3\nda") +
                 ScriptedServer::Reset;
        },
        continued(2));
    auto C = call(request("/stream/", "r1"));
    runUntil([&C] { return C->IsEnded || C->Received.ends_with("0\r\n\r\n"); });
    CPPUNIT_ASSERT(C->IsEnded);
  }

  void streamWhenOnlyACommentWasSentIsStartedElsewhere() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(": wait\n\n") +
                 ScriptedServer::Reset;
        },
        continued(3));
    std::string Got = exchange(request("/stream/", "r1"));
    ResponseParser P;
    P.feed(Got);
    CPPUNIT_ASSERT_EQUAL(": wait\n\n" + events(1, 3), P.takeBody());
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
  }

  void streamWhenItsTypeIsInAnotherCaseIsContinued() {
    warmUp();
    scriptFirst(begun(ScriptedServer::Reset), [](const std::string &R) {
      std::string Answer = continued(3)(R);
      Answer.replace(Answer.find("text/event"), 10, "Text/Event");
      return Answer;
    });
    checkStream(exchange(request("/stream/", "r1")), 3);
  }

  void streamWhenWithoutLengthAndRepeatedIsForwardedOnce() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return unframedStreamHead(idOf(R)) + events(1, 3);
        },
        continued(3));
    auto C = call(request("/slow/", "r1"));
    runUntil([&C] { return count(C->Received, "id: 3") == 1; });
    Servers[firstUsed()]->sendLate(unframedStreamHead("r1"));
    runFor(std::chrono::milliseconds(20));
    Servers[firstUsed()]->sendLate(events(1, 3) + ScriptedServer::Close);
    runUntil([&C] { return C->Received.ends_with("0\r\n\r\n"); });
    checkStream(C->Received, 3);
  }

  void streamWhenWithoutLengthAndBrokenByAnAnswerIsContinuedElsewhere() {
    const std::string Heads[] = {
        unframedStreamHead("r1"), streamHead("r0"),
        "HTTP/1.1 503 Full\r\nRagwort-Request-Id: r0\r\n"
        "Content-Length: 0\r\n\r\n"};
    std::string Whole = events(1, 3);
    for (const std::string &Head : Heads) {
      for (size_t At = 0; At < Whole.size(); ++At) {
        tearDown();
        setUp();
        warmUp();
        scriptFirst(
            [&](const std::string &R) {
              std::string Text = unframedStreamHead(idOf(R));
              Text.append(Whole, 0, At).append(Head).append(Whole, At);
              return Text.append(ScriptedServer::Close);
            },
            continued(3));
        checkStream(exchange(request("/stream/", "r1")), 3);
      }
    }
  }

  void answerWhenWithoutLengthAndRepeatedIsNotForwarded() {
    auto Twice = [](const std::string &R) {
      std::string Once = "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) +
                         "\r\n" + Stamp + "\r\nfirst";
      return Once + Once + ScriptedServer::Close;
    };
    scriptBoth(Twice);
    CPPUNIT_ASSERT(
        exchange(request("/once/", "r1")).starts_with("HTTP/1.1 502 "));
    tearDown();
    setUp();
    scriptFirst(Twice, served("second"));
    CPPUNIT_ASSERT(exchange(request("/safe/", "r2")).ends_with("second"));
  }

  void answerWhenItHoldsAnEarlierOneIsNotForwarded() {
    const std::string Earlier = answer("200 OK", "r0", Stamp, "earlier");
    for (bool HasLength : {false, true}) {
      auto WithEarlier = [&](const std::string &R) {
        std::string Text = "HTTP/1.1 200 OK\r\nRagwort-Request-Id: ";
        Text.append(idOf(R)).append("\r\n").append(Stamp);
        if (HasLength)
          Text.append("Content-Length: 9\r\n");
        return Text.append("\r\nown").append(Earlier) + ScriptedServer::Close;
      };
      tearDown();
      setUp();
      scriptBoth(WithEarlier);
      CPPUNIT_ASSERT(
          exchange(request("/once/", "r1")).starts_with("HTTP/1.1 502 "));
      tearDown();
      setUp();
      scriptFirst(WithEarlier, served("second"));
      CPPUNIT_ASSERT(exchange(request("/safe/", "r2")).ends_with("second"));
    }
    tearDown();
    setUp();
    scriptBoth(served(Earlier));
    CPPUNIT_ASSERT(exchange(request("/once/", "r3")).ends_with(Earlier));
  }

  void answerWhenBrokenOffAndRepeatedIsNotForwarded() {
    for (size_t Missing : {10, 90, 300}) {
      std::string Text = std::to_string(Missing);
      auto Whole = [](const std::string &R) {
        return answer("200 OK", idOf(R), Stamp, std::string(400, 'x'));
      };
      auto Twice = [&](const std::string &R) {
        std::string Once = Whole(R);
        return Once.substr(0, Once.size() - Missing) + Once;
      };
      tearDown();
      setUp();
      scriptBoth(Twice);
      CPPUNIT_ASSERT_MESSAGE(
          Text, exchange(request("/once/", "r1")).starts_with("HTTP/1.1 502 "));
      tearDown();
      setUp();
      scriptFirst(Twice, Whole);
      CPPUNIT_ASSERT_MESSAGE(
          Text,
          exchange(request("/safe/", "r2")).ends_with(std::string(400, 'x')));
    }
  }

  void streamWhenBrokenOffAndRepeatedIsContinuedElsewhere() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(events(1, 2)) +
                 "200\r\nid: 3\ndata: x";
        },
        continued(3));
    auto C = call(request("/slow/", "r1"));
    runUntil([&C] { return count(C->Received, "id: 2") == 1; });
    Servers[firstUsed()]->sendLate(streamHead("r1") + chunk(events(1, 3)) +
                                   "0\r\n\r\n");
    runUntil([&C] { return C->Received.ends_with("0\r\n\r\n"); });
    checkStream(C->Received, 3);
  }

  // Guards against a success with an empty or short body after a server that
  // stops within its head and closes.
  void answerWhenItsHeadIsBrokenOffIsNotForwarded() {
    std::string Framings[] = {"Content-Length: 4\r\n",
                              "Transfer-Encoding: chunked\r\n", ""};
    for (const std::string &Framing : Framings) {
      std::string Fields = Stamp + Framing + "\r\n";
      auto Head = [&](const std::string &R) {
        return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) + "\r\n" +
               Fields;
      };
      size_t Size = Head(request("/", "r1")).size();
      for (size_t Cut = 1; Cut < Size; ++Cut) {
        bool IsReset = Cut % 2 == 0;
        auto Broken = [&](const std::string &R) {
          return Head(R).substr(0, Cut) +
                 (IsReset ? ScriptedServer::Reset : ScriptedServer::Close);
        };
        std::string Text = Framing + std::to_string(Cut);
        tearDown();
        setUp();
        scriptBoth(Broken);
        std::string Got = exchange(request("/once/", "r1"));
        CPPUNIT_ASSERT_MESSAGE(Text, Got.starts_with("HTTP/1.1 502 "));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, size_t(1), requestsSeen().size());
        for (auto &S : Servers)
          S->Script.clear();
        scriptFirst(Broken, served("second"));
        Got = exchange(request("/safe/", "r2"));
        CPPUNIT_ASSERT_MESSAGE(Text, Got.ends_with("\r\n\r\nsecond"));
        for (auto &S : Servers)
          S->Script.clear();
        scriptFirst(Broken, continued(2));
        checkStream(exchange(request("/stream/", "r3")), 2);
      }
    }
  }

  // Guards against an answer with the fields of a head that broke off.
  void answerWhenItsHeadIsBrokenOffAndBegunAgainIsNotForwarded() {
    auto Whole = [](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp, "first");
    };
    size_t Size = Whole(request("/", "r1")).find("\r\n\r\n") + 4;
    for (size_t Cut = 1; Cut < Size; ++Cut) {
      auto Twice = [&](const std::string &R) {
        return Whole(R).substr(0, Cut) + Whole(R);
      };
      tearDown();
      setUp();
      scriptBoth(Twice);
      std::string Got = exchange(request("/once/", "r1"));
      CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 502 "));
    }
  }

  // Guards against an answer whose missing bytes a broken off copy fills.
  void answerWhenBrokenOffLikeItsCopyIsNotForwarded() {
    for (size_t Missing : {1, 9, 12, 15}) {
      auto Twice = [&](const std::string &R) {
        std::string Once = answer("200 OK", idOf(R), Stamp, "the first answer");
        return Once.substr(0, Once.size() - Missing) +
               Once.substr(0, Missing + 16);
      };
      tearDown();
      setUp();
      scriptFirst(Twice, served("second"));
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(Missing),
          exchange(request("/safe/", "r1")).ends_with("second"));
    }
  }

  // Guards against an answer without a length that takes in the beginning of a
  // second one.
  void answerWhenACopyOfItIsBrokenOffIsNotForwarded() {
    for (size_t Copied : {4, 9, 10, 14, 17, 30, 50}) {
      auto Twice = [&](const std::string &R) {
        std::string Once = "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) +
                           "\r\n" + Stamp + "\r\nfirst";
        std::string Text = Once;
        Text.append(Once, 0, Copied);
        return Text.append(ScriptedServer::Close);
      };
      tearDown();
      setUp();
      scriptFirst(Twice, served("second"));
      CPPUNIT_ASSERT(exchange(request("/safe/", "r1")).ends_with("second"));
    }
  }

  void answerWhenItQuotesAnAnswerIsForwarded() {
    const std::string Quote = "> HTTP/1.1 200 OK\r\n> Ragwort-Request-Id: a\r\n"
                              "HTTP/1.1 200 means success\r\nSee also 404.\r\n";
    scriptBoth(served(Quote));
    CPPUNIT_ASSERT(exchange(request("/once/", "r1")).ends_with(Quote));
  }

  void answerWhenRepeatedLateIsNotTakenForTheNext() {
    Servers.resize(1);
    configure();
    ScriptedServer &Server = *Servers[0];
    auto First = [](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp, "first");
    };
    // The second copy arrives on the idle connection, after the next request,
    // and in the same segment as the answer to it.
    for (int Late = 0; Late < 3; ++Late) {
      std::string Before = "a" + std::to_string(Late);
      std::string Next = "b" + std::to_string(Late);
      std::string Copy = answer("200 OK", Before, Stamp, "first");
      Server.Script = {First, literal(ScriptedServer::Silence)};
      CPPUNIT_ASSERT(exchange(request("/once/", Before)).ends_with("first"));
      size_t Seen = Server.Requests.size();
      if (Late == 0) {
        Server.sendLate(Copy);
        runFor(std::chrono::milliseconds(20));
      }
      auto C = call(request("/once/", Next));
      runUntil([&] { return Server.Requests.size() == Seen + 1; });
      if (Late == 1) {
        Server.sendLate(Copy.substr(0, Copy.size() - 2));
        runFor(std::chrono::milliseconds(20));
        Server.sendLate(Copy.substr(Copy.size() - 2));
      }
      CPPUNIT_ASSERT(C->Received.empty());
      Server.sendLate((Late == 2 ? Copy : "") +
                      answer("200 OK", Next, Stamp, "second"));
      runUntil([&C] { return !C->Received.empty(); });
      CPPUNIT_ASSERT(C->Received.ends_with("second"));
      CPPUNIT_ASSERT_EQUAL(size_t(1), count(C->Received, "HTTP/1.1 "));
    }
  }

  void answerWhenRepeatedWithinTheNextIsNotForwarded() {
    warmUp();
    scriptFirst(begun(), continued(3));
    auto C = call(request("/slow/", "r1"));
    runUntil([&C] { return count(C->Received, "id: 2") == 1; });
    Servers[firstUsed()]->sendLate(answer("200 OK", "warm0", Stamp, "warm") +
                                   chunk(event(3)) + "0\r\n\r\n");
    runUntil([&C] { return C->Received.ends_with("0\r\n\r\n"); });
    checkStream(C->Received, 3);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpoiledAnswerTest);

} // namespace ragwort::gateway
