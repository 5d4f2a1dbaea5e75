//===- ConfigReplica.h - A node's copy of the configuration ---------------===//
//
// Holds the documents at the highest version seen and never goes back. Copies
// change by deltas where possible; a copy that does not fit asks for the whole.
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

/// Name of the shared document, and of a site's document.
inline constexpr std::string_view BaseDocument = "base";
std::string overlayDocument(std::string_view Site);

/// What became of a reply that was merged.
enum class MergeResult : uint8_t {
  /// The replica now has a higher version.
  Advanced,
  /// The reply has nothing new.
  Unchanged,
  /// The changes do not fit; the whole documents are needed.
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
  /// Text of a document, or nothing when there is none of that name.
  std::optional<std::string_view> document(std::string_view Name) const;

  /// Takes changes or whole documents. Lower versions are ignored.
  MergeResult merge(const wire::ConfigReply &Reply);

  /// What a peer at \p Fetch.HaveVersion lacks.
  wire::ConfigReply replyTo(const wire::ConfigFetch &Fetch) const;

private:
  MergeResult mergeChanges(const wire::ConfigReply &Reply);

  // Invariant: never decreases, and names the version of all documents.
  uint64_t Version = 0;
  std::map<std::string, std::string, std::less<>> Documents;
  // The latest changes, for peers that are a little behind. Invariant: their
  // versions are consecutive and the last one is Version.
  std::deque<wire::ConfigChange> Recent;
};

} // namespace ragwort::config

#endif
