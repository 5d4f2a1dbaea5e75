//===- FleetSizeTest.cpp - Tests of FleetSize.h ---------------------------===//
#include "ragwort/fleet/FleetSize.h"
#include "ragwort/dispatch/RetryBudget.h"
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <random>
#include <vector>

namespace ragwort::fleet {

namespace {

constexpr dispatch::RetryBudgetLimits Limits{0.2, 194,
                                             std::chrono::seconds(10)};
constexpr int64_t StepMillis = 200;
constexpr int64_t WindowSteps = 10'000 / StepMillis;

TimePoint atStep(int64_t Step) {
  return TimePoint(std::chrono::milliseconds(Step * StepMillis + 1));
}

/// Nodes that retry whenever their budget allows it, that are killed and
/// restarted without their state, and that are cut off from each other.
class FleetRun {
public:
  FleetRun(size_t Count, uint64_t Seed) : Random(Seed), Nodes(Count) {
    for (Node &N : Nodes)
      start(N, 0);
  }

  void run(int64_t Steps) {
    for (int64_t Step = 0; Step < Steps; ++Step) {
      injectFaults(Step);
      exchangeHeartbeats(Step);
      serve(Step);
    }
  }

  /// The most that a window's retries exceed what the fleet may make.
  double largestExcess() const {
    double Largest = -1e9;
    auto Steps = static_cast<int64_t>(Requests.size());
    for (int64_t From = 2 * WindowSteps; From + WindowSteps <= Steps; ++From) {
      double Counted =
          std::max({sum(Requests, From), sum(Requests, From - WindowSteps),
                    sum(Requests, From - WindowSteps / 2)});
      Largest = std::max(Largest, sum(Retries, From) - (Limits.Ratio * Counted +
                                                        Limits.Allowance));
    }
    return Largest;
  }
  double retries() const {
    double Total = 0;
    for (double Each : Retries)
      Total += Each;
    return Total;
  }

private:
  struct Node {
    std::optional<FleetSize> Fleet;
    std::optional<dispatch::RetryBudget> Budget;
    bool IsUp = true;
    // Nodes hear each other if they are in the same part of the network.
    int Part = 0;
    int64_t BackAt = 0;
  };

  void start(Node &N, int64_t Step) {
    N.Fleet.emplace(Limits.Window, atStep(Step));
    N.Budget.emplace(Limits);
    N.IsUp = true;
    // The store lists all nodes.
    for (size_t I = 0; I < Nodes.size(); ++I)
      if (&Nodes[I] != &N)
        N.Fleet->onNamed(std::to_string(I), atStep(Step));
  }

  static double sum(const std::vector<double> &Each, int64_t From) {
    double Total = 0;
    for (int64_t I = From; I < From + WindowSteps; ++I)
      Total += Each[static_cast<size_t>(I)];
    return Total;
  }

  void injectFaults(int64_t Step) {
    bool KillsAll = Random() % 150 == 0;
    for (Node &N : Nodes) {
      if (N.IsUp && (KillsAll || Random() % 400 == 0)) {
        N.IsUp = false;
        N.BackAt = Step + 1 + static_cast<int64_t>(Random() % 10);
      } else if (!N.IsUp && Step >= N.BackAt) {
        start(N, Step);
      }
    }
    if (Random() % 100 == 0) {
      uint64_t Percent = Random() % 100;
      for (Node &N : Nodes)
        N.Part = Random() % 100 < Percent ? 1 : 0;
    } else if (Random() % 100 == 0) {
      for (Node &N : Nodes)
        N.Part = 0;
    }
  }

  void exchangeHeartbeats(int64_t Step) {
    for (size_t From = 0; From < Nodes.size(); ++From) {
      if (!Nodes[From].IsUp)
        continue;
      std::string Name = std::to_string(From);
      for (size_t To = 0; To < Nodes.size(); ++To)
        if (To != From && Nodes[To].IsUp &&
            Nodes[To].Part == Nodes[From].Part && Random() % 20 != 0)
          Nodes[To].Fleet->onHeard(Name, atStep(Step));
    }
  }

