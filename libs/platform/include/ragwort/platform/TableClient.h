//===- TableClient.h - The system's own table in the platform's store -----===//
//
// A narrow view of the one client of the store, platform/PlatformStore.h.
//
// An error status means that the service did not answer: a transaction may
// still have taken effect. Callers settle that by reading, never by guessing.
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

/// \code
///   TableClient Table(Executor, Platform, std::chrono::seconds(2));
///   absl::StatusOr<Row> Head = co_await Table.read("config/head");
/// \endcode
class TableClient {
public:
  /// \p Timeout bounds each call. One call at a time uses the connection.
  TableClient(asio::any_io_executor Executor, Address Service,
              Duration Timeout);
  ~TableClient();

  asio::awaitable<absl::StatusOr<Row>> read(std::string Key);
  /// Rows whose key begins with \p Prefix and follows \p After, in key order,
  /// at most \p Limit.
  asio::awaitable<absl::StatusOr<std::vector<Row>>>
  scan(std::string Prefix, std::string After, size_t Limit);
  asio::awaitable<absl::StatusOr<CommitResult>> commit(Transaction T);

private:
  std::unique_ptr<adapter::PlatformStore> Store;
};

} // namespace ragwort::platform

#endif
