//===- GroupControllerTest.cpp - Tests of GroupController.h ---------------===//
#include "ragwort/rankgroup/GroupController.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

class GroupControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupControllerTest);
  CPPUNIT_TEST(planWhenPassesAreSlowAndDemandIsSkewedBegins);
  CPPUNIT_TEST(planWhenPassesAreFastLeavesTheMap);
  CPPUNIT_TEST(planWhenSkewIsLargeBeginsAtFasterPasses);
  CPPUNIT_TEST(planWhenAGroupHasOpenedUnderLoadBeginsAtOnce);
  CPPUNIT_TEST(planWhenDemandIsEvenLeavesTheMap);
  CPPUNIT_TEST(planWhenTheGainIsSmallLeavesTheMap);
  CPPUNIT_TEST(planWhenAMapIsUnknownWaits);
  CPPUNIT_TEST(expertsWhenOutsideTheShapeAreIgnored);
  CPPUNIT_TEST(changeWhenArmingTakesPassesHoldsOneFurtherAhead);
  CPPUNIT_TEST(changeWhenTheLastOneArmedWithinAPassHoldsTheNearestPass);
  CPPUNIT_TEST(changeWhenTheLastOneWaitedForARankHoldsTheNearestPass);
  CPPUNIT_TEST(planWhenFewRanksShareALargeSkewIsMadeAsAWhole);
  CPPUNIT_TEST(versionsWhenTwoControllersPlanDiffer);
  CPPUNIT_TEST(ordersWhenTwoControllersSendThemHaveDifferentNumbers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint32_t RankCount = 4;
  static constexpr uint32_t Experts = 16;
  static constexpr GroupShape Shape{1, Experts, 6, 4,
                                    std::chrono::milliseconds(120)};

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1000));
  }

  /// A controller that has observed 20 passes of \p PassMillis each and a
  /// demand in which expert 0 is \p Hot times as popular as the others.
  static GroupController controllerWithPasses(int64_t PassMillis, uint64_t Hot,
                                              uint64_t Salt = 1) {
    GroupController C(Shape, RankCount, Salt);
    SetMap RoundRobin = roundRobinMap(Experts, RankCount);
    for (uint32_t Rank = 0; Rank < RankCount; ++Rank) {
      RankExperts Held;
      Held.Sets = {RoundRobin[Rank]};
      C.onExperts(Rank, Held);
    }
    std::vector<std::vector<uint64_t>> Selections(
        1, std::vector<uint64_t>(Experts, 100));
    Selections[0][0] = 100 * Hot;
    for (uint64_t Pass = 1; Pass <= 20; ++Pass) {
      int64_t Millis = static_cast<int64_t>(Pass) * PassMillis;
      for (uint32_t Rank = 0; Rank < RankCount; ++Rank) {
        EngineReport R;
        R.Group = "g";
        R.Epoch = 1;
        R.Rank = Rank;
        R.IsOpen = true;
        R.Step = Pass;
        R.Running = 5;
        C.onReport(Rank, R, 0, at(Millis));
      }
      C.onCounts(Selections, at(Millis));
    }
    return C;
  }

  static TimePoint after(int64_t PassMillis) { return at(20 * PassMillis); }