  void serve(int64_t Step) {
    double RequestsNow = 0;
    double RetriesNow = 0;
    TimePoint Now = atStep(Step);
    for (Node &N : Nodes) {
      if (!N.IsUp)
        continue;
      if (Random() % 4 == 0) {
        N.Budget->recordRequest(Now);
        ++RequestsNow;
      }
      std::optional<size_t> Share = N.Fleet->nodes(Now);
      while (N.Budget->hasRoom(Now, Share)) {
        N.Budget->spend(Now);
        ++RetriesNow;
      }
    }
    Requests.push_back(RequestsNow);
    Retries.push_back(RetriesNow);
  }

  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  // By step.
  std::vector<double> Requests;
  std::vector<double> Retries;
};

} // namespace

class FleetSizeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSizeTest);
  CPPUNIT_TEST(sizeWhenJustStartedIsUnknown);
  CPPUNIT_TEST(sizeWhenAPeerIsSilentForLongDropsIt);
  CPPUNIT_TEST(sizeWhenMostPeersAreSilentKeepsThem);
  CPPUNIT_TEST(sizeWhenAPeerLeavesCountsItForOneWindow);
  CPPUNIT_TEST(retriesWhenNodesRestartAndAreCutOffStayWithinTheFleetsBound);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Seconds) {
    return TimePoint(std::chrono::seconds(Seconds));
  }

public:
  void sizeWhenJustStartedIsUnknown() {
    FleetSize Fleet(std::chrono::seconds(10), at(0));
    Fleet.onHeard("a", at(1));
    CPPUNIT_ASSERT(!Fleet.nodes(at(9)));
    CPPUNIT_ASSERT(Fleet.nodes(at(10)) == size_t(2));
  }

  void sizeWhenAPeerIsSilentForLongDropsIt() {
    FleetSize Fleet(std::chrono::seconds(10), at(0));
    for (const char *Peer : {"a", "b", "c"})
      Fleet.onHeard(Peer, at(1));
    Fleet.onHeard("a", at(500));
    Fleet.onHeard("b", at(500));
    CPPUNIT_ASSERT(Fleet.nodes(at(600)) == size_t(4));
    CPPUNIT_ASSERT(Fleet.nodes(at(601)) == size_t(3));
  }

  void sizeWhenMostPeersAreSilentKeepsThem() {
    FleetSize Fleet(std::chrono::seconds(10), at(0));
    for (const char *Peer : {"a", "b", "c"})
      Fleet.onHeard(Peer, at(1));
    Fleet.onHeard("a", at(5000));
    CPPUNIT_ASSERT(Fleet.nodes(at(5001)) == size_t(4));
  }

  void sizeWhenAPeerLeavesCountsItForOneWindow() {
    FleetSize Fleet(std::chrono::seconds(10), at(0));
    for (const char *Peer : {"a", "b", "c"})
      Fleet.onHeard(Peer, at(20));
    Fleet.onLeaving("a", at(21));
    CPPUNIT_ASSERT(Fleet.nodes(at(30)) == size_t(4));
    CPPUNIT_ASSERT(Fleet.nodes(at(31)) == size_t(3));
  }

  void retriesWhenNodesRestartAndAreCutOffStayWithinTheFleetsBound() {
    for (size_t Count : {size_t(10), size_t(35), size_t(100), size_t(300)})
      for (uint64_t Seed = 1; Seed <= 2; ++Seed) {
        FleetRun Run(Count, Seed);
        Run.run(Count > 100 ? 200 : 500);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(Count) + " nodes, seed " + std::to_string(Seed) +
                ": " + std::to_string(Run.largestExcess()) + " too many",
            Run.largestExcess() <= 0);
        CPPUNIT_ASSERT(Run.retries() > 50);
      }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetSizeTest);

} // namespace ragwort::fleet
