//===- ShardOwnerTest.cpp - Tests of ShardOwner.h -------------------------===//
#include "ragwort/journal/ShardOwner.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::journal {

using namespace std::chrono_literals;

class ShardOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardOwnerTest);
  CPPUNIT_TEST(attemptWhenIntentIsNotCommittedIsNotStarted);
  CPPUNIT_TEST(repeatedKeyWhenCompletedGetsTheSameAnswer);
  CPPUNIT_TEST(repeatedKeyWhenRunningWaitsForTheSameAnswer);
  CPPUNIT_TEST(keyWhenUsedForAnotherRequestIsRefused);
  CPPUNIT_TEST(appendWhenAnswerIsLostIsConfirmedByReadingTheLog);
  CPPUNIT_TEST(appendWhenTimedOutIsUnknownAndNeverStarts);
  CPPUNIT_TEST(ownerWhenAppendConflictsRedirectsCallersToNewOwner);
  CPPUNIT_TEST(newOwnerWhenIntentHasNoConclusionQueriesAgentFirst);
  CPPUNIT_TEST(newOwnerWhenAgentWasRestartedAnswersUnknownFromThenOn);
  CPPUNIT_TEST(requestWhenTableServiceIsDownIsUnknownAtOnce);
  CPPUNIT_TEST(refusalWhenAttemptNeverStartedIsSentAfterItsCommit);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  ShardOwner Owner{{0, "entry-1", {11}, {"127.0.0.1", 1}}, OwnerLimits()};
  const KeyId Key{"k"};
  std::vector<Action> Actions;

  void takeActions() { Actions = Owner.takeActions(); }

  template <class T> const T *find() const {
    for (const Action &A : Actions)
      if (const T *Found = std::get_if<T>(&A))
        return Found;
    return nullptr;
  }

  template <class Outcome> const Outcome *outcomeOf(uint64_t Ticket) const {
    for (const Action &A : Actions)
      if (const Reply *R = std::get_if<Reply>(&A))
        if (R->Ticket == Ticket)
          return std::get_if<Outcome>(&R->Value);
    return nullptr;
  }

  void request(uint64_t Ticket, const char *Fingerprint = "f") {
    KeyedRequest R;
    R.Ticket = Ticket;
    R.Key = Key;
    R.Fingerprint = Fingerprint;
    R.To = {"agent-1", {5}, {}};
    Owner.onRequest(R, Clock.now());
    takeActions();
  }

  Head ownHead() const { return {Epoch{1}, "entry-1", {11}, {"127.0.0.1", 1}}; }

  /// Makes the owner load \p Log and serve the shard.
  void serve(std::vector<Batch> Log = {}) {
    request(99, "warm-up");
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(Log, true, Clock.now());
    takeActions();
    if (find<AppendBatch>())
      commit();
    takeActions();
  }

  void commit() {
    Owner.onAppended(WriteResult::Committed, Clock.now());
    takeActions();
  }

  /// Serves the shard and starts an attempt for Key with ticket 1.
  Intent startAttempt() {
    Owner.onHead(ownHead(), 4, Clock.now());
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    commit();
    return find<StartAttempt>()->AttemptIntent;
  }

  void endAttempt(const Intent &What, AttemptResult Result,
                  const char *Body = "") {
    Owner.onAttemptEnded(Key, What.Attempt, Result, {200, "t", Body, true},
                         RefusalReason::Leaving, std::nullopt, Clock.now());
    takeActions();
  }

