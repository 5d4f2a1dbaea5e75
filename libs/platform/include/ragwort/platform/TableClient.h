//===- TableClient.h - The system's own table in the platform's store -----===//
//
// Restricts the store's client, platform/PlatformStore.h, to this table. The
// store is also called the table service.
//
// An error status means that the store did not answer or refused the call. A
// transaction may have taken effect nevertheless; callers must find out by
// reading.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_PLATFORM_TABLECLIENT_H
#define RAGWORT_PLATFORM_TABLECLIENT_H

#include "ragwort/base/Time.h"
#include "ragwort/platform/Table.h"
#include "ragwort/transport/Asio.h"
#include <absl/status/statusor.h>
#include <memory>

namespace ragwort::adapter {
class PlatformStore;
} // namespace ragwort::adapter

namespace ragwort::platform {

/// Client with one connection to the store.
///
/// \code
///   TableClient Table(Executor, Platform, std::chrono::seconds(2));
///   absl::StatusOr<Row> Head = co_await Table.read("config/head");
/// \endcode
class TableClient {
public:
  /// Each call times out after \p Timeout. Only one call may be in progress at
  /// a time.
  TableClient(asio::any_io_executor Executor, Address StoreAddress,
              Duration Timeout);
  ~TableClient();

  /// Reads one row, whose version is 0 if it does not exist.
  asio::awaitable<absl::StatusOr<Row>> read(std::string Key);
  /// Reads at most \p Limit rows whose key begins with \p Prefix and comes
  /// after \p After, in key order.
  asio::awaitable<absl::StatusOr<std::vector<Row>>>
  scan(std::string Prefix, std::string After, size_t Limit);
  /// Makes all writes of \p T, or none if one of its conditions does not hold.
  asio::awaitable<absl::StatusOr<CommitResult>> commit(Transaction T);

private:
  std::unique_ptr<adapter::PlatformStore> Store;
};

} // namespace ragwort::platform

#endif
