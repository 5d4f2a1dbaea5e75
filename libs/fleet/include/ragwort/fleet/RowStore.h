//===- RowStore.h - Interface of the persistent store ---------------------===//
//
// Tables of versioned rows, which the gateway lists completely or follows by
// their changes.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_ROWSTORE_H
#define RAGWORT_FLEET_ROWSTORE_H

#include "ragwort/dispatch/StoreVersion.h"
#include "ragwort/transport/Asio.h"
#include <absl/status/statusor.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwort::fleet {

/// A row, or the record of its removal.
struct StoredRow {
  std::string Key;
  std::string Value;
  /// Number of the transaction that wrote it.
  uint64_t Version = 0;
  bool IsRemoved = false;
};

/// The rows of a table at one version of the store.
struct RowList {
  std::vector<StoredRow> Rows;
  dispatch::StoreVersion Version;
};

/// Changes of a table in order, up to and including a version.
struct RowChanges {
  std::vector<StoredRow> Rows;
  dispatch::StoreVersion Version;
  /// The store no longer has the requested changes; the table must be listed
  /// again.
  bool IsHistoryLost = false;
};

/// A store that can list a table and report its changes after the version with
/// a given number, waiting up to a given time for one; its answer is overdue if
/// it comes later than that by more than a margin. An error status means that
/// the store did not respond in time or not with a valid response, that the
/// call was cancelled, or, with ResourceExhausted, that the store refused the
/// request. cancel() ends the call in progress.
template <class T>
concept RowStore = requires(T &Store, std::string Table, uint64_t After,
                            Duration Wait, Duration Margin) {
  {
    Store.list(Table)
    } -> std::same_as<asio::awaitable<absl::StatusOr<RowList>>>;
  {
    Store.follow(Table, After, Wait, Margin)
    } -> std::same_as<asio::awaitable<absl::StatusOr<RowChanges>>>;
  Store.cancel();
};

} // namespace ragwort::fleet

#endif
