//===- ShardOwnerTest.cpp - Tests of ShardOwner.h -------------------------===//
#include "ragwort/journal/ShardOwner.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::journal {

using namespace std::chrono_literals;

class ShardOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardOwnerTest);
  CPPUNIT_TEST(attemptWhenIntentIsNotCommittedIsNotStarted);
  CPPUNIT_TEST(repeatWhenCompletedGetsTheSameAnswer);
  CPPUNIT_TEST(repeatWhenRunningWaitsForTheSameAnswer);
  CPPUNIT_TEST(keyWhenUsedForAnotherRequestIsRefused);
  CPPUNIT_TEST(appendWhenAnswerIsLostIsSettledByReading);
  CPPUNIT_TEST(appendWhenSlowIsUnknownAndNeverStarts);
  CPPUNIT_TEST(ownerWhenFencedSendsItsCallersToTheNewOne);
  CPPUNIT_TEST(successorWhenIntentIsOpenAsksTheAgentFirst);
  CPPUNIT_TEST(successorWhenAgentCannotVouchSaysUnknownForGood);
  CPPUNIT_TEST(storeWhenDownAnswersUnknownAtOnce);
  CPPUNIT_TEST(refusalWhenAgentDidNotStartIsToldAfterItsRecord);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  ShardOwner Owner{{0, "entry-1", {11}, {"127.0.0.1", 1}}, OwnerLimits()};
  const KeyId Key{"k"};
  std::vector<Action> Actions;

  void take() { Actions = Owner.takeActions(); }

  template <class T> const T *find() const {
    for (const Action &A : Actions)
      if (const T *Found = std::get_if<T>(&A))
        return Found;
    return nullptr;
  }

  template <class V> const V *verdictOf(uint64_t Ticket) const {
    for (const Action &A : Actions)
      if (const Reply *R = std::get_if<Reply>(&A))
        if (R->Ticket == Ticket)
          return std::get_if<V>(&R->Value);
    return nullptr;
  }

  void request(uint64_t Ticket, const char *Fingerprint = "f") {
    KeyedRequest R;
    R.Ticket = Ticket;
    R.Key = Key;
    R.Fingerprint = Fingerprint;
    R.To = {"agent-1", {5}, {}};
    Owner.onRequest(R, Clock.now());
    take();
  }

  Head ownHead() const { return {Epoch{1}, "entry-1", {11}, {"127.0.0.1", 1}}; }

  /// Brings the owner to serving with \p Log as the shard's content.
  void serve(std::vector<Batch> Log = {}) {
    request(99, "warm-up");
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(Log, true, Clock.now());
    take();
    if (find<AppendBatch>())
      commit();
    take();
  }

  void commit() {
    Owner.onAppended(WriteResult::Committed, Clock.now());
    take();
  }

  /// Serves and starts an attempt for \p Key with ticket 1.
  Intent startOne() {
    Owner.onHead(ownHead(), 4, Clock.now());
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    commit();
    return find<StartAttempt>()->AttemptIntent;
  }

  void end(const Intent &What, AttemptResult How, const char *Body = "") {
    Owner.onAttemptEnded(Key, What.Attempt, How, {200, "t", Body, true},
                         RefusalReason::Leaving, std::nullopt, Clock.now());
    take();
  }

