//===- ConfigReplica.h - A node's copy of the configuration ---------------===//
//
// Holds the documents at the highest version received; the version never
// decreases. Replicas are updated by changes where possible. A replica to which
// the changes cannot be applied needs the full documents.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_CONFIG_CONFIGREPLICA_H
#define RAGWORT_CONFIG_CONFIGREPLICA_H

#include "ragwort/wire/Messages.h"
#include <absl/status/status.h>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::config {

/// Name of the document that applies to all sites.
inline constexpr std::string_view BaseDocument = "base";
/// Name of the document that applies to one site only.
std::string overlayDocument(std::string_view Site);

/// The effect of merging a reply.
enum class MergeResult : uint8_t {
  /// The replica is now at a higher version.
  Advanced,
  /// The reply contains nothing newer than the replica.
  Unchanged,
  /// A change is missing or cannot be applied to this replica; the full
  /// documents are needed. The changes before it have been applied.
  NeedsFullDocuments,
};

/// \code
///   ConfigReplica Replica;
///   MergeResult R = Replica.merge(Reply);
///   wire::ConfigReply ForPeer = Replica.replyTo(Fetch);
/// \endcode
class ConfigReplica {
public:
  uint64_t version() const { return Version; }
  /// The text of a document, or nothing if there is no document of that name.
  std::optional<std::string_view> document(std::string_view Name) const;

  /// Applies changes or replaces all documents. A reply whose version is not
  /// higher than the replica's is ignored.
  MergeResult merge(const wire::ConfigReply &Reply);

  /// Builds the reply for a peer at \p Fetch.HaveVersion: the changes since
  /// that version if they are all in memory, or all documents.
  wire::ConfigReply replyTo(const wire::ConfigFetch &Fetch) const;

private:
  MergeResult mergeChanges(const wire::ConfigReply &Reply);

  // Invariant: never decreases, and is the version of all documents together.
  uint64_t Version = 0;
  std::map<std::string, std::string, std::less<>> Documents;
  // The latest changes, for peers that are only a few versions behind.
  // Invariant: their versions are consecutive and the last one is Version.
  std::deque<wire::ConfigChange> RecentChanges;
};

} // namespace ragwort::config

#endif
