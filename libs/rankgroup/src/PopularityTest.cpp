//===- PopularityTest.cpp - Tests of Popularity.h -------------------------===//
#include "ragwort/rankgroup/Popularity.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::rankgroup {

class PopularityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PopularityTest);
  CPPUNIT_TEST(weightsWhenDemandShiftsHoldOnlyTheNewDemand);
  CPPUNIT_TEST(weightsWhenDemandIsSteadyStaySettled);
  CPPUNIT_TEST(weightsWhenDemandNeverSettlesCountAsSettled);
  CPPUNIT_TEST(weightsWhenFewCountsFollowAShiftCountAsSettledInTime);
  CPPUNIT_TEST(ageWhenCountsDecayIsOfTheRecentOnes);
  CPPUNIT_TEST_SUITE_END();

  // The smallest model of the deployments. Distances are means over the sets.
  static constexpr uint32_t Sets = 6;
  static constexpr uint32_t Experts = 64;

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1000));
  }

  // Each report differs from the others by up to half of each count.
  std::mt19937_64 Random{1};
  int64_t Millis = 0;

  /// Adds a report, 10 ms after the last one, in which \p Hot is ten times as
  /// popular as the others.
  void addReport(Popularity &P, uint32_t Hot) {
    std::vector<std::vector<uint64_t>> Counts(Sets);
    for (auto &Set : Counts)
      for (uint32_t E = 0; E < Experts; ++E)
        Set.push_back((E == Hot ? 10 : 1) * (50 + Random() % 100));
    P.add(Counts, at(Millis += 10));
  }

  static double shareOf(const Popularity &P, uint32_t Expert) {
    return P.weightsOf(0)[Expert] / P.totalWeight();
  }

public:
  void setUp() override { Random.seed(1); }

  void weightsWhenDemandShiftsHoldOnlyTheNewDemand() {
    Popularity P(Sets, Experts);
    for (int I = 0; I < 60; ++I)
      addReport(P, 3);
    CPPUNIT_ASSERT(P.isSettled(at(Millis)));
    for (uint32_t I = 0; I < Popularity::BatchReports; ++I)
      addReport(P, 4);
    CPPUNIT_ASSERT(!P.isSettled(at(Millis)));
    for (uint32_t I = 0; I < Popularity::BatchReports; ++I)
      addReport(P, 4);
    CPPUNIT_ASSERT(P.isSettled(at(Millis)));
    // The noise of a share's estimate from 12 reports is below 10%. With any
    // counts from before the shift, expert 3 would have several times its
    // share.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0 / 73, shareOf(P, 4), 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 73, shareOf(P, 3), 0.005);
  }

  void weightsWhenDemandIsSteadyStaySettled() {
    Popularity P(Sets, Experts);
    for (int I = 0; I < 2000; ++I) {
      addReport(P, 3);
      CPPUNIT_ASSERT(P.isSettled(at(Millis)));
    }
  }

  void weightsWhenDemandNeverSettlesCountAsSettled() {
    // Otherwise the map would never be changed again.
    Popularity P(Sets, Experts);
    for (int I = 0; I < 60; ++I)
      addReport(P, 3);
    bool HasSettled = false;
    for (uint32_t Batch = 0; Batch <= Popularity::MaxShiftingBatches; ++Batch) {
      for (uint32_t I = 0; I < Popularity::BatchReports; ++I)
        addReport(P, 4 + Batch);
      HasSettled = P.isSettled(at(Millis));
    }
    CPPUNIT_ASSERT(HasSettled);
  }

  // Slow passes: the reports after the shift have no counts.
  void weightsWhenFewCountsFollowAShiftCountAsSettledInTime() {
    Popularity P(Sets, Experts);
    for (int I = 0; I < 60; ++I)
      addReport(P, 3);
    for (uint32_t I = 0; I < Popularity::BatchReports; ++I)
      addReport(P, 4);
    CPPUNIT_ASSERT(!P.isSettled(at(Millis)));
    TimePoint Seen = at(Millis);
    std::vector<std::vector<uint64_t>> None(Sets,
                                            std::vector<uint64_t>(Experts, 0));
    while (at(Millis) - Seen < Popularity::MaxSettling)
      P.add(None, at(Millis += 10));
    CPPUNIT_ASSERT(P.isSettled(at(Millis)));
    CPPUNIT_ASSERT(P.totalWeight() > 0);
  }

  void ageWhenCountsDecayIsOfTheRecentOnes() {
    Popularity P(Sets, Experts);
    addReport(P, 3);
    Duration Later = std::chrono::milliseconds(30);
    CPPUNIT_ASSERT(P.meanAge(at(Millis) + Later) == Later);
    // With equal counts, the mean age of an endless series is the half-life
    // over the logarithm of two: 289 ms.
    for (int I = 0; I < 500; ++I)
      addReport(P, 3);
    double Age = std::chrono::duration<double>(P.meanAge(at(Millis))).count();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.289, Age, 0.015);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PopularityTest);

} // namespace ragwort::rankgroup
