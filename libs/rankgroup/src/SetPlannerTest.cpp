//===- SetPlannerTest.cpp - Tests of SetPlanner.h -------------------------===//
#include "ragwort/rankgroup/SetPlanner.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace ragwort::rankgroup {

class SetPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SetPlannerTest);
  CPPUNIT_TEST(planWhenOneExpertIsHotCopiesIt);
  CPPUNIT_TEST(planWhenDemandIsEvenMovesNothing);
  CPPUNIT_TEST(planWhenDemandIsSkewedKeepsAllBounds);
  CPPUNIT_TEST(plansWhenRepeatedApproachTheMean);
  CPPUNIT_TEST(planWhenOneRankIsSlowRelievesIt);
  CPPUNIT_TEST(planWhenOneRankIsSlowKeepsAllBounds);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint32_t Experts = 64;
  static constexpr uint32_t RankCount = 8;
  static constexpr SetLimits Limits{11, 4, 0.01};

  /// Demand in which a few experts get most of the load, as in the deployments
  /// that the planner is designed for.
  static std::vector<double> skewedDemand(uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<double> Result(Experts);
    for (size_t I = 0; I < Experts; ++I)
      Result[I] = 1.0 / static_cast<double>((I + 1) * (I + 1));
    std::shuffle(Result.begin(), Result.end(), Random);
    return Result;
  }

public:
  void planWhenOneExpertIsHotCopiesIt() {
    std::vector<double> Demand(Experts, 1);
    Demand[24] = 24;
    SetPlan P =
        planSet(roundRobinMap(Experts, RankCount), {Demand, {}}, Limits);
    CPPUNIT_ASSERT(P.SkewBefore > 2.5);
    CPPUNIT_ASSERT(P.SkewAfter < 1.2);
    auto Holders =
        std::count_if(P.Target.begin(), P.Target.end(), [](const auto &Rank) {
          return std::find(Rank.begin(), Rank.end(), 24) != Rank.end();
        });
    CPPUNIT_ASSERT(Holders >= 3);
  }

  void planWhenDemandIsEvenMovesNothing() {
    std::vector<double> Demand(Experts, 1);
    SetMap InUse = roundRobinMap(Experts, RankCount);
    SetPlan P = planSet(InUse, {Demand, {}}, Limits);
    CPPUNIT_ASSERT_EQUAL(0u, P.Copies);
    CPPUNIT_ASSERT(P.Target == InUse);
  }

  void planWhenDemandIsSkewedKeepsAllBounds() {
    SetMap InUse = roundRobinMap(Experts, RankCount);
    for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
      std::vector<double> Popularity = skewedDemand(Seed);
      SetPlan P = planSet(InUse, {Popularity, {}}, Limits);
      std::set<ExpertId> Placed;
      for (uint32_t Rank = 0; Rank < RankCount; ++Rank) {
        const auto &Held = P.Target[Rank];
        std::set<ExpertId> Distinct(Held.begin(), Held.end());
        CPPUNIT_ASSERT_EQUAL(Held.size(), Distinct.size());
        CPPUNIT_ASSERT(Held.size() <= Limits.MaxExpertsPerRank);
        auto New = std::count_if(Held.begin(), Held.end(), [&](ExpertId E) {
          const auto &Before = InUse[Rank];
          return std::find(Before.begin(), Before.end(), E) == Before.end();
        });
        CPPUNIT_ASSERT(New <= Limits.MaxNewPerRank);
        Placed.insert(Held.begin(), Held.end());
      }
      CPPUNIT_ASSERT_EQUAL(size_t(Experts), Placed.size());
      CPPUNIT_ASSERT(P.SkewAfter <= P.SkewBefore);
      InUse = P.Target;
    }
  }

  void plansWhenRepeatedApproachTheMean() {
    for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
      std::vector<double> Demand = skewedDemand(Seed);
      SetMap InUse = roundRobinMap(Experts, RankCount);
      double Skew = skewOf(InUse, {Demand, {}});
      SetLimits AnyGain = Limits;
      AnyGain.MinGainPerCopy = 0;
      for (int Round = 0; Round < 4; ++Round) {
        SetPlan P = planSet(InUse, {Demand, {}}, AnyGain);
        InUse = P.Target;
        Skew = P.SkewAfter;
      }
      // A perfect balance is 1. The margin of 0.25, over all eight ranks, is
      // the mean load of two ranks.
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": skew " +
                                 std::to_string(Skew),
                             Skew < 1.25);
    }
  }

  /// A group of a large deployment: little room per rank, and one slow rank.
  static constexpr uint32_t LargeExperts = 128;
  static constexpr uint32_t LargeRankCount = 32;
  static constexpr SetLimits LargeLimits{5, 2, 0.01};

  static SetPlan planWithSlowRank(uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<double> Popularity(LargeExperts);
    for (double &Each : Popularity)
      Each = 0.5 + static_cast<double>(Random() % 1000) / 1000.0;
    std::vector<double> Slowdown(LargeRankCount, 1);
    Slowdown[Seed % LargeRankCount] = 6;
    return planSet(roundRobinMap(LargeExperts, LargeRankCount),
                   {Popularity, Slowdown}, LargeLimits);
  }

  void planWhenOneRankIsSlowRelievesIt() {
    // The slow rank takes six times as long for the same work, so it needs a
    // sixth of the mean load to keep up with the others.
    for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
      SetPlan P = planWithSlowRank(Seed);
      CPPUNIT_ASSERT(P.SkewBefore > 4);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": skew " +
                                 std::to_string(P.SkewAfter),
                             P.SkewAfter < 1.5);
    }
  }

  void planWhenOneRankIsSlowKeepsAllBounds() {
    SetMap Before = roundRobinMap(LargeExperts, LargeRankCount);
    for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
      SetPlan P = planWithSlowRank(Seed);
      std::set<ExpertId> Placed;
      for (uint32_t Rank = 0; Rank < LargeRankCount; ++Rank) {
        const auto &Held = P.Target[Rank];
        CPPUNIT_ASSERT(!Held.empty());
        CPPUNIT_ASSERT(Held.size() <= LargeLimits.MaxExpertsPerRank);
        auto New = std::count_if(Held.begin(), Held.end(), [&](ExpertId E) {
          return std::find(Before[Rank].begin(), Before[Rank].end(), E) ==
                 Before[Rank].end();
        });
        CPPUNIT_ASSERT(New <= LargeLimits.MaxNewPerRank);
        Placed.insert(Held.begin(), Held.end());
      }
      CPPUNIT_ASSERT_EQUAL(size_t(LargeExperts), Placed.size());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SetPlannerTest);

} // namespace ragwort::rankgroup
