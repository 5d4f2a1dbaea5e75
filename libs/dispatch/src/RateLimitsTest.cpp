//===- RateLimitsTest.cpp - Tests of RateLimits.h -------------------------===//
#include "ragwort/dispatch/RateLimits.h"
#include "ragwort/base/Hash.h"
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

namespace ragwort::dispatch {

class RateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitsTest);
  CPPUNIT_TEST(fleetWhenUnderPressureStaysWithinTheLimit);
  CPPUNIT_TEST(fleetWhenNodesComeAndGoStaysWithinTheAllowance);
  CPPUNIT_TEST(limitWhenUsedByItsOwnersIsReached);
  CPPUNIT_TEST(limitWhenNoLongerNamedIsLifted);
  CPPUNIT_TEST(limitWhenTheServerStartsAnewIsForgotten);
  CPPUNIT_TEST(limitWhenAnOlderStatementArrivesLaterIsKept);
  CPPUNIT_TEST(limitWhenToldByAPeerIsNotForwarded);
  CPPUNIT_TEST(limitWhenZeroStillAllowsARequestNowAndThen);
  CPPUNIT_TEST(limitsWhenTooManyDropTheOldest);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ServerRun Run{77, 5};

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis));
  }

  static uint64_t nodeKey(size_t Index) {
    return hash64("10.0.0." + std::to_string(Index));
  }

  struct VirtualFleet {
    explicit VirtualFleet(size_t Size) : Nodes(Size), IsUp(Size, true) {
      listen(at(0));
    }
    /// Each node hears of all that are up.
    void listen(TimePoint Now) {
      for (size_t I = 0; I < Nodes.size(); ++I) {
        std::vector<uint64_t> Peers;
        for (size_t J = 0; J < Nodes.size(); ++J)
          if (J != I && IsUp[J])
            Peers.push_back(nodeKey(J));
        Nodes[I].setNodes(nodeKey(I), Peers, Now);
      }
    }
    /// All nodes send whenever they may. \returns the times.
    void press(TimePoint Now) {
      for (size_t I = 0; I < Nodes.size(); ++I)
        if (IsUp[I] && Nodes[I].maySend(Run, Now)) {
          Nodes[I].onSent(Run, Now);
          Sends.push_back(Now);
        }
    }
    size_t mostIn(Duration Window) const {
      size_t Most = 0;
      size_t First = 0;
      for (size_t Last = 0; Last < Sends.size(); ++Last) {
        while (Sends[Last] - Sends[First] >= Window)
          ++First;
        Most = std::max(Most, Last - First + 1);
      }
      return Most;
    }
    std::vector<RateLimits> Nodes;
    std::vector<bool> IsUp;
    std::vector<TimePoint> Sends;
  };

  static constexpr std::chrono::seconds Window{4};
  /// What the users' rule allows in Window.
  static double allowance(double Limit) {
    return 1.5 * Limit * Window.count() + 5;
  }

