//===- EntryNode.h - The process that callers speak to --------------------===//
//
// Speaks HTTP to callers, frames to agents and other entry nodes.
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

  absl::Status start();
  /// Fails readiness, then accepts nothing, finishes every request in
  /// progress, then stops the io_context.
  void drain();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace ragwort

#endif
