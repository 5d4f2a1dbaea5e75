//===- NodeContext.h - What every part of a process shares ----------------===//
//
// Identity, keys, metrics and the executor of one daemon, made once in main
// and passed to the constructors of its parts.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_NODE_NODECONTEXT_H
#define RAGWORT_NODE_NODECONTEXT_H

#include "ragwort/base/Ids.h"
#include "ragwort/observe/Metrics.h"
#include "ragwort/settings/NodeSettings.h"
#include "ragwort/transport/Asio.h"
#include "ragwort/wire/Authenticator.h"
#include "ragwort/wire/Messages.h"

namespace ragwort {

/// \code
///   NodeContext Context(std::move(Node), Io);
///   AgentNode Agent(Context);
/// \endcode
struct NodeContext {
  NodeContext(settings::NodeSettings Node, asio::io_context &Io);

  /// Hello that this process sends.
  wire::Hello hello() const;

  const settings::NodeSettings Node;
  asio::io_context &Io;
  const Incarnation Self;
  const wire::Keyring Keys;
  MetricsRegistry Metrics;
};

} // namespace ragwort

#endif