public:
  void attemptWhenIntentIsNotCommittedIsNotStarted() {
    request(1);
    CPPUNIT_ASSERT(find<ReadHead>());
    Owner.onHead(Head(), 0, Clock.now());
    take();
    CPPUNIT_ASSERT_EQUAL(uint64_t(1),
                         find<ClaimHead>()->NewHead.OwnerEpoch.Value);
    Owner.onClaimed();
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    take();
    CPPUNIT_ASSERT(find<AppendBatch>());
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), find<AppendBatch>()->HeadRowVersion);
    CPPUNIT_ASSERT(!find<StartAttempt>());
    commit();
    CPPUNIT_ASSERT(find<StartAttempt>());
  }

  void repeatWhenCompletedGetsTheSameAnswer() {
    end(startOne(), AttemptResult::Completed, "serial 7");
    CPPUNIT_ASSERT(!verdictOf<Answered>(1)->IsReplay);
    request(2);
    CPPUNIT_ASSERT_EQUAL(std::string("serial 7"),
                         verdictOf<Answered>(2)->Answer.Body);
    CPPUNIT_ASSERT(verdictOf<Answered>(2)->IsReplay);
  }

  void repeatWhenRunningWaitsForTheSameAnswer() {
    Intent What = startOne();
    request(2);
    CPPUNIT_ASSERT(Actions.empty());
    end(What, AttemptResult::Completed, "serial 7");
    CPPUNIT_ASSERT(verdictOf<Answered>(1));
    CPPUNIT_ASSERT(verdictOf<Answered>(2));
  }

  void keyWhenUsedForAnotherRequestIsRefused() {
    startOne();
    request(2, "other");
    CPPUNIT_ASSERT(verdictOf<NotRun>(2)->Reason == RefusalReason::KeyReused);
  }

  void appendWhenAnswerIsLostIsSettledByReading() {
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    take();
    Batch Written = find<AppendBatch>()->Value;
    Owner.onAppended(WriteResult::Unknown, Clock.now());
    take();
    CPPUNIT_ASSERT(find<ReadBatch>());
    CPPUNIT_ASSERT(!find<StartAttempt>());
    Owner.onBatchRead(true, Written, Clock.now());
    take();
    CPPUNIT_ASSERT(find<StartAttempt>());
  }

  void appendWhenSlowIsUnknownAndNeverStarts() {
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    take();
    Clock.advance(3s);
    Owner.onTimer(Clock.now());
    take();
    CPPUNIT_ASSERT(verdictOf<OutcomeUnknown>(1)->IsJournalDown);
    commit();
    CPPUNIT_ASSERT(!find<StartAttempt>());
    // The log is told, so that a successor need not ask.
    CPPUNIT_ASSERT(find<AppendBatch>());
    request(2);
    CPPUNIT_ASSERT(!verdictOf<Answered>(2));
  }

  void ownerWhenFencedSendsItsCallersToTheNewOne() {
    request(1);
    Owner.onHead(ownHead(), 4, Clock.now());
    Owner.onLog(std::vector<Batch>(), true, Clock.now());
    Owner.onAppended(WriteResult::Conflict, Clock.now());
    Owner.onBatchRead(true, std::nullopt, Clock.now());
    take();
    CPPUNIT_ASSERT(find<ReadHead>());
    Head Other{Epoch{2}, "entry-2", {22}, {"127.0.0.1", 2}};
    Owner.onHead(Other, 5, Clock.now());
    take();
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"),
                         verdictOf<Redirected>(1)->Owner.Owner);
  }

  void successorWhenIntentIsOpenAsksTheAgentFirst() {
    Batch Old{1, "x", {Intent{Key, "f", {3, 3}, {"agent-1", {5}, {}}}}};
    serve({Old});
    request(1);
    CPPUNIT_ASSERT(find<QueryAgent>());
    CPPUNIT_ASSERT(!find<AppendBatch>());
    Owner.onAgentReport(Key, {3, 3}, AttemptStatus::NeverStarted, {},
                        Clock.now() + 1s);
    take();
    CPPUNIT_ASSERT_EQUAL(size_t(2), find<AppendBatch>()->Value.Records.size());
    commit();
    CPPUNIT_ASSERT(find<StartAttempt>()->AttemptIntent.Attempt !=
                   AttemptId({3, 3}));
  }

  void successorWhenAgentCannotVouchSaysUnknownForGood() {
    Batch Old{1, "x", {Intent{Key, "f", {3, 3}, {"agent-1", {5}, {}}}}};
    serve({Old});
    request(1);
    Owner.onAgentReport(Key, {3, 3}, AttemptStatus::WrongIncarnation, {},
                        Clock.now() + 1s);
    take();
    CPPUNIT_ASSERT(verdictOf<OutcomeUnknown>(1));
    request(2);
    CPPUNIT_ASSERT(verdictOf<OutcomeUnknown>(2));
    CPPUNIT_ASSERT(!find<QueryAgent>());
  }

  void storeWhenDownAnswersUnknownAtOnce() {
    request(1);
    Owner.onHead(std::nullopt, 0, Clock.now());
    take();
    // The key may have run before: only the log could tell.
    CPPUNIT_ASSERT(verdictOf<OutcomeUnknown>(1)->IsJournalDown);
  }

  void refusalWhenAgentDidNotStartIsToldAfterItsRecord() {
    end(startOne(), AttemptResult::NeverStarted);
    CPPUNIT_ASSERT(!verdictOf<NotRun>(1));
    Clock.advance(1s);
    Owner.onTimer(Clock.now());
    take();
    CPPUNIT_ASSERT(find<AppendBatch>());
    commit();
    CPPUNIT_ASSERT(verdictOf<NotRun>(1)->Reason == RefusalReason::Leaving);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ShardOwnerTest);

} // namespace ragwort::journal