public:
  void planWhenPassesAreSlowAndDemandIsSkewedBegins() {
    GroupController C = controllerWithPasses(90, 20);
    std::optional<PlannedChange> Change = C.plan(after(90));
    CPPUNIT_ASSERT(Change.has_value());
    CPPUNIT_ASSERT(Change->SkewAfter < Change->SkewBefore * 0.75);
    CPPUNIT_ASSERT(C.mapSwitch().phase() == SwitchPhase::Preparing);
    CPPUNIT_ASSERT_EQUAL(size_t(RankCount),
                         C.mapSwitch().takeOrders(after(90)).size());
  }

  void planWhenPassesAreFastLeavesTheMap() {
    CPPUNIT_ASSERT(!controllerWithPasses(40, 20).plan(after(40)));
  }

  void planWhenSkewIsLargeBeginsAtFasterPasses() {
    // With 12 times the demand of the others, expert 0 gives its rank more than
    // twice the mean load; with 4 times, less than twice.
    CPPUNIT_ASSERT(controllerWithPasses(55, 12).plan(after(55)));
    CPPUNIT_ASSERT(!controllerWithPasses(55, 4).plan(after(55)));
    CPPUNIT_ASSERT(controllerWithPasses(90, 4).plan(after(90)));
  }

  /// A controller that has one report of each rank, with \p Running requests
  /// running on it, right after the group has opened.
  static GroupController controllerAfterOpening(uint32_t Running,
                                                uint64_t Hot) {
    GroupController C(Shape, RankCount, 1);
    SetMap RoundRobin = roundRobinMap(Experts, RankCount);
    for (uint32_t Rank = 0; Rank < RankCount; ++Rank) {
      C.onExperts(Rank, {0, {RoundRobin[Rank]}});
      EngineReport R;
      R.Epoch = 2;
      R.Rank = Rank;
      R.IsOpen = true;
      R.Step = 100;
      R.Running = Running;
      C.onReport(Rank, R, 0, at(0));
    }
    std::vector<std::vector<uint64_t>> Selections(
        1, std::vector<uint64_t>(Experts, 100));
    Selections[0][0] = 100 * Hot;
    C.onCounts(Selections, at(0));
    return C;
  }

  void planWhenAGroupHasOpenedUnderLoadBeginsAtOnce() {
    CPPUNIT_ASSERT(controllerAfterOpening(5, 20).plan(at(1)));
    CPPUNIT_ASSERT(!controllerAfterOpening(5, 2).plan(at(1)));
    CPPUNIT_ASSERT(!controllerAfterOpening(0, 20).plan(at(1)));
  }

  void planWhenDemandIsEvenLeavesTheMap() {
    CPPUNIT_ASSERT(!controllerWithPasses(110, 1).plan(after(110)));
  }

  void planWhenTheGainIsSmallLeavesTheMap() {
    // One expert twice as popular raises the slowest rank's load by a sixth.
    CPPUNIT_ASSERT(!controllerWithPasses(110, 2).plan(after(110)));
  }

  void planWhenAMapIsUnknownWaits() {
    GroupController C = controllerWithPasses(90, 20);
    RankExperts Newer;
    Newer.MapVersion = 7;
    C.onExperts(2, Newer);
    CPPUNIT_ASSERT(!C.plan(after(90)));
  }

  void expertsWhenOutsideTheShapeAreIgnored() {
    // An agent with a different configuration may report such experts.
    GroupController C = controllerWithPasses(90, 20);
    CPPUNIT_ASSERT(!C.onExperts(2, {0, {{1, Experts}}}));
    CPPUNIT_ASSERT(!C.onExperts(RankCount, {0, {{1}}}));
    CPPUNIT_ASSERT(C.plan(after(90)));
  }

  void changeWhenArmingTakesPassesHoldsOneFurtherAhead() {
    // Arming 32 ranks at 2 ms each takes 64 ms, and an order whose answer was
    // lost is resent after 60 ms: together a little less than two passes of
    // 70 ms. The held pass must be that much further ahead, so that the group
    // does not have to wait at it.
    GroupController C({1, 64, 6, 4, std::chrono::milliseconds(120)}, 32, 1);
    std::vector<std::vector<uint64_t>> Selections(1,
                                                  std::vector<uint64_t>(64, 9));
    Selections[0][0] = 900;
    SetMap RoundRobin = roundRobinMap(64, 32);
    auto Report = [&](uint64_t Pass, std::optional<uint64_t> Prepared) {
      for (uint32_t Rank = 0; Rank < 32; ++Rank) {
        EngineReport R;
        R.Epoch = 1;
        R.Rank = Rank;
        R.IsOpen = true;
        R.Step = Pass;
        R.Running = 5;
        R.Prepared = Prepared;
        C.onReport(Rank, R, 0, at(static_cast<int64_t>(Pass) * 70));
      }
    };
    for (uint32_t Rank = 0; Rank < 32; ++Rank)
      C.onExperts(Rank, {0, {RoundRobin[Rank]}});
    for (uint64_t Pass = 1; Pass <= 20; ++Pass) {
      Report(Pass, std::nullopt);
      C.onCounts(Selections, at(static_cast<int64_t>(Pass) * 70));
    }
    std::optional<PlannedChange> Change = C.plan(at(1400));
    CPPUNIT_ASSERT(Change.has_value());
    Report(21, Change->Version);
    CPPUNIT_ASSERT_EQUAL(uint64_t(21 + 2 + 2), C.mapSwitch().heldStep());
  }

  /// Passes from the one in which a change is prepared to the one it is held
  /// before, if the last change took 20 ms and \p DelayMillis to arm.
  static uint64_t passesAheadAfter(int64_t DelayMillis) {
    GroupController C = controllerWithPasses(90, 20);
    auto Report = [&](uint64_t Pass, int64_t Millis, uint64_t InUse,
                      std::optional<uint64_t> Prepared) {
      for (uint32_t Rank = 0; Rank < RankCount; ++Rank) {
        EngineReport R;
        R.Epoch = 1;
        R.Rank = Rank;
        R.IsOpen = true;
        R.Step = Pass;
        R.Running = 5;
        R.MapVersion = InUse;
        R.Prepared = Prepared;
        C.onReport(Rank, R, 0, at(Millis));
      }
    };
    uint64_t Version = C.plan(at(1800))->Version;
    Report(21, 1890, 0, Version);
    CPPUNIT_ASSERT_EQUAL(uint64_t(21 + 2 + 1), C.mapSwitch().heldStep());
    for (int64_t Millis :
         {int64_t(1890), 1900 + DelayMillis, 1910 + DelayMillis})
      for (const OutgoingOrder &O : C.mapSwitch().takeOrders(at(Millis)))
        C.mapSwitch().onAnswer(O.Rank, O.Number, OrderAnswer::Accepted,
                               at(Millis + 10));
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), C.mapSwitch().completed());
    std::vector<std::vector<uint64_t>> Selections(
        1, std::vector<uint64_t>(Experts, 100));
    Selections[0][5] = 10'000;
    for (uint64_t Pass = 24; Pass <= 60; ++Pass) {
      int64_t Millis = DelayMillis + static_cast<int64_t>(Pass) * 90;
      Report(Pass, Millis, Version, std::nullopt);
      C.onCounts(Selections, at(Millis));
    }
    Version = C.plan(at(DelayMillis + 5400))->Version;
    Report(61, DelayMillis + 5490, 0, Version);
    return C.mapSwitch().heldStep() - 61;
  }

  void changeWhenTheLastOneArmedWithinAPassHoldsTheNearestPass() {
    // The answers of all ranks take 20 ms. With one resend, 60 ms later, they
    // fit into the pass that lies between the order and the held pass.
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), passesAheadAfter(0));
  }

  // A rank that stood still for four seconds does not delay later changes.
  void changeWhenTheLastOneWaitedForARankHoldsTheNearestPass() {
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), passesAheadAfter(4000));
  }

  void planWhenFewRanksShareALargeSkewIsMadeAsAWhole() {
    // In a group of four ranks no copy of the many experts with a share in a
    // large skew gains as much as the first copies of a large group.
    GroupController C = controllerWithPasses(90, 1);
    std::vector<std::vector<uint64_t>> Selections(
        1, std::vector<uint64_t>(Experts, 10));
    for (uint32_t E = 0; E < Experts; E += RankCount)
      Selections[0][E] = 1000;
    for (int Millis = 1800; Millis < 4000; Millis += 90)
      C.onCounts(Selections, at(Millis));
    std::optional<PlannedChange> Change = C.plan(at(4000));
    CPPUNIT_ASSERT(Change.has_value());
    CPPUNIT_ASSERT(Change->SkewBefore > GroupController::LargeSkew);
    CPPUNIT_ASSERT(Change->SkewAfter < 1.2);
  }

  void versionsWhenTwoControllersPlanDiffer() {
    auto First = controllerWithPasses(90, 20, 11).plan(after(90));
    auto Second = controllerWithPasses(90, 20, 12).plan(after(90));
    CPPUNIT_ASSERT(First->Version != Second->Version);
  }

  void ordersWhenTwoControllersSendThemHaveDifferentNumbers() {
    // Guards against taking a late answer to an order of a former controller
    // for an answer to an own order.
    GroupController First = controllerWithPasses(90, 20, 11);
    GroupController Second = controllerWithPasses(90, 20, 12);
    First.plan(after(90));
    Second.plan(after(90));
    CPPUNIT_ASSERT(First.mapSwitch().takeOrders(after(90)).at(0).Number !=
                   Second.mapSwitch().takeOrders(after(90)).at(0).Number);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GroupControllerTest);

} // namespace ragwort::rankgroup
