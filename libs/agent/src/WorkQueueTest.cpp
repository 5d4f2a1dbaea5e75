//===- WorkQueueTest.cpp - Tests of WorkQueue.h ---------------------------===//
#include "WorkQueue.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::agent {

using namespace std::chrono_literals;

class WorkQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkQueueTest);
  CPPUNIT_TEST(requestWhenSlotsAreTakenWaitsAndRunsLater);
  CPPUNIT_TEST(queueWhenFullRefusesTheLowestPriority);
  CPPUNIT_TEST(queueWhenDrainingRunsQueuedItemsAndRefusesNewOnes);
  CPPUNIT_TEST(queueWhenDrainingRefusesWhatCannotEndInTime);
  CPPUNIT_TEST(queueWhenItsDrainEndsRefusesAllThatWait);
  CPPUNIT_TEST(requestWhenItsDeadlinePassesInTheQueueIsRefused);
  CPPUNIT_TEST(attemptWhenQueriedWhileWaitingNeverStarts);
  CPPUNIT_TEST(attemptWhenDuplicateIsNeitherRunNorRefused);
  CPPUNIT_TEST(requestWhenForAnotherIncarnationIsRefused);
  CPPUNIT_TEST(connectionWhenLostWithdrawsItsWaitingRequests);
  CPPUNIT_TEST_SUITE_END();

  const Incarnation Self{9};
  VirtualClock Clock;
  WorkQueue Queue{Self, {1, 1}};

  WorkItemPtr makeItem(uint64_t Stream, uint32_t Priority = 0) {
    auto Item = std::make_shared<WorkItem>();
    Item->Id = {1, Stream};
    Item->Request.ToIncarnation = Self.Value;
    Item->Request.Organisation = "a";
    Item->Request.Priority = Priority;
    Item->Request.NonIdempotent = true;
    Item->Request.Attempt = {1, Stream};
    Item->Deadline = Clock.now() + 10s;
    return Item;
  }
  Decisions submit(const WorkItemPtr &Item) {
    return Queue.submit(Item, 1, Clock.now());
  }

public:
  void requestWhenSlotsAreTakenWaitsAndRunsLater() {
    WorkItemPtr First = makeItem(1);
    CPPUNIT_ASSERT_EQUAL(size_t(1), submit(First).ToRun.size());
    CPPUNIT_ASSERT(submit(makeItem(2)).ToRun.empty());
    CPPUNIT_ASSERT(Queue.tryStart(*First));
    Decisions D = Queue.finish(*First, true, {}, Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), D.ToRun.at(0)->Id.Stream);
  }

  void queueWhenFullRefusesTheLowestPriority() {
    submit(makeItem(1));
    submit(makeItem(2, 5));
    submit(makeItem(3, 1));
    Decisions D = submit(makeItem(4, 3));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), D.ToRefuse.at(0).Id.Stream);
    CPPUNIT_ASSERT(D.ToRefuse.at(0).Reason == RefusalReason::Overloaded);
  }

  void queueWhenDrainingRunsQueuedItemsAndRefusesNewOnes() {
    WorkItemPtr First = makeItem(1);
    submit(First);
    submit(makeItem(2));
    Queue.drain(Clock.now() + 10s);
    CPPUNIT_ASSERT(submit(makeItem(3)).ToRefuse.at(0).Reason ==
                   RefusalReason::Leaving);
    Queue.tryStart(*First);
    CPPUNIT_ASSERT_EQUAL(
        size_t(1), Queue.finish(*First, true, {}, Clock.now()).ToRun.size());
    CPPUNIT_ASSERT(!Queue.isIdle());
  }

  // Guards against a non-idempotent request that is started and cut at the
  // exit.
  void queueWhenDrainingRefusesWhatCannotEndInTime() {
    WorkItemPtr First = makeItem(1);
    submit(First);
    submit(makeItem(2));
    WorkItemPtr Idempotent = makeItem(3);
    Idempotent->Request.NonIdempotent = false;
    Queue.setMaxQueued(2);
    submit(Idempotent);
    Queue.drain(Clock.now() + 5s);
    Decisions D = Queue.expire(Clock.now());
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.ToRefuse.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), D.ToRefuse.at(0).Id.Stream);
    CPPUNIT_ASSERT(D.ToRefuse.at(0).Reason == RefusalReason::Leaving);
    Queue.tryStart(*First);
    D = Queue.finish(*First, true, {}, Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), D.ToRun.at(0)->Id.Stream);
  }

  // Guards against waiting requests that are lost without a refusal.
  void queueWhenItsDrainEndsRefusesAllThatWait() {
    submit(makeItem(1));
    WorkItemPtr Idempotent = makeItem(2);
    Idempotent->Request.NonIdempotent = false;
    submit(Idempotent);
    Queue.drain(Clock.now() + 5s);
    CPPUNIT_ASSERT(Queue.expire(Clock.now()).ToRefuse.empty());
    Clock.advance(5s);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Queue.expire(Clock.now()).ToRefuse.size());
  }

  void requestWhenItsDeadlinePassesInTheQueueIsRefused() {
    submit(makeItem(1));
    submit(makeItem(2));
    Clock.advance(10s);
    Decisions D = Queue.expire(Clock.now());
    CPPUNIT_ASSERT(D.ToRefuse.at(0).Reason == RefusalReason::DeadlineExceeded);
  }

  void attemptWhenQueriedWhileWaitingNeverStarts() {
    WorkItemPtr First = makeItem(1);
    submit(First);
    CPPUNIT_ASSERT(Queue.query({1, 1}, Self, Clock.now())->CurrentState ==
                   attempts::State::Forbidden);
    CPPUNIT_ASSERT(!Queue.tryStart(*First));
    Queue.finishUnstarted(*First, Clock.now());
    CPPUNIT_ASSERT(Queue.isIdle());
  }

  void attemptWhenDuplicateIsNeitherRunNorRefused() {
    submit(makeItem(1));
    Decisions D = submit(makeItem(1));
    CPPUNIT_ASSERT(D.ToRun.empty() && D.ToRefuse.empty());
  }

  void requestWhenForAnotherIncarnationIsRefused() {
    WorkItemPtr Item = makeItem(1);
    Item->Request.ToIncarnation = 8;
    CPPUNIT_ASSERT(submit(Item).ToRefuse.at(0).Reason ==
                   RefusalReason::WrongIncarnation);
  }

  void connectionWhenLostWithdrawsItsWaitingRequests() {
    submit(makeItem(1));
    submit(makeItem(2));
    CPPUNIT_ASSERT_EQUAL(
        size_t(1), Queue.cancelConnection(1, Clock.now()).ToRefuse.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t(0), Queue.load().Queued);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WorkQueueTest);

} // namespace ragwort::agent
