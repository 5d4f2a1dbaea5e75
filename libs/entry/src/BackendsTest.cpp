//===- BackendsTest.cpp - Tests of Backends.h -----------------------------===//
#include "Backends.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::entry {

using namespace std::chrono_literals;

class BackendsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendsTest);
  CPPUNIT_TEST(choiceWhenNoHeartbeatReceivedIsEmpty);
  CPPUNIT_TEST(choiceWhenAgentIsLeavingOrSuspectAvoidsIt);
  CPPUNIT_TEST(choiceWhenAgentFailsRepeatedlyAvoidsIt);
  CPPUNIT_TEST(choiceWhenListHasReplacementUsesIt);
  CPPUNIT_TEST(coversServicesWhenNoAgentIsAliveIsFalse);
  CPPUNIT_TEST(subsetWhenFleetIsLargePrefersLocalDataCentre);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  Backends Table{"entry-1", "dc-a", 1};
  settings::FleetSettings Fleet;
  ChoiceQuery Query;
  uint64_t Sequence = 0;

  void addAgent(const std::string &Name, const std::string &DataCentre) {
    settings::InstanceSettings Agent;
    Agent.Name = Name;
    Agent.Role = settings::InstanceRole::Agent;
    Agent.DataCentre = DataCentre;
    Agent.Peer = {"127.0.0.1", uint16_t(9000 + Fleet.Instances.size())};
    Agent.Service = "portal";
    Fleet.Instances.push_back(Agent);
  }
  void receiveHeartbeat(const std::string &Name, bool IsLeaving = false) {
    wire::Heartbeat Heartbeat;
    Heartbeat.Node = Name;
    Heartbeat.ToNode = "entry-1";
    Heartbeat.Incarnation = 1;
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.Load.Capacity = 4;
    Heartbeat.Load.Leaving = IsLeaving;
    Table.onHeartbeat(Heartbeat, Clock.now());
  }
  std::string chosen() {
    std::optional<Choice> C = Table.choose(Query, Clock.now());
    return C ? C->Agent : "";
  }

public:
  void setUp() override {
    settings::ServiceSettings Service;
    Service.Name = "portal";
    Fleet.Services.push_back(Service);
    addAgent("a", "dc-a");
    addAgent("b", "dc-a");
    Query.Service = "portal";
    Table.configure(Fleet, {});
  }

  void choiceWhenNoHeartbeatReceivedIsEmpty() {
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
  }

  void choiceWhenAgentIsLeavingOrSuspectAvoidsIt() {
    receiveHeartbeat("a");
    receiveHeartbeat("b", true);
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen());
    Clock.advance(2001ms);
    receiveHeartbeat("b");
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen());
  }

  void choiceWhenAgentFailsRepeatedlyAvoidsIt() {
    receiveHeartbeat("a");
    receiveHeartbeat("b");
    for (int I = 0; I < 3; ++I)
      Table.onEnd("a", CallEnd::Failed, nullptr, Clock.now());
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen());
  }

  void choiceWhenListHasReplacementUsesIt() {
    membership::PeerIdentity Replacement{
        "c", {"127.0.0.1", 9100}, "dc-a", "portal", true};
    Table.configure(Fleet, {&Replacement, 1});
    receiveHeartbeat("c");
    CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen());
  }

  void coversServicesWhenNoAgentIsAliveIsFalse() {
    CPPUNIT_ASSERT(!Table.coversServices(Clock.now()));
    receiveHeartbeat("b");
    CPPUNIT_ASSERT(Table.coversServices(Clock.now()));
  }

  void subsetWhenFleetIsLargePrefersLocalDataCentre() {
    for (int I = 0; I < 40; ++I)
      addAgent("far-" + std::to_string(I), "dc-b");
    Fleet.Limits.Subset = 8;
    Table.configure(Fleet, {});
    int LocalPeers = 0;
    auto Peers = Table.peers(Clock.now());
    for (const auto &Peer : Peers)
      LocalPeers += Peer.Identity.DataCentre == "dc-a";
    CPPUNIT_ASSERT_EQUAL(size_t(8), Peers.size());
    CPPUNIT_ASSERT_EQUAL(2, LocalPeers);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BackendsTest);

} // namespace ragwort::entry
