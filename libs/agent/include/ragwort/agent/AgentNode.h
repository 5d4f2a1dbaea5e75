//===- AgentNode.h - The process beside each backend server ---------------===//
//
// Takes requests from entry nodes, runs each at most once on its backend
// server, and reports load.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_AGENT_AGENTNODE_H
#define RAGWORT_AGENT_AGENTNODE_H

#include "ragwort/node/NodeContext.h"
#include <absl/status/status.h>
#include <memory>

namespace ragwort {

/// \code
///   AgentNode Agent(Context);
///   return runDaemon(Context, Agent);
/// \endcode
class AgentNode {
public:
  explicit AgentNode(NodeContext &Context);
  ~AgentNode();

  absl::Status start();
  /// Takes no new work, finishes what it has, then stops the io_context.
  void drain();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace ragwort

#endif
