//===- ColdServersTest.cpp - Tests of ColdServers.h -----------------------===//
//
// The bound is the rule's: in any one second at most PerSecond x 1.5 + 5
// requests from all nodes together.
//
//===----------------------------------------------------------------------===//
#include "ragwort/dispatch/ColdServers.h"
#include "ragwort/base/Hash.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>

namespace ragwort::dispatch {

class ColdServersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdServersTest);
  CPPUNIT_TEST(fleetWhenUnderPressureStaysWithinTheLimitInAnySecond);
  CPPUNIT_TEST(fleetWhenDividedStaysWithinTheLimit);
  CPPUNIT_TEST(nodesWhenTheyHearNobodyStayWithinTheLimit);
  CPPUNIT_TEST(limitWhenUsedIsMostlyReached);
  CPPUNIT_TEST(limitWhenTheColdTimeEndsRisesGradually);
  CPPUNIT_TEST(serverWhenWarmHasNoLimit);
  CPPUNIT_TEST(serverWhenItTurnsColdAgainIsLimitedAgain);
  CPPUNIT_TEST(serverWhenAPeerKnowsALaterRunIsLimited);
  CPPUNIT_TEST(entryWhenItEndsTheColdTimeGoesBeforeWhatPeersSaid);
  CPPUNIT_TEST(reportWhenReadFromAnEntryIsForwarded);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ServerRun Run{77, 5};
  static constexpr std::chrono::seconds ColdTime{3};

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 100'000));
  }
  static double allowance(double PerSecond) { return 1.5 * PerSecond + 5; }

  struct VirtualFleet {
    VirtualFleet(size_t Size, double PerSecond) : Nodes(Size) {
      for (ColdServers &Node : Nodes)
        Node.onEntry(Run, PerSecond, at(0) + ColdTime, at(0));
      for (size_t I = 0; I < Size; ++I)
        hear(I, 0, Size, Size);
    }
    /// Node \p I knows the nodes from \p First to \p End, and a number.
    void hear(size_t I, size_t First, size_t End, std::optional<size_t> Count) {
      std::vector<uint64_t> Peers;
      for (size_t J = First; J < End; ++J)
        if (J != I)
          Peers.push_back(hash64(std::to_string(J)));
      Nodes[I].setNodes(hash64(std::to_string(I)), Peers, Count);
    }
    /// All nodes send whenever they may, each at its own moments.
    void press(int64_t FromMillis, int64_t EndMillis, uint64_t Seed) {
      std::mt19937_64 Random(Seed);
      for (int64_t T = FromMillis; T < EndMillis; ++T)
        for (ColdServers &Node : Nodes)
          if (Random() % 20 == 0)
            while (Node.maySend(Run, at(T))) {
              Node.onSent(Run, at(T));
              Sends.push_back(T);
            }
    }
    size_t mostInASecond() const {
      size_t Most = 0;
      size_t First = 0;
      for (size_t Last = 0; Last < Sends.size(); ++Last) {
        while (Sends[Last] - Sends[First] >= 1000)
          ++First;
        Most = std::max(Most, Last - First + 1);
      }
      return Most;
    }
    std::vector<ColdServers> Nodes;
    std::vector<int64_t> Sends;
  };

  static void assertWithin(const VirtualFleet &Fleet, double PerSecond) {
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(Fleet.Nodes.size()) + " nodes, " +
            std::to_string(PerSecond) +
            " a second: " + std::to_string(Fleet.mostInASecond()),
        static_cast<double>(Fleet.mostInASecond()) <= allowance(PerSecond));
  }

