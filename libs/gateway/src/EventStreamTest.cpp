//===- EventStreamTest.cpp - Tests of EventStream.h -----------------------===//
#include "ragwort/gateway/EventStream.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class EventStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventStreamTest);
  CPPUNIT_TEST(eventsWhenSplitAnywhereAreReassembled);
  CPPUNIT_TEST(responseWhenInterruptedWithinAnEventDropsThePartialEvent);
  CPPUNIT_TEST(eventWhenOneIsMissingIsRejected);
  CPPUNIT_TEST(eventWhenRepeatedIsRejected);
  CPPUNIT_TEST(eventWhenItsIdIsNoNumberAfterOthersIsRejected);
  CPPUNIT_TEST(commentsWhenBetweenEventsAreAccepted);
  CPPUNIT_TEST(eventsWhenEarlierOnesHadIdsNeedOne);
  CPPUNIT_TEST(eventsWhenWithoutIdsAreAccepted);
  CPPUNIT_TEST(streamWhenResumedStartsAfterTheCallersId);
  CPPUNIT_TEST(eventWhenItNeverEndsIsRejected);
  CPPUNIT_TEST(positionWhenOnlyOneIdIsKnownIsUnconfirmed);
  CPPUNIT_TEST(positionWhenTheFirstIdWasExpectedIsConfirmed);
  CPPUNIT_TEST(eventWithAnIdAfterOneWithoutIsRejected);
  CPPUNIT_TEST(eventWhenItHoldsOtherBytesIsRejected);
  CPPUNIT_TEST(eventWhenRejectedIsMissingUnlessItIsRepeated);
  CPPUNIT_TEST_SUITE_END();

  static std::string event(uint64_t Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }

