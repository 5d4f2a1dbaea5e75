//===- FairQueueTest.cpp - Tests of FairQueue.h ---------------------------===//
#include "ragwort/shares/FairQueue.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::shares {

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(queueWhenSaturatedServesByWeight);
  CPPUNIT_TEST(queueWhenOrganisationWasIdleGivesItNoCredit);
  CPPUNIT_TEST(queueWhenFullEvictsTheLowestPriority);
  CPPUNIT_TEST(queueWhenFullEvictsFromTheOrganisationAboveItsShare);
  CPPUNIT_TEST(queueWhenFullKeepsTheOnlyItemOfASmallShare);
  CPPUNIT_TEST(queueWhenDeadlinePassesReturnsTheItem);
  CPPUNIT_TEST(removeWhenItemsMatchRemovesOnlyOne);
  CPPUNIT_TEST_SUITE_END();

  using Queue = FairQueue<std::string>;

  static QueueTicket ticket(const char *Organisation, double Weight,
                            uint32_t Priority = 0) {
    QueueTicket T;
    T.Organisation = Organisation;
    T.Weight = Weight;
    T.Priority = Priority;
    return T;
  }

public:
  void queueWhenSaturatedServesByWeight() {
    Queue Q(10000);
    for (int I = 0; I < 1000; ++I) {
      Q.push(ticket("a", 60), "a");
      Q.push(ticket("b", 30), "b");
      Q.push(ticket("c", 10), "c");
    }
    std::map<std::string, int> Served;
    for (int I = 0; I < 1000; ++I)
      ++Served[*Q.pop()];
    CPPUNIT_ASSERT_DOUBLES_EQUAL(600, Served["a"], 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(300, Served["b"], 2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Served["c"], 2);
  }

  void queueWhenOrganisationWasIdleGivesItNoCredit() {
    Queue Q(10000);
    for (int I = 0; I < 500; ++I)
      Q.push(ticket("a", 50), "a");
    for (int I = 0; I < 300; ++I)
      Q.pop();
    for (int I = 0; I < 100; ++I)
      Q.push(ticket("b", 50), "b");
    int ServedB = 0;
    for (int I = 0; I < 100; ++I)
      ServedB += *Q.pop() == "b";
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, ServedB, 2);
  }

  void queueWhenFullEvictsTheLowestPriority() {
    Queue Q(2);
    Q.push(ticket("a", 1, 0), "low");
    Q.push(ticket("b", 1, 5), "high");
    CPPUNIT_ASSERT_EQUAL(std::string("low"),
                         *Q.push(ticket("c", 1, 3), "middle"));
    CPPUNIT_ASSERT_EQUAL(std::string("lowest"),
                         *Q.push(ticket("c", 1, 1), "lowest"));
  }

  void queueWhenFullEvictsFromTheOrganisationAboveItsShare() {
    Queue Q(3);
    Q.push(ticket("greedy", 10), "g1");
    Q.push(ticket("greedy", 10), "g2");
    Q.push(ticket("modest", 10), "m1");
    CPPUNIT_ASSERT_EQUAL(std::string("g2"), *Q.push(ticket("other", 10), "o1"));
  }

  void queueWhenFullKeepsTheOnlyItemOfASmallShare() {
    Queue Q(4);
    Q.push(ticket("small", 0.01), "s1");
    for (const char *Item : {"l1", "l2", "l3"})
      Q.push(ticket("large", 90), Item);
    CPPUNIT_ASSERT_EQUAL(std::string("l4"), *Q.push(ticket("large", 90), "l4"));
  }

  void queueWhenDeadlinePassesReturnsTheItem() {
    Queue Q(3);
    QueueTicket Soon = ticket("a", 1);
    Soon.Deadline = TimePoint(Duration(5));
    Q.push(Soon, "soon");
    Q.push(ticket("a", 1), "later");
    CPPUNIT_ASSERT(Q.expire(TimePoint(Duration(4))).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("soon"),
                         Q.expire(TimePoint(Duration(5))).at(0));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Q.size());
  }

  void removeWhenItemsMatchRemovesOnlyOne() {
    Queue Q(4);
    Q.push(ticket("a", 1), "x");
    Q.push(ticket("b", 1), "x");
    CPPUNIT_ASSERT(Q.remove([](const std::string &S) { return S == "x"; }));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Q.size());
    CPPUNIT_ASSERT(!Q.remove([](const std::string &S) { return S == "y"; }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace ragwort::shares
