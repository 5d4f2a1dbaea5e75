//===- RowStore.h - The store that lasts, as the gateway uses it ----------===//
//
// Rows in tables, read as a whole or followed by their changes.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_ROWSTORE_H
#define RAGWORT_GATEWAY_ROWSTORE_H

#include "ragwort/base/Time.h"
#include "ragwort/transport/Asio.h"
#include <absl/status/statusor.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwort::gateway {

/// A row as read, or its removal.
struct StoredRow {
  std::string Key;
  std::string Value;
  uint64_t Version = 0;
  bool IsRemoved = false;
};

/// The rows of a table at one version of the store.
struct RowList {
  std::vector<StoredRow> Rows;
  uint64_t Version = 0;
};

/// Changes in order, up to a version.
struct RowChanges {
  std::vector<StoredRow> Rows;
  uint64_t Version = 0;
  /// The store no longer has the changes asked for: read the table anew.
  bool IsHistoryLost = false;
};

/// An error status means that the store did not answer or refused to.
template <class T>
concept RowStore = requires(T &Store, std::string Table, uint64_t After,
                            Duration Wait) {
  {
    Store.list(Table)
    } -> std::same_as<asio::awaitable<absl::StatusOr<RowList>>>;
  {
    Store.follow(Table, After, Wait)
    } -> std::same_as<asio::awaitable<absl::StatusOr<RowChanges>>>;
};

} // namespace ragwort::gateway

#endif
