//===- AdmissionTest.cpp - Tests of Admission.h and WaitQueue.h -----------===//
#include "ragwort/dispatch/Admission.h"
#include "ragwort/dispatch/RefusedRequests.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(urgentWhenTheQueueIsFullDisplacesTheLeastUrgent);
  CPPUNIT_TEST(arrivalWhenItWouldBeLastIsRefused);
  CPPUNIT_TEST(requestWhenSentBeforeIsNeverDisplaced);
  CPPUNIT_TEST(forecastCountsOnlyWorkThatStartsBefore);
  CPPUNIT_TEST(forecastCountsMoreUrgentWorkThatKeepsArriving);
  CPPUNIT_TEST(requestThatCannotBeOnTimeIsRefusedAtArrivalUnderLoad);
  CPPUNIT_TEST(waitingWhenOthersOvertakeItIsRefusedBeforeItsEnd);
  CPPUNIT_TEST(refusedRequestsAreToldToComeBackInTurn);
  CPPUNIT_TEST(requestThatCameBackStartsBeforeItsTimeRunsOut);
  CPPUNIT_TEST(callerThatComesBackIsRecognisedForATime);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 10'000));
  }

  static Waiter waiter(uint64_t Ticket, uint32_t Priority, int64_t Millis) {
    Waiter W;
    W.Ticket = Ticket;
    W.Priority = Priority;
    W.Since = at(Millis);
    W.OnTimeUntil = at(Millis + 250);
    W.GiveUpAt = at(Millis + 1200);
    return W;
  }

  /// Records \p PerSecond usual requests a second from -2 s to 0.
  template <class Recorder>
  static void steadily(int64_t PerSecond, Recorder Record) {
    for (int64_t I = 0; I < 2 * PerSecond; ++I)
      Record(at(-2000 + I * 1000 / PerSecond));
  }
  static void complete(Admission &A, int64_t PerSecond) {
    steadily(PerSecond, [&](TimePoint T) { A.onCompleted(1, T); });
  }
  static void arrive(Admission &A, uint32_t Priority, int64_t PerSecond) {
    steadily(PerSecond, [&](TimePoint T) { A.onArrival(Priority, 1, T); });
  }

  static void fill(Admission &A, uint32_t Priority) {
    for (uint64_t I = 1; I <= Admission::MaxWaiting; ++I)
      CPPUNIT_ASSERT(A.enqueue(waiter(I, Priority, 0), at(0)).Waits);
  }

