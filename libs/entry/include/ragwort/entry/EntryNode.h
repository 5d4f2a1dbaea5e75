//===- EntryNode.h - Daemon that accepts callers' requests ----------------===//
//
// Serves HTTP to callers and exchanges frames with agents and other entry
// nodes.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_ENTRYNODE_H
#define RAGWORT_ENTRY_ENTRYNODE_H

#include "ragwort/node/NodeContext.h"
#include <absl/status/status.h>
#include <memory>

namespace ragwort {

/// \code
///   EntryNode Entry(Context);
///   return runDaemon(Context, Entry);
/// \endcode
class EntryNode {
public:
  explicit EntryNode(NodeContext &Context);
  ~EntryNode();

  /// Starts to listen for peers and for the admin interface. The address for
  /// callers is opened later, once requests can be served.
  absl::Status start();
  /// Starts a graceful shutdown and returns. Readiness checks fail at once,
  /// then no connection is accepted, and the io_context is stopped when the
  /// requests in progress have finished or the drain timeout has passed.
  void drain();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace ragwort

#endif
