//===- StoreSinksTest.cpp - Tests of StoreSinks.h -------------------------===//
//
// Checks what a node that has a configuration and a directory makes of a store
// that was restored from an older backup.
//
//===----------------------------------------------------------------------===//
#include "ragwort/fleet/StoreSinks.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::fleet {

class StoreSinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreSinksTest);
  CPPUNIT_TEST(configWhenTheStoreIsRestoredStaysInForce);
  CPPUNIT_TEST(configWhenWrittenAfterARestoreIsApplied);
  CPPUNIT_TEST(rowWhenItCannotBeDecodedIsSkipped);
  CPPUNIT_TEST(serverWhenDrainingBeforeARestoreReceivesNothing);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io{1};
  MetricsRegistry Metrics;
  std::unique_ptr<gateway::Gateway> Node;
  std::unique_ptr<PeerExchange> Peers;
  std::unique_ptr<ConfigSink> Configs;
  std::unique_ptr<DirectorySink> Servers;

public:
  void setUp() override {
    Node = std::make_unique<gateway::Gateway>(
        Io, gateway::GatewayOptions(), gateway::ProtocolNames(), Metrics);
    Peers = std::make_unique<PeerExchange>(Io, PeerOptions(), *Node,
                                           [](const ConfigDocument &) {});
    Configs = std::make_unique<ConfigSink>(*Node, *Peers, "config", decode);
    Servers = std::make_unique<DirectorySink>(*Node, decodeServer);
  }

private:
  /// A document is just its version.
  static absl::StatusOr<std::shared_ptr<const gateway::TrafficConfig>>
  decode(std::string_view Document) {
    auto Config = std::make_shared<gateway::TrafficConfig>();
    Config->Version = std::stoull(std::string(Document));
    return Config;
  }

  /// A row is the state of its server.
  static absl::StatusOr<dispatch::BackendInstance>
  decodeServer(std::string_view Id, std::string_view Row) {
    if (Row != "ready" && Row != "draining")
      return absl::InvalidArgumentError("unknown state");
    dispatch::BackendInstance B;
    B.Id = Id;
    B.Service = "s";
    B.Address = "10.0.0.1:1";
    B.IsDraining = Row == "draining";
    return B;
  }

  static RowList list(dispatch::StoreVersion Version, const char *Key,
                      const char *Value) {
    return {{{Key, Value, Version.Number, false}}, Version};
  }
  static RowChanges changes(dispatch::StoreVersion Version, const char *Key,
                            const char *Value) {
    return {{{Key, Value, Version.Number, false}}, Version, false};
  }

public:
  void configWhenTheStoreIsRestoredStaysInForce() {
    Configs->onList(list({1, 90}, "config", "12"), std::nullopt);
    Configs->onList(list({2, 40}, "config", "10"), std::nullopt);
    CPPUNIT_ASSERT_EQUAL(uint64_t(12), Node->configVersion());
    // The operator writes again what the store has lost, one version after the
    // other. None of them may revert the node.
    Configs->onChanges(changes({2, 41}, "config", "11"), std::nullopt);
    CPPUNIT_ASSERT_EQUAL(uint64_t(12), Node->configVersion());
    Configs->onChanges(changes({2, 42}, "config", "12"), std::nullopt);
    CPPUNIT_ASSERT_EQUAL(uint64_t(12), Node->configVersion());
  }

  void configWhenWrittenAfterARestoreIsApplied() {
    Configs->onList(list({1, 90}, "config", "12"), std::nullopt);
    Configs->onList(list({2, 40}, "config", "10"), std::nullopt);
    Configs->onChanges(changes({2, 41}, "config", "13"), std::nullopt);
    CPPUNIT_ASSERT_EQUAL(uint64_t(13), Node->configVersion());
  }

  void rowWhenItCannotBeDecodedIsSkipped() {
    Servers->onList(list({1, 90}, "a", "?"), std::nullopt);
    CPPUNIT_ASSERT(Node->directory().isKnown());
    CPPUNIT_ASSERT(Node->directory().instances().empty());
  }

  void serverWhenDrainingBeforeARestoreReceivesNothing() {
    Servers->onList(list({1, 80}, "a", "ready"), std::nullopt);
    Servers->onChanges(changes({1, 90}, "a", "draining"), std::nullopt);
    TimePoint Now = SteadyClock().now();
    Servers->onList(list({2, 40}, "a", "ready"),
                    Now + dispatch::StoreRecoveryGrace);
    CPPUNIT_ASSERT(
        !Node->dispatcher().loadTracker().choose({"s", {}}, Now).has_value());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoreSinksTest);

} // namespace ragwort::fleet
