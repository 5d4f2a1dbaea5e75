//===- KeyedMessagesTest.cpp - Tests of KeyedMessages.h -------------------===//
#include "KeyedMessages.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::entry {

class KeyedMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyedMessagesTest);
  CPPUNIT_TEST(outcomeWhenEncodedAndDecodedIsEqual);
  CPPUNIT_TEST(outcomeWhenMessageHasNoneIsEmpty);
  CPPUNIT_TEST_SUITE_END();

  static journal::KeyedOutcome roundTrip(journal::KeyedOutcome Outcome) {
    return outcomeOf(messageOf(7, std::move(Outcome))).value();
  }

public:
  void outcomeWhenEncodedAndDecodedIsEqual() {
    auto Answered = std::get<journal::Answered>(
        roundTrip(journal::Answered{{201, "t", "serial 7", false}, true}));
    CPPUNIT_ASSERT_EQUAL(std::string("serial 7"), Answered.Answer.Body);
    CPPUNIT_ASSERT(Answered.IsReplay && !Answered.Answer.IsKept);
    auto NotRun = std::get<journal::NotRun>(
        roundTrip(journal::NotRun{RefusalReason::Leaving}));
    CPPUNIT_ASSERT(NotRun.Reason == RefusalReason::Leaving);
    auto Unknown = std::get<journal::OutcomeUnknown>(
        roundTrip(journal::OutcomeUnknown{"why", true}));
    CPPUNIT_ASSERT(Unknown.IsJournalDown);
    auto Redirected =
        std::get<journal::Redirected>(roundTrip(journal::Redirected{
            {Epoch{3}, "entry-2", Incarnation{4}, {"127.0.0.1", 5}}}));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Redirected.Owner.OwnerEpoch.Value);
    CPPUNIT_ASSERT_EQUAL(uint16_t(5), Redirected.Owner.OwnerAddress.Port);
  }

  void outcomeWhenMessageHasNoneIsEmpty() {
    CPPUNIT_ASSERT(!outcomeOf(wire::Message(wire::Hello())));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyedMessagesTest);

} // namespace ragwort::entry
