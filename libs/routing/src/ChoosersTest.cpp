//===- ChoosersTest.cpp - Tests of Choosers.h -----------------------------===//
#include "ragwort/routing/Choosers.h"
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace ragwort::routing {

static_assert(Chooser<RandomChooser> && Chooser<RoundRobinChooser> &&
              Chooser<LeastOutstandingChooser> && Chooser<TwoChoicesChooser> &&
              Chooser<ExpectedWaitChooser> && Chooser<PrefixAffinityChooser> &&
              Chooser<BackpressureChooser> && Chooser<OwnLoadChooser>);

class ChoosersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChoosersTest);
  CPPUNIT_TEST(everyChooserWhenOnlyOneCandidateChoosesIt);
  CPPUNIT_TEST(expectedWaitWhenReportIsStaleCountsRequestsSentSince);
  CPPUNIT_TEST(ownLoadWhenReportsAreStaleUsesOutstandingRequests);
  CPPUNIT_TEST(affinityWhenServerWithPrefixIsIdleChoosesIt);
  CPPUNIT_TEST(affinityWhenServerWithPrefixIsOverloadedChoosesAnother);
  CPPUNIT_TEST(backpressureWhenScoresAreWithinTheMarginChoosesAtRandom);
  CPPUNIT_TEST_SUITE_END();

  Random Rng{3};
  RequestTraits Traits;

public:
  void everyChooserWhenOnlyOneCandidateChoosesIt() {
    std::vector<Candidate> One(1);
    for (AnyChooser Any :
         {AnyChooser(RandomChooser()), AnyChooser(RoundRobinChooser()),
          AnyChooser(LeastOutstandingChooser()),
          AnyChooser(TwoChoicesChooser()), AnyChooser(ExpectedWaitChooser()),
          AnyChooser(PrefixAffinityChooser()),
          AnyChooser(BackpressureChooser()), AnyChooser(OwnLoadChooser())})
      CPPUNIT_ASSERT_EQUAL(size_t(0), choose(Any, One, Traits, Rng));
  }

  void expectedWaitWhenReportIsStaleCountsRequestsSentSince() {
    std::vector<Candidate> Two(2);
    Two[0].SentSinceReport = 4;
    Two[1].Active = 1;
    ExpectedWaitChooser Subject;
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT_EQUAL(size_t(1), Subject.choose(Two, Traits, Rng));
  }

  void ownLoadWhenReportsAreStaleUsesOutstandingRequests() {
    std::vector<Candidate> Two(2);
    Two[0].Outstanding = 3;
    Two[1].Active = 2; // From a stale load report.
    OwnLoadChooser Subject;
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT_EQUAL(size_t(1), Subject.choose(Two, Traits, Rng));
  }

  void affinityWhenServerWithPrefixIsIdleChoosesIt() {
    std::vector<Candidate> Many(16);
    Many[11].Affinity = 0.9;
    Traits.PrefillSeconds = 1;
    PrefixAffinityChooser Subject;
    CPPUNIT_ASSERT_EQUAL(size_t(11), Subject.choose(Many, Traits, Rng));
  }

  void affinityWhenServerWithPrefixIsOverloadedChoosesAnother() {
    std::vector<Candidate> Many(16);
    Many[11].Affinity = 0.9;
    Many[11].Queued = 100;
    Traits.PrefillSeconds = 1;
    PrefixAffinityChooser Subject;
    CPPUNIT_ASSERT(Subject.choose(Many, Traits, Rng) != 11);
  }

  void backpressureWhenScoresAreWithinTheMarginChoosesAtRandom() {
    std::vector<Candidate> Two(2);
    Two[0].Active = 0.1;
    BackpressureChooser Subject;
    int First = 0;
    for (int I = 0; I < 100; ++I)
      First += Subject.choose(Two, Traits, Rng) == 0;
    CPPUNIT_ASSERT(First > 20 && First < 80);
    Two[0].Active = 5;
    CPPUNIT_ASSERT_EQUAL(size_t(1), Subject.choose(Two, Traits, Rng));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChoosersTest);

} // namespace ragwort::routing
