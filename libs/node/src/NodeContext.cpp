//===- NodeContext.cpp - Objects shared by all parts of a daemon ----------===//
#include "ragwort/node/NodeContext.h"

namespace ragwort {

namespace {

wire::Keyring keyringOf(const settings::NodeSettings &Node) {
  wire::Keyring Keys;
  for (const settings::KeySettings &Key : Node.Keys)
    Keys.push_back({Key.Id, Key.Secret});
  return Keys;
}

} // namespace

NodeContext::NodeContext(settings::NodeSettings NewNode, asio::io_context &Io)
    : Node(std::move(NewNode)), Io(Io), Self{wire::randomNumber()},
      Keys(keyringOf(Node)) {}

wire::Hello NodeContext::hello() const {
  wire::Hello Hello;
  Hello.Node = Node.Name;
  Hello.Incarnation = Self.Value;
  return Hello;
}

} // namespace ragwort
