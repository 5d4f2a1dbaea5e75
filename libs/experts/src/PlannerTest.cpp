//===- PlannerTest.cpp - Tests of Planner.h -------------------------------===//
#include "ragwort/experts/Planner.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::experts {

class PlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannerTest);
  CPPUNIT_TEST(planWhenLoadIsEvenMovesNothing);
  CPPUNIT_TEST(planWhenSkewHasHighWeightIsCloseToTheLowerBound);
  CPPUNIT_TEST(planWhenRebalancingHasHighWeightMovesFewer);
  CPPUNIT_TEST(planWhenMovesAreLimitedRespectsTheLimit);
  CPPUNIT_TEST(planWhenPopularityIsRandomIsCompleteAndNotWorse);
  CPPUNIT_TEST_SUITE_END();

  std::mt19937_64 Random{11};

  std::vector<double> popularity() {
    std::vector<double> Result(64);
    std::gamma_distribution<double> Gamma(1.0, 1.0);
    for (double &P : Result)
      P = 0.2 + Gamma(Random);
    return Result;
  }

public:
  void planWhenLoadIsEvenMovesNothing() {
    std::vector<double> Even(64, 1.0);
    Plan P = planRebalancing(Placement::roundRobin(64, 32, 2), Even, {1, 0},
                             PlanLimits());
    CPPUNIT_ASSERT_EQUAL(uint32_t(0), P.Moves);
  }

  void planWhenSkewHasHighWeightIsCloseToTheLowerBound() {
    std::vector<double> Popularity = popularity();
    PlanLimits Limits;
    Limits.MaxMoves = 96;
    Plan P = planRebalancing(Placement::roundRobin(64, 32, 3), Popularity,
                             {0.8, 0.2}, Limits);
    double Bound = skewLowerBound(Popularity, 32, 3);
    CPPUNIT_ASSERT_MESSAGE("skew " + std::to_string(P.SkewAfter) + " bound " +
                               std::to_string(Bound),
                           P.SkewAfter <= 1.05 * Bound);
  }

  void planWhenRebalancingHasHighWeightMovesFewer() {
    std::vector<double> Popularity = popularity();
    Placement InForce = Placement::roundRobin(64, 32, 3);
    Plan LowSkew =
        planRebalancing(InForce, Popularity, {0.8, 0.2}, PlanLimits());
    Plan FewMoves =
        planRebalancing(InForce, Popularity, {0.1, 0.9}, PlanLimits());
    CPPUNIT_ASSERT(FewMoves.Moves < LowSkew.Moves);
    CPPUNIT_ASSERT(FewMoves.SkewAfter >= LowSkew.SkewAfter);
  }

  void planWhenMovesAreLimitedRespectsTheLimit() {
    PlanLimits Limits;
    Limits.MaxMoves = 3;
    Plan P = planRebalancing(Placement::roundRobin(64, 32, 3), popularity(),
                             {1, 0}, Limits);
    CPPUNIT_ASSERT(P.Moves <= 3);
  }

  void planWhenPopularityIsRandomIsCompleteAndNotWorse() {
    Placement InForce = Placement::roundRobin(64, 32, 3);
    for (int Round = 0; Round < 20; ++Round) {
      std::vector<double> Popularity = popularity();
      Plan P = planRebalancing(InForce, Popularity, {0.5, 0.5}, PlanLimits());
      CPPUNIT_ASSERT(P.Target.isComplete());
      CPPUNIT_ASSERT(P.SkewAfter <= P.SkewBefore);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(P.Target.skew(Popularity), P.SkewAfter,
                                   1e-6);
      InForce = P.Target;
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlannerTest);

} // namespace ragwort::experts
