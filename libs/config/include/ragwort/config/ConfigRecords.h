//===- ConfigRecords.h - The configuration's rows in the table service ----===//
//
// A single head row holds the version, which is shared by all documents, so
// that all changes are totally ordered. Each change also writes a row under its
// version, with the writer's change id. A writer that got no answer reads that
// row to find out whether its change was committed.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_CONFIG_CONFIGRECORDS_H
#define RAGWORT_CONFIG_CONFIGRECORDS_H

#include "ragwort/platform/Table.h"
#include "ragwort/platform/TableClient.h"
#include "ragwort/wire/Messages.h"
#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>

namespace ragwort::config {

/// Key of the head row.
inline constexpr std::string_view HeadKey = "config/head";
/// Key of the row that holds the change with \p Version.
std::string changeKey(uint64_t Version);

/// Value of the head row.
struct Head {
  uint64_t Version = 0;
  /// Hash of each document, by document name. The document's text is stored in
  /// a row whose key contains the hash.
  std::map<std::string, std::string> Documents;
};

/// An operator's edit of one document.
struct Edit {
  std::string ChangeId;
  std::string Document;
  std::string NewText;
};

/// The result of writing an edit.
struct EditResult {
  bool IsAccepted = false;
  /// The version that the edit created. If the edit was rejected, a version
  /// that the configuration has reached without it.
  uint64_t Version = 0;
  /// The accepted change, which the writer may send to nodes directly. Not set
  /// if an earlier call of writeEdit() committed the edit.
  wire::ConfigChange Change;
};

/// Reads the head row; version 0 if no change was ever written.
asio::awaitable<absl::StatusOr<Head>> readHead(platform::TableClient &Table);

/// Reads from the table service what a replica at \p HaveVersion is missing:
/// the changes since then, or all documents if the replica has none or is too
/// many versions behind.
asio::awaitable<absl::StatusOr<wire::ConfigReply>>
readConfig(platform::TableClient &Table, uint64_t HaveVersion);

/// Writes an edit if the configuration is still at \p ExpectedVersion. If the
/// service's answer is lost, reads the change's row to find out whether the
/// edit was committed. On error the edit may or may not have been committed.
asio::awaitable<absl::StatusOr<EditResult>>
writeEdit(platform::TableClient &Table, Edit Change, uint64_t ExpectedVersion);

} // namespace ragwort::config

#endif