public:
  void attemptWhenIntentIsNotCommittedIsNotStarted() {
    request(1);
    CPPUNIT_ASSERT(find<ReadHead>());
    Owner.onHead(Head(), 0, Clock.now());
    takeActions();
    CPPUNIT_ASSERT_EQUAL(uint64_t(1),
                         find<ClaimHead>()->NewHead.OwnerEpoch.Value);
    Owner.onClaimed();
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    takeActions();
    CPPUNIT_ASSERT(find<AppendBatch>());
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), find<AppendBatch>()->HeadRowVersion);
    CPPUNIT_ASSERT(!find<StartAttempt>());
    commit();
    CPPUNIT_ASSERT(find<StartAttempt>());
  }

  void repeatedKeyWhenCompletedGetsTheSameAnswer() {
    endAttempt(startAttempt(), AttemptResult::Completed, "serial 7");
    CPPUNIT_ASSERT(!outcomeOf<Answered>(1)->IsReplay);
    request(2);
    CPPUNIT_ASSERT_EQUAL(std::string("serial 7"),
                         outcomeOf<Answered>(2)->Answer.Body);
    CPPUNIT_ASSERT(outcomeOf<Answered>(2)->IsReplay);
  }

  void repeatedKeyWhenRunningWaitsForTheSameAnswer() {
    Intent What = startAttempt();
    request(2);
    CPPUNIT_ASSERT(Actions.empty());
    endAttempt(What, AttemptResult::Completed, "serial 7");
    CPPUNIT_ASSERT(outcomeOf<Answered>(1));
    CPPUNIT_ASSERT(outcomeOf<Answered>(2));
  }

  void keyWhenUsedForAnotherRequestIsRefused() {
    startAttempt();
    request(2, "other");
    CPPUNIT_ASSERT(outcomeOf<NotRun>(2)->Reason == RefusalReason::KeyReused);
  }

  void appendWhenAnswerIsLostIsConfirmedByReadingTheLog() {
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    takeActions();
    Batch Written = find<AppendBatch>()->Value;
    Owner.onAppended(WriteResult::Unknown, Clock.now());
    takeActions();
    CPPUNIT_ASSERT(find<ReadBatch>());
    CPPUNIT_ASSERT(!find<StartAttempt>());
    Owner.onBatchRead(true, Written, Clock.now());
    takeActions();
    CPPUNIT_ASSERT(find<StartAttempt>());
  }

  void appendWhenTimedOutIsUnknownAndNeverStarts() {
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    takeActions();
    Clock.advance(3s);
    Owner.onTimer(Clock.now());
    takeActions();
    CPPUNIT_ASSERT(outcomeOf<OutcomeUnknown>(1)->IsJournalDown);
    commit();
    CPPUNIT_ASSERT(!find<StartAttempt>());
    // The end of the attempt is recorded, so that a later owner does not need
    // to query the agent.
    CPPUNIT_ASSERT(find<AppendBatch>());
    request(2);
    CPPUNIT_ASSERT(!outcomeOf<Answered>(2));
  }

  void ownerWhenAppendConflictsRedirectsCallersToNewOwner() {
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    Owner.onAppended(WriteResult::Conflict, Clock.now());
    Owner.onBatchRead(true, std::nullopt, Clock.now());
    takeActions();
    CPPUNIT_ASSERT(find<ReadHead>());
    Head Other{Epoch{2}, "entry-2", {22}, {"127.0.0.1", 2}};
    Owner.onHead(Other, 5, Clock.now());
    takeActions();
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"),
                         outcomeOf<Redirected>(1)->Owner.Owner);
  }

  void newOwnerWhenIntentHasNoConclusionQueriesAgentFirst() {
    Batch Old{1, "x", {Intent{Key, "f", {3, 3}, {"agent-1", {5}, {}}}}};
    serve({Old});
    request(1);
    CPPUNIT_ASSERT(find<QueryAgent>());
    CPPUNIT_ASSERT(!find<AppendBatch>());
    Owner.onAgentReport(Key, {3, 3}, AttemptStatus::NeverStarted, {},
                        Clock.now() + 1s);
    takeActions();
    CPPUNIT_ASSERT_EQUAL(size_t(2), find<AppendBatch>()->Value.Records.size());
    commit();
    CPPUNIT_ASSERT(find<StartAttempt>()->AttemptIntent.Attempt !=
                   AttemptId({3, 3}));
  }

  void newOwnerWhenAgentWasRestartedAnswersUnknownFromThenOn() {
    Batch Old{1, "x", {Intent{Key, "f", {3, 3}, {"agent-1", {5}, {}}}}};
    serve({Old});
    request(1);
    Owner.onAgentReport(Key, {3, 3}, AttemptStatus::WrongIncarnation, {},
                        Clock.now() + 1s);
    takeActions();
    CPPUNIT_ASSERT(outcomeOf<OutcomeUnknown>(1));
    request(2);
    CPPUNIT_ASSERT(outcomeOf<OutcomeUnknown>(2));
    CPPUNIT_ASSERT(!find<QueryAgent>());
  }

  void requestWhenTableServiceIsDownIsUnknownAtOnce() {
    request(1);
    Owner.onHead(std::nullopt, 0, Clock.now());
    takeActions();
    // Without the log it is not known whether the key ran earlier.
    CPPUNIT_ASSERT(outcomeOf<OutcomeUnknown>(1)->IsJournalDown);
  }

  void refusalWhenAttemptNeverStartedIsSentAfterItsCommit() {
    endAttempt(startAttempt(), AttemptResult::NeverStarted);
    CPPUNIT_ASSERT(!outcomeOf<NotRun>(1));
    Clock.advance(1s);
    Owner.onTimer(Clock.now());
    takeActions();
    CPPUNIT_ASSERT(find<AppendBatch>());
    commit();
    CPPUNIT_ASSERT(outcomeOf<NotRun>(1)->Reason == RefusalReason::Leaving);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ShardOwnerTest);

} // namespace ragwort::journal
