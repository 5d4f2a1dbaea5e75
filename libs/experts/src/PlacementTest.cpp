//===- PlacementTest.cpp - Tests of Placement.h ---------------------------===//
#include "ragwort/experts/Placement.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::experts {

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(placementWhenLoadIsEvenHasNoSkew);
  CPPUNIT_TEST(copiesWhenExpertHasSeveralShareItsLoad);
  CPPUNIT_TEST(movesWhenSlotsOfOneRankAreSwappedAreZero);
  CPPUNIT_TEST(boundWhenOneExpertIsHotCountsItsCopies);
  CPPUNIT_TEST_SUITE_END();

public:
  void placementWhenLoadIsEvenHasNoSkew() {
    std::vector<double> Even(64, 1.0);
    Placement P = Placement::roundRobin(64, 32, 2);
    CPPUNIT_ASSERT(P.isComplete());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, P.skew(Even), 1e-9);
  }

  void copiesWhenExpertHasSeveralShareItsLoad() {
    Placement P(2, 2, 2);
    P.set({0, 1}, 1);
    P.set({1, 1}, 1);
    std::vector<double> Popularity = {1, 3};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, P.rankLoads(Popularity)[0], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, P.skew(Popularity), 1e-9);
  }

  void movesWhenSlotsOfOneRankAreSwappedAreZero() {
    Placement A = Placement::roundRobin(8, 4, 2);
    Placement B = A;
    B.set({0, 0}, A.at({0, 1}));
    B.set({0, 1}, A.at({0, 0}));
    CPPUNIT_ASSERT_EQUAL(uint32_t(0), movesBetween(A, B));
    B.set({1, 0}, A.at({0, 0}));
    CPPUNIT_ASSERT_EQUAL(uint32_t(1), movesBetween(A, B));
  }

  void boundWhenOneExpertIsHotCountsItsCopies() {
    std::vector<double> Popularity = {6, 1, 1, 0};
    // Four ranks with two slots each: the hot expert has at most four copies.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, skewLowerBound(Popularity, 4, 2), 1e-9);
    // One slot on each rank: there are no additional copies, and one of four
    // ranks has 6/8 of the load.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, skewLowerBound(Popularity, 4, 1), 1e-9);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace ragwort::experts