public:
  void urgentWhenTheQueueIsFullDisplacesTheLeastUrgent() {
    Admission A;
    fill(A, 2);
    Admission::Answer Answer = A.admit(waiter(100, 0, 1), at(1));
    CPPUNIT_ASSERT(Answer.Waits && Answer.Displaced);
    CPPUNIT_ASSERT_EQUAL(uint64_t(Admission::MaxWaiting),
                         Answer.Displaced->Ticket);
    CPPUNIT_ASSERT_EQUAL(Admission::MaxWaiting, A.queue().size());
    auto First = A.queue().popFirst(at(1), [](const Waiter &) { return true; });
    CPPUNIT_ASSERT_EQUAL(uint64_t(100), *First);
  }

  void arrivalWhenItWouldBeLastIsRefused() {
    Admission A;
    fill(A, 1);
    CPPUNIT_ASSERT(!A.admit(waiter(100, 1, 1), at(1)).Waits);
    CPPUNIT_ASSERT(!A.admit(waiter(101, 2, 1), at(1)).Waits);
  }

  void requestWhenSentBeforeIsNeverDisplaced() {
    Admission A;
    for (uint64_t I = 1; I <= Admission::MaxWaiting; ++I) {
      Waiter W = waiter(I, 2, 0);
      W.HasBeenSent = true;
      CPPUNIT_ASSERT(A.enqueue(W, at(0)).Waits);
    }
    CPPUNIT_ASSERT(!A.admit(waiter(100, 0, 1), at(1)).Waits);
    complete(A, 1);
    arrive(A, 0, 50);
    CPPUNIT_ASSERT(A.takeOvertaken(at(900)).empty());
  }

  void forecastCountsOnlyWorkThatStartsBefore() {
    Admission A;
    complete(A, 10);
    for (uint64_t I = 1; I <= 9; ++I)
      A.enqueue(waiter(I, 2, 0), at(0));
    Duration Urgent = *A.forecast(waiter(100, 0, 0), at(0)).Wait;
    Duration Same = *A.forecast(waiter(101, 2, 0), at(0)).Wait;
    CPPUNIT_ASSERT(Urgent <= std::chrono::milliseconds(110));
    CPPUNIT_ASSERT(Same >= std::chrono::milliseconds(900));
    Waiter Large = waiter(102, 0, 0);
    Large.Work = 4;
    A.enqueue(Large, at(0));
    CPPUNIT_ASSERT(*A.forecast(waiter(103, 0, 1), at(1)).Wait >= 4 * Urgent);
  }

  void forecastCountsMoreUrgentWorkThatKeepsArriving() {
    Admission A;
    complete(A, 10);
    arrive(A, 0, 8);
    Duration Urgent = *A.forecast(waiter(1, 0, 0), at(0)).Wait;
    CPPUNIT_ASSERT(*A.forecast(waiter(2, 1, 0), at(0)).Wait >= 3 * Urgent);
    arrive(A, 0, 4);
    CPPUNIT_ASSERT(!A.admit(waiter(2, 1, 0), at(0)).Waits);
    CPPUNIT_ASSERT(A.admit(waiter(3, 0, 0), at(0)).Waits);
  }

  void requestThatCannotBeOnTimeIsRefusedAtArrivalUnderLoad() {
    Admission A;
    complete(A, 10);
    arrive(A, 1, 20);
    size_t Waiting = 0;
    while (A.admit(waiter(Waiting + 1, 1, 0), at(0)).Waits)
      ++Waiting;
    // Ten a second start: two within a quarter of a second.
    CPPUNIT_ASSERT_EQUAL(size_t(2), Waiting);
  }

  void waitingWhenOthersOvertakeItIsRefusedBeforeItsEnd() {
    Admission A;
    complete(A, 10);
    CPPUNIT_ASSERT(A.admit(waiter(1, 1, 0), at(0)).Waits);
    CPPUNIT_ASSERT(A.takeOvertaken(at(1)).empty());
    arrive(A, 0, 20);
    std::vector<Waiter> Overtaken = A.takeOvertaken(at(1));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Overtaken.size());
    CPPUNIT_ASSERT_EQUAL(size_t(0), A.queue().size());
  }

  void refusedRequestsAreToldToComeBackInTurn() {
    Admission A;
    complete(A, 10);
    Duration Before{0};
    for (uint64_t I = 1; I <= 20; ++I) {
      Duration After = *A.retryAfter(waiter(I, 1, 0), at(0));
      CPPUNIT_ASSERT(After >= Admission::MinRetryAfter);
      CPPUNIT_ASSERT(After >= Before);
      // The twentieth has 19 before it, which take 1.9 s.
      CPPUNIT_ASSERT(After >= std::chrono::milliseconds(90) * I);
      Before = After;
    }
    // More urgent ones do not come back after them.
    CPPUNIT_ASSERT(*A.retryAfter(waiter(21, 0, 0), at(0)) < Before);
  }

  void requestThatCameBackStartsBeforeItsTimeRunsOut() {
    Admission A;
    A.enqueue(waiter(1, 1, 0), at(0));
    A.enqueue(waiter(2, 0, 0), at(0));
    Waiter Back = waiter(3, 1, 0);
    Back.HasComeBack = true;
    A.enqueue(Back, at(1));
    for (uint64_t I = 4; I <= Admission::MaxWaiting; ++I)
      A.enqueue(waiter(I, 1, 800), at(800));
    // It gives way to none of its priority when its time runs out, and a more
    // urgent arrival displaces another one.
    std::vector<const Waiter *> Order = A.queue().startingOrder(at(901));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Order[0]->Ticket);
    Admission::Answer Answer = A.enqueue(waiter(100, 0, 901), at(901));
    CPPUNIT_ASSERT(Answer.Displaced && Answer.Displaced->Ticket != 3);
  }

  void callerThatComesBackIsRecognisedForATime() {
    RefusedRequests Refused;
    CPPUNIT_ASSERT(!Refused.hasComeBack(1, at(0)));
    Refused.add(1, at(0));
    CPPUNIT_ASSERT(!Refused.hasComeBack(1, at(20)));
    CPPUNIT_ASSERT(Refused.hasComeBack(1, at(400)));
    CPPUNIT_ASSERT(!Refused.hasComeBack(2, at(400)));
    CPPUNIT_ASSERT(!Refused.hasComeBack(1, at(11'000)));
    for (uint64_t I = 0; I < 2 * RefusedRequests::MaxEntries; ++I)
      Refused.add(100 + I, at(12'000));
    CPPUNIT_ASSERT(!Refused.hasComeBack(100, at(13'000)));
    CPPUNIT_ASSERT(
        Refused.hasComeBack(99 + 2 * RefusedRequests::MaxEntries, at(13'000)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace ragwort::dispatch