public:
  void eventsWhenSplitAnywhereAreReassembled() {
    std::string All = event(1) + "id: 2\r\ndata: y\r\n\r\n" + event(3);
    for (size_t Cut = 0; Cut <= All.size(); ++Cut) {
      EventStream Events;
      CPPUNIT_ASSERT(Events.push(std::string_view(All).substr(0, Cut)));
      std::string Out = Events.takeCompleteEvents();
      CPPUNIT_ASSERT(Events.push(std::string_view(All).substr(Cut)));
      Out += Events.takeCompleteEvents();
      CPPUNIT_ASSERT_EQUAL(All, Out);
      CPPUNIT_ASSERT(!Events.isEventMissing());
      CPPUNIT_ASSERT_EQUAL(uint64_t(3), *Events.lastId());
    }
  }

  void responseWhenInterruptedWithinAnEventDropsThePartialEvent() {
    EventStream Events;
    CPPUNIT_ASSERT(Events.push(event(1) + "id: 2\nda"));
    CPPUNIT_ASSERT(Events.isEventMissing());
    CPPUNIT_ASSERT_EQUAL(event(1), Events.takeCompleteEvents());
    EventStream Continued;
    Continued.resumeAfter(*Events.lastId());
    CPPUNIT_ASSERT(Continued.push(event(2)));
    CPPUNIT_ASSERT_EQUAL(event(2), Continued.takeCompleteEvents());
  }

  void eventWhenOneIsMissingIsRejected() {
    EventStream Events;
    CPPUNIT_ASSERT(Events.push(event(1)));
    CPPUNIT_ASSERT(!Events.push(event(3)));
    CPPUNIT_ASSERT_EQUAL(event(1), Events.takeCompleteEvents());
  }

  void eventWhenRepeatedIsRejected() {
    EventStream Events;
    CPPUNIT_ASSERT(Events.push(event(1)));
    CPPUNIT_ASSERT(!Events.push(event(1)));
    CPPUNIT_ASSERT_EQUAL(event(1), Events.takeCompleteEvents());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), *Events.lastId());
  }

  void eventWhenItsIdIsNoNumberAfterOthersIsRejected() {
    for (const char *Line :
         {"id: 2x", "id: 2 3", "id: 02", "id:", "data: x", "HTTP/1.1 200 OK"}) {
      EventStream Events;
      CPPUNIT_ASSERT(Events.push(event(1)));
      CPPUNIT_ASSERT_MESSAGE(Line, !Events.push(std::string(Line) + "\n\n"));
    }
  }

  void commentsWhenBetweenEventsAreAccepted() {
    EventStream Events;
    std::string All = ": first\n\n" + event(1) + ": still here\n\n" +
                      "retry: 1000\n\n" + event(2) + "\n\n";
    CPPUNIT_ASSERT(Events.push(All));
    CPPUNIT_ASSERT_EQUAL(All, Events.takeCompleteEvents());
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), *Events.lastId());
  }

  void eventsWhenEarlierOnesHadIdsNeedOne() {
    EventStream Resumed;
    Resumed.resumeAfter(2);
    CPPUNIT_ASSERT(Resumed.push(": first\n\n"));
    CPPUNIT_ASSERT(Resumed.isPositionConfirmed());
    CPPUNIT_ASSERT(Resumed.push("data: x\n\n"));
    CPPUNIT_ASSERT(!Resumed.isPositionConfirmed());
    EventStream Continued;
    Continued.resumeAfter(2);
    Continued.requireIds();
    CPPUNIT_ASSERT(!Continued.push("data: x\n\n"));
  }

  void eventsWhenWithoutIdsAreAccepted() {
    EventStream Events;
    CPPUNIT_ASSERT(Events.push("data: a\n\ndata: b\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("data: a\n\ndata: b\n\n"),
                         Events.takeCompleteEvents());
    CPPUNIT_ASSERT(!Events.lastId());
  }

  void streamWhenResumedStartsAfterTheCallersId() {
    EventStream Events;
    Events.resumeAfter(12);
    CPPUNIT_ASSERT(Events.push(event(13)));
    EventStream Other;
    Other.resumeAfter(12);
    CPPUNIT_ASSERT(!Other.push(event(1)));
  }

  void eventWhenItNeverEndsIsRejected() {
    EventStream Events;
    const std::string Piece(64 * KiB, 'x');
    size_t Pieces = 0;
    while (Pieces < 1000 && Events.push(Piece))
      ++Pieces;
    CPPUNIT_ASSERT(Pieces < 1000);
  }

  // Guards against continuing a stream from a spoiled first id.
  void positionWhenOnlyOneIdIsKnownIsUnconfirmed() {
    EventStream Events;
    CPPUNIT_ASSERT(Events.push(event(91)));
    CPPUNIT_ASSERT(!Events.isPositionConfirmed());
    CPPUNIT_ASSERT(!Events.push(event(2)));
    CPPUNIT_ASSERT(!Events.isPositionConfirmed());
    EventStream Sound;
    CPPUNIT_ASSERT(Sound.push(": first\n\n" + event(5) + event(6)));
    CPPUNIT_ASSERT(Sound.isPositionConfirmed());
    CPPUNIT_ASSERT_EQUAL(uint64_t(5), *Sound.firstId());
    EventStream Continued;
    Continued.resumeAfter(3);
    CPPUNIT_ASSERT(Continued.push(event(4)));
    CPPUNIT_ASSERT(Continued.isPositionConfirmed());
  }

  // Guards against a stream that has lost its first event.
  void positionWhenTheFirstIdWasExpectedIsConfirmed() {
    EventStream Events;
    Events.expectFirst(0);
    CPPUNIT_ASSERT(Events.push(": first\n\n" + event(0)));
    CPPUNIT_ASSERT(Events.isPositionConfirmed());
    for (const std::string &Text : {event(1), std::string("data: x\n\n")}) {
      EventStream Other;
      Other.expectFirst(0);
      CPPUNIT_ASSERT(!Other.push(Text));
      CPPUNIT_ASSERT(!Other.isPositionConfirmed());
    }
  }

  // Guards against a first event that has lost its id.
  void eventWithAnIdAfterOneWithoutIsRejected() {
    EventStream Events;
    CPPUNIT_ASSERT(Events.push("data: x\n\n"));
    CPPUNIT_ASSERT(!Events.push(event(2)));
    CPPUNIT_ASSERT(!Events.isPositionConfirmed());
  }

  // Guards against events that a wrong chunk size or a lost line end has
  // joined.
  void eventWhenItHoldsOtherBytesIsRejected() {
    for (const char *Text :
         {"id: 2\ndata: x\nid: 3\ndata: y\n\n", "\r\n14\r\nid: 2\ndata: x\n\n",
          "id: 2\ndata: x\n0\r\n\r\n", "i", "id: 2\ndat\n\n"}) {
      EventStream Events;
      CPPUNIT_ASSERT(Events.push(event(1)));
      bool IsAccepted = Events.push(std::string(Text) + "\n\n");
      CPPUNIT_ASSERT_MESSAGE(Text, !IsAccepted);
    }
    EventStream Sound;
    CPPUNIT_ASSERT(Sound.push("weight-versions: 3\nid: 2\nevent\ndata\n\n"));
  }

  // Guards against a stream that ends without the event that was spoiled.
  void eventWhenRejectedIsMissingUnlessItIsRepeated() {
    const std::pair<std::string, bool> Rows[] = {{event(2), false},
                                                 {event(1), false},
                                                 {event(4), true},
                                                 {"data: x\n\n", true},
                                                 {"id: 2\nid: 3\n\n", true}};
    for (const auto &[Text, IsMissing] : Rows) {
      EventStream Events;
      CPPUNIT_ASSERT(Events.push(event(1) + event(2)));
      CPPUNIT_ASSERT_MESSAGE(Text, !Events.push(Text));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, IsMissing, Events.isEventMissing());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamTest);

} // namespace ragwort::gateway
