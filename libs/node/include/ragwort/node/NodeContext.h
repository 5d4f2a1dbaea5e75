//===- NodeContext.h - Objects shared by all parts of a daemon ------------===//
//
// Contains the identity, keys, metrics and io_context of a daemon. It is
// created once in main() and passed to the constructors of the parts.
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

  /// The first message that this process sends on each connection.
  wire::Hello hello() const;

  const settings::NodeSettings Node;
  asio::io_context &Io;
  /// Random number that identifies this run of the process.
  const Incarnation Self;
  const wire::Keyring Keys;
  MetricsRegistry Metrics;
};

} // namespace ragwort

#endif
