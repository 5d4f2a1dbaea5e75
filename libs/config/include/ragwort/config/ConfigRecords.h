//===- ConfigRecords.h - The configuration's rows in the table service ----===//
//
// One head row orders all changes of all documents, so that "higher version"
// is total. Each change also writes a row of its own under its version, with
// the writer's change id: a writer whose answer was lost finds out there.
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
/// Key of the row of the change that made \p Version.
std::string changeKey(uint64_t Version);

/// Value of the head row.
struct Head {
  uint64_t Version = 0;
  /// Hash of each document, by name; names the row that holds its text.
  std::map<std::string, std::string> Documents;
};

/// An operator's edit of one document.
struct Edit {
  std::string ChangeId;
  std::string Document;
  std::string NewText;
};

/// What became of an edit.
struct EditResult {
  bool IsAccepted = false;
  /// The version made by the edit, or the current one when refused.
  uint64_t Version = 0;
  /// The accepted change, for telling nodes at once.
  wire::ConfigChange Change;
};

/// Reads the head; version 0 when nothing was ever written.
asio::awaitable<absl::StatusOr<Head>> readHead(platform::TableClient &Table);

/// What a replica at \p HaveVersion lacks, straight from the service.
asio::awaitable<absl::StatusOr<wire::ConfigReply>>
readConfig(platform::TableClient &Table, uint64_t HaveVersion);

/// Writes an edit on the condition that the configuration is still at
/// \p ExpectedVersion. A lost answer is settled by reading the change's row.
/// An error means that it is still open whether the edit took effect.
asio::awaitable<absl::StatusOr<EditResult>>
writeEdit(platform::TableClient &Table, Edit Change, uint64_t ExpectedVersion);

} // namespace ragwort::config

#endif
