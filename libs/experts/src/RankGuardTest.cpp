//===- RankGuardTest.cpp - Tests of RankGuard.h ---------------------------===//
#include "ragwort/experts/RankGuard.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::experts {

class RankGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RankGuardTest);
  CPPUNIT_TEST(grantWhenOnlyAcceptedIsNotUsable);
  CPPUNIT_TEST(controllerWhenSupersededIsRefused);
  CPPUNIT_TEST(messageWhenForAnEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(guardWhenRestartedRestoresTheStateOfItsEngine);
  CPPUNIT_TEST_SUITE_END();

  const Incarnation Self{5};
  RankGuard Guard{Self, EngineState()};
  const Grant First{1, 7, 1, 32, Epoch{3}};

  AcceptRequest accept(uint64_t By, Incarnation To) const {
    return {Epoch{By}, To, {First}};
  }

public:
  void grantWhenOnlyAcceptedIsNotUsable() {
    Guard.onPromise({Epoch{3}});
    CPPUNIT_ASSERT(Guard.onAccept(accept(3, Self)).IsAccepted);
    std::vector<Grant> Usable = Guard.onCommit({Epoch{3}, Self, 1});
    CPPUNIT_ASSERT_EQUAL(size_t(1), Usable.size());
    CPPUNIT_ASSERT(Guard.onCommit({Epoch{3}, Self, 1}).empty());
  }

  void controllerWhenSupersededIsRefused() {
    Guard.onPromise({Epoch{4}});
    CPPUNIT_ASSERT(!Guard.onPromise({Epoch{3}}).IsPromised);
    CPPUNIT_ASSERT(!Guard.onAccept(accept(3, Self)).IsAccepted);
  }

  void messageWhenForAnEarlierIncarnationIsIgnored() {
    Guard.onPromise({Epoch{3}});
    CPPUNIT_ASSERT(!Guard.onAccept(accept(3, Incarnation{4})).IsAccepted);
    Guard.onAccept(accept(3, Self));
    CPPUNIT_ASSERT(Guard.onCommit({Epoch{3}, Incarnation{4}, 1}).empty());
  }

  void guardWhenRestartedRestoresTheStateOfItsEngine() {
    EngineState Engine;
    Engine.Step = 9;
    Engine.Fencing = Epoch{3};
    Engine.Orders = {First};
    RankGuard Restarted(Incarnation{6}, Engine);
    PromiseReply Reply = Restarted.onPromise({Epoch{2}});
    CPPUNIT_ASSERT(!Reply.IsPromised);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Reply.Chain.at(0).Index);
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), Reply.Step);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RankGuardTest);

} // namespace ragwort::experts
