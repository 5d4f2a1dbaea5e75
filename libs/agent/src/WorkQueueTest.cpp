//===- WorkQueueTest.cpp - Tests of WorkQueue.h ---------------------------===//
#include "WorkQueue.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::agent {

using namespace std::chrono_literals;

class WorkQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkQueueTest);
  CPPUNIT_TEST(queueWhenSlotsAreTakenWaitsAndRunsLater);
  CPPUNIT_TEST(queueWhenFullRefusesTheLowestPriority);
  CPPUNIT_TEST(queueWhenLeavingRunsWhatItHasAndTakesNothingNew);
  CPPUNIT_TEST(requestWhenItsDeadlinePassesInTheQueueIsRefused);
  CPPUNIT_TEST(attemptWhenQueriedWhileWaitingNeverStarts);
  CPPUNIT_TEST(attemptWhenDoubledIsNeitherRunNorRefused);
  CPPUNIT_TEST(requestWhenForAnotherIncarnationIsRefused);
  CPPUNIT_TEST(connectionWhenLostWithdrawsItsWaitingRequests);
  CPPUNIT_TEST_SUITE_END();

  const Incarnation Self{9};
  VirtualClock Clock;
  WorkQueue Queue{Self, {1, 1}};

  WorkPtr work(uint64_t Stream, uint32_t Priority = 0) {
    auto Item = std::make_shared<Work>();
    Item->Id = {1, Stream};
    Item->Request.ToIncarnation = Self.Value;
    Item->Request.Organisation = "a";
    Item->Request.Priority = Priority;
    Item->Request.NonIdempotent = true;
    Item->Request.Attempt = {1, Stream};
    Item->Deadline = Clock.now() + 10s;
    return Item;
  }
  Decisions submit(const WorkPtr &Item) {
    return Queue.submit(Item, 1, Clock.now());
  }

public:
  void queueWhenSlotsAreTakenWaitsAndRunsLater() {
    WorkPtr First = work(1);
    CPPUNIT_ASSERT_EQUAL(size_t(1), submit(First).ToRun.size());
    CPPUNIT_ASSERT(submit(work(2)).ToRun.empty());
    CPPUNIT_ASSERT(Queue.mayStart(*First));
    Decisions D = Queue.finish(*First, true, {}, Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), D.ToRun.at(0)->Id.Stream);
  }

  void queueWhenFullRefusesTheLowestPriority() {
    submit(work(1));
    submit(work(2, 5));
    submit(work(3, 1));
    Decisions D = submit(work(4, 3));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), D.ToRefuse.at(0).Id.Stream);
    CPPUNIT_ASSERT(D.ToRefuse.at(0).Reason == RefusalReason::Overloaded);
  }

  void queueWhenLeavingRunsWhatItHasAndTakesNothingNew() {
    WorkPtr First = work(1);
    submit(First);
    submit(work(2));
    Queue.leave();
    CPPUNIT_ASSERT(submit(work(3)).ToRefuse.at(0).Reason ==
                   RefusalReason::Leaving);
    Queue.mayStart(*First);
    CPPUNIT_ASSERT_EQUAL(
        size_t(1), Queue.finish(*First, true, {}, Clock.now()).ToRun.size());
    CPPUNIT_ASSERT(!Queue.isIdle());
  }

  void requestWhenItsDeadlinePassesInTheQueueIsRefused() {
    submit(work(1));
    submit(work(2));
    Clock.advance(10s);
    Decisions D = Queue.expire(Clock.now());
    CPPUNIT_ASSERT(D.ToRefuse.at(0).Reason == RefusalReason::DeadlineExceeded);
  }

  void attemptWhenQueriedWhileWaitingNeverStarts() {
    WorkPtr First = work(1);
    submit(First);
    CPPUNIT_ASSERT(Queue.query({1, 1}, Self, Clock.now())->CurrentState ==
                   attempts::State::Forbidden);
    CPPUNIT_ASSERT(!Queue.mayStart(*First));
    Queue.finishUnstarted(*First, Clock.now());
    CPPUNIT_ASSERT(Queue.isIdle());
  }

  void attemptWhenDoubledIsNeitherRunNorRefused() {
    submit(work(1));
    Decisions D = submit(work(1));
    CPPUNIT_ASSERT(D.ToRun.empty() && D.ToRefuse.empty());
  }

  void requestWhenForAnotherIncarnationIsRefused() {
    WorkPtr Item = work(1);
    Item->Request.ToIncarnation = 8;
    CPPUNIT_ASSERT(submit(Item).ToRefuse.at(0).Reason ==
                   RefusalReason::WrongIncarnation);
  }

  void connectionWhenLostWithdrawsItsWaitingRequests() {
    submit(work(1));
    submit(work(2));
    CPPUNIT_ASSERT_EQUAL(
        size_t(1), Queue.cancelConnection(1, Clock.now()).ToRefuse.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t(0), Queue.load().Queued);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WorkQueueTest);

} // namespace ragwort::agent
