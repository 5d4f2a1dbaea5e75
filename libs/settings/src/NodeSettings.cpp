//===- NodeSettings.cpp - Parsing of node files ---------------------------===//
#include "ragwort/settings/NodeSettings.h"
#include "YamlReader.h"

namespace ragwort::settings {

namespace {

using namespace std::chrono_literals;

constexpr size_t MinSecretLength = 16;
constexpr size_t MaxKeys = 2;

void readKeys(MapReader &Map, NodeSettings &Node) {
  Map.require("keys");
  Map.list("keys", [&](MapReader &Item) {
    KeySettings Key;
    Item.require("id");
    Item.require("secret");
    Key.Id = static_cast<uint8_t>(Item.number("id", 1, 255).value_or(1));
    Key.Secret = Item.text("secret").value_or("");
    if (Key.Secret.size() < MinSecretLength)
      Item.report("secret", "is shorter than 16 characters");
    for (const KeySettings &Other : Node.Keys)
      if (Other.Id == Key.Id)
        Item.report("id", "is given twice");
    Node.Keys.push_back(std::move(Key));
  });
  if (Node.Keys.empty() || Node.Keys.size() > MaxKeys)
    Map.report("keys", "expected one or two keys");
}

void readBackend(MapReader &Map, NodeSettings &Node) {
  BackendSettings &Backend = Node.Backend;
  Map.require("address");
  Backend.Server = Map.address("address").value_or(Address());
  Backend.Capacity =
      static_cast<uint32_t>(Map.number("capacity", 1, 65536).value_or(8));
  Backend.ChecksFencing = Map.flag("checks_fencing").value_or(false);
  Backend.Group = Map.name("group").value_or("");
  Backend.Rank = static_cast<uint32_t>(Map.number("rank", 0, 1023).value_or(0));
}

void readAddresses(MapReader &Map, NodeSettings &Node) {
  Map.require("peers");
  Map.require("platform");
  Node.CallerAddress = Map.address("callers").value_or(Node.CallerAddress);
  Node.PeerAddress = Map.address("peers").value_or(Node.PeerAddress);
  Node.Admin = Map.address("admin").value_or(Node.Admin);
  Node.Platform = Map.address("platform").value_or(Node.Platform);
  Node.Seeds = Map.addresses("seeds").value_or(std::vector<Address>());
}

} // namespace

absl::StatusOr<NodeSettings> loadNodeSettings(std::string_view File,
                                              std::string_view Text) {
  Problems FoundProblems;
  NodeSettings Node;
  std::optional<YAML::Node> Root = loadYamlMap(File, Text, FoundProblems);
  if (!Root)
    return toStatus(FoundProblems);
  MapReader Map(*Root, std::string(File), "", FoundProblems);
  for (const char *Key : {"name", "role", "site", "data_centre", "admin_token"})
    Map.require(Key);
  Node.Name = Map.name("name").value_or("");
  bool IsAgent = Map.choice("role", {"entry", "agent"}) == "agent";
  Node.Role = IsAgent ? InstanceRole::Agent : InstanceRole::Entry;
  Node.Site = Map.name("site").value_or("");
  Node.DataCentre = Map.name("data_centre").value_or("");
  Node.AdminToken = Map.text("admin_token").value_or("");
  if (Node.AdminToken.size() < MinSecretLength)
    Map.report("admin_token", "is shorter than 16 characters");
  readAddresses(Map, Node);
  readKeys(Map, Node);
  Node.Workers =
      static_cast<uint32_t>(Map.number("workers", 1, 64).value_or(2));
  Node.LogLevel = Map.choice("log_level", {"debug", "info", "warning", "error"})
                      .value_or("info");
  Node.DrainTimeout =
      Map.duration("drain_timeout", 1s, 24h).value_or(Node.DrainTimeout);
  Node.Service = Map.name("service").value_or("");
  Map.map("backend", [&](MapReader &Item) { readBackend(Item, Node); });
  if (IsAgent) {
    Map.require("service");
    Map.require("backend");
  }
  Map.finish();
  if (!FoundProblems.empty())
    return toStatus(FoundProblems);
  return Node;
}

} // namespace ragwort::settings
