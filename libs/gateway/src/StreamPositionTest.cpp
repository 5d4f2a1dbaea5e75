//===- StreamPositionTest.cpp - Where a spoiled stream goes on ------------===//
//
// Servers that spoil the ids of events. Another server continues a stream only
// after an event that the caller is known to have; otherwise the stream is
// started elsewhere or cut.
//
//===----------------------------------------------------------------------===//
#include "StreamFixture.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class StreamPositionTest : public StreamFixture {
  CPPUNIT_TEST_SUITE(StreamPositionTest);
  CPPUNIT_TEST(streamWhenItsFirstIdIsContradictedLaterIsCut);
  CPPUNIT_TEST(streamWhenItsFirstIdIsContradictedAtOnceIsStartedElsewhere);
  CPPUNIT_TEST(streamWhenBrokenAfterItsOnlyIdIsCut);
  CPPUNIT_TEST(streamWhenItsSpoiledEventNeverComesIsCut);
  CPPUNIT_TEST(streamWhenItsFirstEventIsLostIsStartedElsewhere);
  CPPUNIT_TEST(streamsWhenTheirNumberingChangesAreServedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a stream that ends as complete after a first event with a
  // wrong id, since no server has an event after that.
  void streamWhenItsFirstIdIsContradictedLaterIsCut() {
    for (const std::string &First :
         {event(91), event(2), std::string("data: x\n\n")}) {
      tearDown();
      setUp();
      warmUp();
      scriptFirst(
          [&](const std::string &R) {
            return streamHead(idOf(R)) + chunk(First);
          },
          continued(3));
      auto C = call(request("/slow/", "r1"));
      runUntil([&C] { return count(C->Received, "data: x") == 1; });
      Servers[firstUsed()]->sendLate(chunk(event(First == event(2) ? 1 : 2)) +
                                     chunk(event(3)) + "0\r\n\r\n");
      runUntil([&C] {
        return C->IsEnded || C->Received.ends_with("\r\n0\r\n\r\n");
      });
      CPPUNIT_ASSERT_MESSAGE(First, C->IsEnded);
      CPPUNIT_ASSERT_MESSAGE(First, C->Received.ends_with(chunk(First)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(First, size_t(1), requestsSeen().size());
    }
  }

  // Guards against the same where the events come in one write: the caller has
  // nothing yet, so another server can start the stream.
  void streamWhenItsFirstIdIsContradictedAtOnceIsStartedElsewhere() {
    for (const std::string &Begin : {event(91) + event(2), event(2) + event(1),
                                     "data: x\n\n" + event(2)}) {
      tearDown();
      setUp();
      warmUp();
      scriptFirst(
          [&](const std::string &R) {
            return streamHead(idOf(R)) + chunk(Begin + event(3)) + "0\r\n\r\n";
          },
          continued(3));
      checkStream(exchange(request("/stream/", "r1")), 3);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Begin, size_t(2), requestsSeen().size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Begin, size_t(0),
          count(requestsSeen()[0] + requestsSeen()[1], "Last-Event-Id"));
    }
  }

  // Guards against a continuation after an id that nothing confirms.
  void streamWhenBrokenAfterItsOnlyIdIsCut() {
    warmUp();
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(event(91)) + ScriptedServer::Reset;
        },
        continued(3));
    auto C = call(request("/stream/", "r1"));
    runUntil([&C] { return C->IsEnded || C->Received.ends_with("0\r\n\r\n"); });
    CPPUNIT_ASSERT(C->IsEnded);
  }

  // Guards against a stream that ends as complete without the event whose id
  // was wrong.
  void streamWhenItsSpoiledEventNeverComesIsCut() {
    warmUp();
    scriptFirst(begun(chunk(event(7)) + "0\r\n\r\n"), continued(2));
    auto C = call(request("/stream/", "r1"));
    runUntil([&C] { return C->IsEnded || C->Received.ends_with("0\r\n\r\n"); });
    CPPUNIT_ASSERT(C->IsEnded);
  }

  /// Serves as many streams as tell how those of the service begin.
  void learnStarts() {
    for (uint32_t I = 0; I < StreamStarts::MinStreams; ++I) {
      scriptBoth(continued(2));
      checkStream(exchange(request("/stream/", "l" + std::to_string(I))), 2);
    }
    for (auto &S : Servers) {
      S->Script.clear();
      S->Requests.clear();
    }
  }

  // Guards against a stream that ends as complete without its first event.
  void streamWhenItsFirstEventIsLostIsStartedElsewhere() {
    for (const std::string &Begin :
         {event(2), event(91), std::string("data: x\n\n")}) {
      tearDown();
      setUp();
      warmUp();
      learnStarts();
      scriptFirst(
          [&](const std::string &R) {
            return streamHead(idOf(R)) + chunk(Begin) + "0\r\n\r\n";
          },
          continued(3));
      checkStream(exchange(request("/stream/", "r1")), 3);
    }
  }

  // Guards against refusing a service for ever that numbers its events anew.
  void streamsWhenTheirNumberingChangesAreServedAgain() {
    warmUp();
    learnStarts();
    for (auto &S : Servers)
      S->Always = [](const std::string &R) {
        return streamHead(idOf(R)) + chunk(event(5) + event(6)) + "0\r\n\r\n";
      };
    std::string Got;
    for (uint32_t I = 0; I <= StreamStarts::MaxRejected; ++I)
      Got = exchange(request("/stream/", "r" + std::to_string(I)));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, event(6)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamPositionTest);

} // namespace ragwort::gateway
