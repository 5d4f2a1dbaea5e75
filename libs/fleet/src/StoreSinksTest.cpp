//===- StoreSinksTest.cpp - Tests of StoreSinks.h -------------------------===//
//
// Checks what a node that has a configuration and a directory makes of a store
// that was restored from an older backup.
//
//===----------------------------------------------------------------------===//
#include "ragwort/fleet/StoreSinks.h"
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace ragwort::fleet {

class StoreSinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreSinksTest);
  CPPUNIT_TEST(configWhenTheStoreIsRestoredStaysInForce);
  CPPUNIT_TEST(configWhenWrittenAfterARestoreIsApplied);
  CPPUNIT_TEST(rowWhenItCannotBeDecodedIsSkipped);
  CPPUNIT_TEST(serverWhenItsRowIsUnusableKeepsItsEntry);
  CPPUNIT_TEST(serverWhenItsRowIsUnusableStaysDraining);
  CPPUNIT_TEST(serverWhenItsUnusableRowIsRemovedIsGone);
  CPPUNIT_TEST(rowWhenItNamesAnotherServiceIsRefused);
  CPPUNIT_TEST(rowWhenItContradictsItsRunIsRefused);
  CPPUNIT_TEST(rowWhenOfANewRunMayNameAnotherAddress);
  CPPUNIT_TEST(rowAfterARemovalMayNameAnotherService);
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
    Servers = std::make_unique<DirectorySink>(*Node, decodeServer, Metrics);
  }

private:
  /// A document is just its version.
  static absl::StatusOr<std::shared_ptr<const gateway::TrafficConfig>>
  decode(std::string_view Document) {
    auto Config = std::make_shared<gateway::TrafficConfig>();
    Config->Version = std::stoull(std::string(Document));
    return Config;
  }

  /// A row is the state, service, address, data centre and run of its server;
  /// what it leaves out is as in all other rows.
  static absl::StatusOr<dispatch::BackendInstance>
  decodeServer(std::string_view Id, std::string_view Row) {
    dispatch::BackendInstance B;
    B.Id = Id;
    B.Service = "s";
    B.Address = "10.0.0.1:1";
    B.DataCentre = "d";
    std::string State;
    std::istringstream Words{std::string(Row)};
    Words >> State >> B.Service >> B.Address >> B.DataCentre >> B.BornMillis;
    if (State != "ready" && State != "draining")
      return absl::InvalidArgumentError("unknown state");
    B.IsDraining = State == "draining";
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

  /// Whether the server \p Id is chosen for \p Service.
  bool isUsed(std::string_view Id, std::string_view Service) {
    auto Chosen = Node->dispatcher().loadTracker().choose(
        {std::string(Service), {}}, SteadyClock().now());
    return Chosen && Chosen->Server->Id == Id;
  }
  uint64_t refused() {
    return Metrics.counter("ragwort_refused_rows_total", "table=\"servers\"")
        .value();
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

  void serverWhenItsRowIsUnusableKeepsItsEntry() {
    Servers->onList(list({1, 90}, "a", "ready"), std::nullopt);
    Servers->onChanges(changes({1, 91}, "a", "?"), std::nullopt);
    Servers->onList(list({1, 92}, "a", "?"), std::nullopt);
    CPPUNIT_ASSERT(isUsed("a", "s"));
    CPPUNIT_ASSERT(Node->directory().version() ==
                   (dispatch::StoreVersion{1, 92}));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), refused());
  }

  void serverWhenItsRowIsUnusableStaysDraining() {
    Servers->onList(list({1, 90}, "a", "ready"), std::nullopt);
    Servers->onChanges(changes({1, 91}, "a", "draining"), std::nullopt);
    Servers->onChanges(changes({1, 92}, "a", "ready t"), std::nullopt);
    CPPUNIT_ASSERT(!isUsed("a", "s") && !isUsed("a", "t"));
    CPPUNIT_ASSERT(Node->directory().instances().contains("a"));
  }

  void serverWhenItsUnusableRowIsRemovedIsGone() {
    Servers->onList(list({1, 90}, "a", "ready"), std::nullopt);
    Servers->onChanges(changes({1, 91}, "a", "?"), std::nullopt);
    RowChanges Removal = changes({1, 92}, "a", "");
    Removal.Rows[0].IsRemoved = true;
    Servers->onChanges(Removal, std::nullopt);
    CPPUNIT_ASSERT(Node->directory().instances().empty());
  }

  void rowWhenItNamesAnotherServiceIsRefused() {
    Servers->onList(list({1, 90}, "a", "ready s"), std::nullopt);
    for (const char *Row : {"ready t", "ready t 10.0.0.1:1 d 5"}) {
      Servers->onChanges(changes({1, 91}, "a", Row), std::nullopt);
      CPPUNIT_ASSERT(isUsed("a", "s") && !isUsed("a", "t"));
      Servers->onList(list({1, 91}, "a", Row), std::nullopt);
      CPPUNIT_ASSERT(isUsed("a", "s") && !isUsed("a", "t"));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), refused());
  }

  void rowWhenItContradictsItsRunIsRefused() {
    Servers->onList(list({1, 90}, "a", "ready s 10.0.0.1:1 d 5"), std::nullopt);
    for (const char *Row :
         {"ready s 10.0.0.2:1 d 5", "ready s 10.0.0.1:1 e 5"}) {
      Servers->onChanges(changes({1, 91}, "a", Row), std::nullopt);
      const dispatch::BackendInstance &Entry =
          Node->directory().instances().at("a");
      CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"), Entry.Address);
      CPPUNIT_ASSERT_EQUAL(std::string("d"), Entry.DataCentre);
    }
  }

  void rowWhenOfANewRunMayNameAnotherAddress() {
    Servers->onList(list({1, 90}, "a", "ready s 10.0.0.1:1 d 5"), std::nullopt);
    Servers->onChanges(changes({1, 91}, "a", "ready s 10.0.0.2:1 e 6"),
                       std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:1"),
                         Node->directory().instances().at("a").Address);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), refused());
  }

  void rowAfterARemovalMayNameAnotherService() {
    Servers->onList(list({1, 90}, "a", "ready s"), std::nullopt);
    RowChanges Both = changes({1, 92}, "a", "ready t");
    StoredRow Removal{"a", "", 91, true};
    Both.Rows.insert(Both.Rows.begin(), Removal);
    Servers->onChanges(Both, std::nullopt);
    CPPUNIT_ASSERT(isUsed("a", "t") && !isUsed("a", "s"));
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
