//===- KeyedMessagesTest.cpp - Tests of KeyedMessages.h -------------------===//
#include "KeyedMessages.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::entry {

class KeyedMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyedMessagesTest);
  CPPUNIT_TEST(verdictWhenSentAndReceivedIsTheSame);
  CPPUNIT_TEST(messageWhenNoVerdictIsNone);
  CPPUNIT_TEST_SUITE_END();

  static journal::KeyedOutcome roundTrip(journal::KeyedOutcome V) {
    return verdictOf(messageOf(7, std::move(V))).value();
  }

public:
  void verdictWhenSentAndReceivedIsTheSame() {
    auto Said = std::get<journal::Answered>(
        roundTrip(journal::Answered{{201, "t", "serial 7", false}, true}));
    CPPUNIT_ASSERT_EQUAL(std::string("serial 7"), Said.Answer.Body);
    CPPUNIT_ASSERT(Said.IsReplay && !Said.Answer.IsKept);
    auto Not = std::get<journal::NotRun>(
        roundTrip(journal::NotRun{RefusalReason::Leaving}));
    CPPUNIT_ASSERT(Not.Reason == RefusalReason::Leaving);
    auto Open = std::get<journal::OutcomeUnknown>(
        roundTrip(journal::OutcomeUnknown{"why", true}));
    CPPUNIT_ASSERT(Open.IsJournalDown);
    auto To = std::get<journal::Redirected>(roundTrip(journal::Redirected{
        {Epoch{3}, "entry-2", Incarnation{4}, {"127.0.0.1", 5}}}));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), To.Owner.OwnerEpoch.Value);
    CPPUNIT_ASSERT_EQUAL(uint16_t(5), To.Owner.OwnerAddress.Port);
  }

  void messageWhenNoVerdictIsNone() {
    CPPUNIT_ASSERT(!verdictOf(wire::Message(wire::Hello())));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyedMessagesTest);

} // namespace ragwort::entry
