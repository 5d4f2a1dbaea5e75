//===- TableClient.cpp - The system's own table in the platform's store ---===//
#include "ragwort/platform/TableClient.h"
#include "platform/PlatformStore.h"

namespace ragwort::platform {

namespace {

// Holds all rows of the programs in apps/.
constexpr const char *OwnTable = "ragwort";

} // namespace

TableClient::TableClient(asio::any_io_executor Executor, Address StoreAddress,
                         Duration Timeout)
    : Store(std::make_unique<adapter::PlatformStore>(
          Executor, std::move(StoreAddress), Timeout)) {}

TableClient::~TableClient() = default;

asio::awaitable<absl::StatusOr<Row>> TableClient::read(std::string Key) {
  co_return co_await Store->read(OwnTable, std::move(Key));
}

asio::awaitable<absl::StatusOr<std::vector<Row>>>
TableClient::scan(std::string Prefix, std::string After, size_t Limit) {
  co_return co_await Store->scan(OwnTable, std::move(Prefix), std::move(After),
                                 Limit);
}

asio::awaitable<absl::StatusOr<CommitResult>>
TableClient::commit(Transaction T) {
  co_return co_await Store->commit(OwnTable, std::move(T));
}

} // namespace ragwort::platform
