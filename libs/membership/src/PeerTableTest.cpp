//===- PeerTableTest.cpp - Tests of PeerTable.h ---------------------------===//
#include "ragwort/membership/PeerTable.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::membership {

using namespace std::chrono_literals;

class PeerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(peerWhenSilentIsSuspectAndReturns);
  CPPUNIT_TEST(peerWhenRestartedDropsLateDatagramsOfItsFormerSelf);
  CPPUNIT_TEST(heartbeatWhenReorderedOrForAnotherNodeIsDropped);
  CPPUNIT_TEST(peerWhenLeavingIsSeenFromItsHeartbeat);
  CPPUNIT_TEST(peerWhenItsAddressChangesStartsAnew);
  CPPUNIT_TEST(configWhenPeerRestartsWithLessKeepsNoStaleClaim);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  PeerTable Peers{"entry-1", 2s};

  wire::Heartbeat beat(uint64_t Incarnation, uint64_t Sequence) {
    wire::Heartbeat Beat;
    Beat.Node = "agent-1";
    Beat.ToNode = "entry-1";
    Beat.Incarnation = Incarnation;
    Beat.Sequence = Sequence;
    return Beat;
  }

  Liveness state() { return Peers.views(Clock.now()).at(0).State; }

public:
  void setUp() override {
    PeerIdentity Identity{"agent-1", {"127.0.0.1", 1}, "dc-a", "portal", true};
    Peers.setPeers({&Identity, 1});
  }

  void peerWhenSilentIsSuspectAndReturns() {
    CPPUNIT_ASSERT(state() == Liveness::Unheard);
    Peers.onHeartbeat(beat(1, 1), Clock.now());
    CPPUNIT_ASSERT(state() == Liveness::Alive);
    Clock.advance(2001ms);
    CPPUNIT_ASSERT(state() == Liveness::Suspect);
    Peers.onHeartbeat(beat(1, 2), Clock.now());
    CPPUNIT_ASSERT(state() == Liveness::Alive);
  }

  void peerWhenRestartedDropsLateDatagramsOfItsFormerSelf() {
    Peers.onHeartbeat(beat(7, 100), Clock.now());
    CPPUNIT_ASSERT(Peers.onHeartbeat(beat(3, 1), Clock.now()));
    CPPUNIT_ASSERT(!Peers.onHeartbeat(beat(7, 101), Clock.now()));
    CPPUNIT_ASSERT_EQUAL(
        uint64_t(3), Peers.views(Clock.now()).at(0).CurrentIncarnation.Value);
  }

  void heartbeatWhenReorderedOrForAnotherNodeIsDropped() {
    CPPUNIT_ASSERT(Peers.onHeartbeat(beat(1, 5), Clock.now()));
    CPPUNIT_ASSERT(!Peers.onHeartbeat(beat(1, 5), Clock.now()));
    CPPUNIT_ASSERT(!Peers.onHeartbeat(beat(1, 4), Clock.now()));
    wire::Heartbeat Misdirected = beat(1, 6);
    Misdirected.ToNode = "entry-2";
    CPPUNIT_ASSERT(!Peers.onHeartbeat(Misdirected, Clock.now()));
  }

  void peerWhenLeavingIsSeenFromItsHeartbeat() {
    wire::Heartbeat Beat = beat(1, 1);
    Beat.Load.Leaving = true;
    Peers.onHeartbeat(Beat, Clock.now());
    CPPUNIT_ASSERT(state() == Liveness::Leaving);
  }

  void peerWhenItsAddressChangesStartsAnew() {
    Peers.onHeartbeat(beat(1, 1), Clock.now());
    PeerIdentity Moved{"agent-1", {"127.0.0.1", 2}, "dc-a", "portal", true};
    Peers.setPeers({&Moved, 1});
    CPPUNIT_ASSERT(state() == Liveness::Unheard);
  }

  void configWhenPeerRestartsWithLessKeepsNoStaleClaim() {
    wire::Heartbeat Beat = beat(1, 1);
    Beat.ConfigVersion = 9;
    Peers.onHeartbeat(Beat, Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(9),
                         Peers.newestConfig(Clock.now())->ConfigVersion);
    Peers.onHeartbeat(beat(2, 1), Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(0),
                         Peers.newestConfig(Clock.now())->ConfigVersion);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

} // namespace ragwort::membership
