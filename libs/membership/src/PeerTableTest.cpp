//===- PeerTableTest.cpp - Tests of PeerTable.h ---------------------------===//
#include "ragwort/membership/PeerTable.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::membership {

using namespace std::chrono_literals;

class PeerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(peerWhenSilentIsSuspectUntilNextHeartbeat);
  CPPUNIT_TEST(heartbeatFromReplacedIncarnationIsDropped);
  CPPUNIT_TEST(heartbeatWhenReorderedOrForAnotherNodeIsDropped);
  CPPUNIT_TEST(peerWhenHeartbeatReportsLeavingIsLeaving);
  CPPUNIT_TEST(peerWhenAddressChangesIsReset);
  CPPUNIT_TEST(configVersionWhenPeerRestartsIsReset);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  PeerTable Peers{"entry-1", 2s};

  wire::Heartbeat heartbeat(uint64_t Incarnation, uint64_t Sequence) {
    wire::Heartbeat Heartbeat;
    Heartbeat.Node = "agent-1";
    Heartbeat.ToNode = "entry-1";
    Heartbeat.Incarnation = Incarnation;
    Heartbeat.Sequence = Sequence;
    return Heartbeat;
  }

  Liveness liveness() { return Peers.views(Clock.now()).at(0).State; }

public:
  void setUp() override {
    PeerIdentity Identity{"agent-1", {"127.0.0.1", 1}, "dc-a", "portal", true};
    Peers.setPeers({&Identity, 1});
  }

  void peerWhenSilentIsSuspectUntilNextHeartbeat() {
    CPPUNIT_ASSERT(liveness() == Liveness::Unheard);
    Peers.onHeartbeat(heartbeat(1, 1), Clock.now());
    CPPUNIT_ASSERT(liveness() == Liveness::Alive);
    Clock.advance(2001ms);
    CPPUNIT_ASSERT(liveness() == Liveness::Suspect);
    Peers.onHeartbeat(heartbeat(1, 2), Clock.now());
    CPPUNIT_ASSERT(liveness() == Liveness::Alive);
  }

  void heartbeatFromReplacedIncarnationIsDropped() {
    Peers.onHeartbeat(heartbeat(7, 100), Clock.now());
    CPPUNIT_ASSERT(Peers.onHeartbeat(heartbeat(3, 1), Clock.now()));
    CPPUNIT_ASSERT(!Peers.onHeartbeat(heartbeat(7, 101), Clock.now()));
    CPPUNIT_ASSERT_EQUAL(
        uint64_t(3), Peers.views(Clock.now()).at(0).CurrentIncarnation.Value);
  }

  void heartbeatWhenReorderedOrForAnotherNodeIsDropped() {
    CPPUNIT_ASSERT(Peers.onHeartbeat(heartbeat(1, 5), Clock.now()));
    CPPUNIT_ASSERT(!Peers.onHeartbeat(heartbeat(1, 5), Clock.now()));
    CPPUNIT_ASSERT(!Peers.onHeartbeat(heartbeat(1, 4), Clock.now()));
    wire::Heartbeat Misdirected = heartbeat(1, 6);
    Misdirected.ToNode = "entry-2";
    CPPUNIT_ASSERT(!Peers.onHeartbeat(Misdirected, Clock.now()));
  }

  void peerWhenHeartbeatReportsLeavingIsLeaving() {
    wire::Heartbeat Heartbeat = heartbeat(1, 1);
    Heartbeat.Load.Leaving = true;
    Peers.onHeartbeat(Heartbeat, Clock.now());
    CPPUNIT_ASSERT(liveness() == Liveness::Leaving);
  }

  void peerWhenAddressChangesIsReset() {
    Peers.onHeartbeat(heartbeat(1, 1), Clock.now());
    PeerIdentity Moved{"agent-1", {"127.0.0.1", 2}, "dc-a", "portal", true};
    Peers.setPeers({&Moved, 1});
    CPPUNIT_ASSERT(liveness() == Liveness::Unheard);
  }

  void configVersionWhenPeerRestartsIsReset() {
    wire::Heartbeat Heartbeat = heartbeat(1, 1);
    Heartbeat.ConfigVersion = 9;
    Peers.onHeartbeat(Heartbeat, Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(9),
                         Peers.newestConfig(Clock.now())->ConfigVersion);
    Peers.onHeartbeat(heartbeat(2, 1), Clock.now());
    CPPUNIT_ASSERT_EQUAL(uint64_t(0),
                         Peers.newestConfig(Clock.now())->ConfigVersion);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

} // namespace ragwort::membership