public:
  void fleetWhenUnderPressureStaysWithinTheLimit() {
    for (size_t Size : {1, 3, 10, 26, 300})
      for (double Limit : {0.3, 1.0, 2.4, 10.0, 100.0}) {
        VirtualFleet Fleet(Size);
        for (RateLimits &Node : Fleet.Nodes)
          Node.onStated(Run, Limit, at(0));
        for (int64_t Now = 0; Now < 20'000; Now += 10)
          Fleet.press(at(Now));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Size) + " nodes, limit " +
                                   std::to_string(Limit),
                               static_cast<double>(Fleet.mostIn(Window)) <=
                                   Limit * (Window.count() + 1) + 2);
      }
  }

  void fleetWhenNodesComeAndGoStaysWithinTheAllowance() {
    for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
      std::mt19937_64 Random(Seed);
      VirtualFleet Fleet(10);
      for (RateLimits &Node : Fleet.Nodes)
        Node.onStated(Run, 2.4, at(0));
      for (int64_t Now = 0; Now < 60'000; Now += 10) {
        // A node stops, or another one returns, every three seconds.
        if (Now % 3000 == 0) {
          size_t Changed = Random() % 10;
          Fleet.IsUp[Changed] = !Fleet.IsUp[Changed];
        }
        // The others notice a second later.
        if (Now % 3000 == 1000)
          Fleet.listen(at(Now));
        Fleet.press(at(Now));
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ", " +
                                 std::to_string(Fleet.mostIn(Window)),
                             static_cast<double>(Fleet.mostIn(Window)) <=
                                 allowance(2.4));
    }
  }

  void limitWhenUsedByItsOwnersIsReached() {
    VirtualFleet Fleet(10);
    for (RateLimits &Node : Fleet.Nodes)
      Node.onStated(Run, 2.4, at(0));
    for (int64_t Now = 0; Now < 100'000; Now += 10)
      Fleet.press(at(Now));
    CPPUNIT_ASSERT(Fleet.Sends.size() > 220);
  }

  void limitWhenNoLongerNamedIsLifted() {
    RateLimits Limits;
    Limits.setNodes(1, {}, at(0));
    CPPUNIT_ASSERT(Limits.onStated(Run, 2.0, at(0)));
    CPPUNIT_ASSERT(!Limits.onStated(Run, 2.0, at(10)));
    Limits.onSent(Run, at(1000));
    CPPUNIT_ASSERT(!Limits.maySend(Run, at(1100)));
    CPPUNIT_ASSERT(Limits.onStated(Run, std::nullopt, at(1200)));
    CPPUNIT_ASSERT(Limits.maySend(Run, at(1200)));
    CPPUNIT_ASSERT(!Limits.toForward(at(1300))[0].MilliPerSecond);
  }

  void limitWhenTheServerStartsAnewIsForgotten() {
    RateLimits Limits;
    Limits.onStated(Run, 2.0, at(0));
    ServerRun Next{Run.InstanceKey, Run.BornMillis + 1};
    CPPUNIT_ASSERT(!Limits.limit(Next));
    Limits.onStated(Next, 3.0, at(10));
    CPPUNIT_ASSERT(!Limits.onStated(Run, 2.0, at(20)));
    CPPUNIT_ASSERT_EQUAL(3.0, *Limits.limit(Next));
  }

  void limitWhenAnOlderStatementArrivesLaterIsKept() {
    RateLimits Limits;
    Limits.onStated(Run, 2.0, at(1000));
    CPPUNIT_ASSERT(!Limits.onPeerReport({Run, std::nullopt, 500}, at(1200)));
    CPPUNIT_ASSERT(Limits.onPeerReport({Run, 4000, 100}, at(1200)));
    CPPUNIT_ASSERT_EQUAL(4.0, *Limits.limit(Run));
  }

  void limitWhenToldByAPeerIsNotForwarded() {
    RateLimits Limits;
    Limits.onPeerReport({Run, 2000, 0}, at(0));
    CPPUNIT_ASSERT(Limits.toForward(at(10)).empty());
    Limits.onStated(Run, 2.0, at(20));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Limits.toForward(at(100)).size());
    CPPUNIT_ASSERT(Limits.toForward(at(2100)).empty());
  }

  void limitWhenZeroStillAllowsARequestNowAndThen() {
    RateLimits Limits;
    Limits.setNodes(1, {}, at(0));
    Limits.onStated(Run, 0.0, at(0));
    CPPUNIT_ASSERT(Limits.maySend(Run, at(5000)));
    Limits.onSent(Run, at(5000));
    CPPUNIT_ASSERT(!Limits.maySend(Run, at(8000)));
    CPPUNIT_ASSERT(Limits.maySend(Run, at(9000)));
    Limits.onStated(Run, 1e300, at(9000));
    CPPUNIT_ASSERT_EQUAL(RateLimits::MaxPerSecond, *Limits.limit(Run));
  }

  void limitsWhenTooManyDropTheOldest() {
    RateLimits Limits;
    for (uint64_t I = 0; I <= RateLimits::MaxRuns; ++I)
      Limits.onStated({I, 1}, 2.0, at(static_cast<int64_t>(I)));
    CPPUNIT_ASSERT_EQUAL(RateLimits::MaxRuns, Limits.size());
    CPPUNIT_ASSERT(!Limits.limit({0, 1}));
    CPPUNIT_ASSERT(Limits.limit({1, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitsTest);

} // namespace ragwort::dispatch