public:
  void fleetWhenUnderPressureStaysWithinTheLimitInAnySecond() {
    for (size_t Size : {1, 2, 13, 26, 27, 300})
      for (double PerSecond : {0.5, 1.0, 8.0, 28.0, 53.0, 100.0})
        for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
          VirtualFleet Fleet(Size, PerSecond);
          Fleet.press(0, 3000, Seed);
          assertWithin(Fleet, PerSecond);
        }
  }

  // Each half has forgotten the addresses of the other, but not their number.
  void fleetWhenDividedStaysWithinTheLimit() {
    VirtualFleet Fleet(26, 28);
    for (size_t I = 0; I < 26; ++I)
      Fleet.hear(I, I < 13 ? 0 : 13, I < 13 ? 13 : 26, 26);
    Fleet.press(0, 3000, 1);
    assertWithin(Fleet, 28);
  }

  void nodesWhenTheyHearNobodyStayWithinTheLimit() {
    VirtualFleet Fleet(26, 28);
    for (size_t I = 0; I < 26; ++I)
      Fleet.hear(I, I, I + 1, std::nullopt);
    Fleet.press(0, 3000, 1);
    assertWithin(Fleet, 28);
  }

  void limitWhenUsedIsMostlyReached() {
    for (size_t Size : {1, 13, 26, 300}) {
      VirtualFleet Fleet(Size, 28);
      Fleet.press(0, 3000, 1);
      // At least half of the limit in each of three seconds.
      CPPUNIT_ASSERT(Fleet.Sends.size() >= 3 * 28 / 2);
    }
  }

  void limitWhenTheColdTimeEndsRisesGradually() {
    VirtualFleet Fleet(26, 28);
    Fleet.press(0, 3000, 1);
    Fleet.Sends.clear();
    Fleet.press(3000, 3000 + 500, 1);
    CPPUNIT_ASSERT(Fleet.Sends.size() <= size_t(2) * 28);
    const ColdServers &Node = Fleet.Nodes[0];
    size_t Before = 0;
    for (int64_t T = 3000; T < 5000; T += 250) {
      CPPUNIT_ASSERT(Node.ownSends(Run, at(T)).has_value());
      size_t Sends = *Node.ownSends(Run, at(T));
      CPPUNIT_ASSERT(Sends >= Before && Sends <= Before + 2);
      Before = Sends;
    }
    CPPUNIT_ASSERT(!Node.ownSends(Run, at(5000)));
  }

  void serverWhenWarmHasNoLimit() {
    ColdServers Cold;
    CPPUNIT_ASSERT(!Cold.onEntry(Run, 28, at(0), at(0)));
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(Cold.maySend(Run, at(1)));
      Cold.onSent(Run, at(1));
    }
  }

  void serverWhenItTurnsColdAgainIsLimitedAgain() {
    ColdServers Cold;
    Cold.setNodes(1, {}, 1);
    Cold.onEntry(Run, 2, at(0), at(0));
    CPPUNIT_ASSERT(Cold.onEntry(Run, 2, at(60'000), at(50'000)));
    CPPUNIT_ASSERT(Cold.isCold(Run, at(50'000)));
    Cold.onSent(Run, at(50'000));
    CPPUNIT_ASSERT(Cold.maySend(Run, at(50'001)));
    Cold.onSent(Run, at(50'001));
    CPPUNIT_ASSERT(!Cold.maySend(Run, at(51'000)));
    CPPUNIT_ASSERT(Cold.nextSend(Run, at(51'000)) ==
                   at(50'000) + ColdServers::Window);
  }

  void serverWhenAPeerKnowsALaterRunIsLimited() {
    ColdServers Cold;
    Cold.setNodes(1, {2}, 2);
    ServerRun Later{Run.InstanceKey, Run.BornMillis + 1};
    CPPUNIT_ASSERT(Cold.onPeerReport(Later, 2, at(3000), at(0)));
    Cold.onSent(Run, at(0));
    CPPUNIT_ASSERT(!Cold.maySend(Run, at(500)));
    CPPUNIT_ASSERT(!Cold.isCold(Run, at(0)));
    // An older word about the former run changes nothing.
    Cold.onEntry(Run, 2, at(0), at(0));
    CPPUNIT_ASSERT(Cold.isCold(Later, at(0)));
    CPPUNIT_ASSERT(Cold.toForward(at(0)).empty());
  }

  void entryWhenItEndsTheColdTimeGoesBeforeWhatPeersSaid() {
    ColdServers Cold;
    Cold.onPeerReport(Run, 2, at(9000), at(0));
    Cold.onEntry(Run, 2, at(100), at(100));
    CPPUNIT_ASSERT(!Cold.isCold(Run, at(100)));
  }

  void reportWhenReadFromAnEntryIsForwarded() {
    ColdServers Cold;
    Cold.onEntry(Run, 2, at(3000), at(0));
    auto Reports = Cold.toForward(at(1000));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Reports.size());
    CPPUNIT_ASSERT(Reports[0].Run == Run);
    CPPUNIT_ASSERT_EQUAL(2000u, Reports[0].RemainingMillis);
    CPPUNIT_ASSERT(Cold.toForward(at(2500)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdServersTest);

} // namespace ragwort::dispatch
