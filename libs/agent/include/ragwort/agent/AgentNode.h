//===- AgentNode.h - Agent daemon of one backend server -------------------===//
//
// Receives requests from entry nodes, forwards them to its backend server and
// reports the load. Each attempt of a non-idempotent request starts at most
// once.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_AGENTNODE_H
#define RAGWORT_AGENT_AGENTNODE_H

#include "ragwort/node/NodeContext.h"
#include <absl/status/status.h>
#include <memory>

namespace ragwort {

/// Satisfies the concept Daemon.
///
/// \code
///   AgentNode Agent(Context);
///   return runDaemon(Context, Agent);
/// \endcode
class AgentNode {
public:
  explicit AgentNode(NodeContext &Context);
  ~AgentNode();

  /// Opens the listeners and starts the background loops.
  absl::Status start();
  /// Refuses new requests, completes the accepted ones within the drain timeout
  /// of the node settings, then stops the io_context.
  void drain();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace ragwort

#endif
