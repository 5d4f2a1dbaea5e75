//===- TableClient.cpp - JSON over HTTP to the table service --------------===//
#include "ragwort/platform/TableClient.h"
#include <nlohmann/json.hpp>

namespace ragwort::platform {

namespace {

using Json = nlohmann::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;

absl::Status unexpected(const http::Response &R) {
  return absl::UnavailableError("table service answered status " +
                                std::to_string(R.Head.Status));
}

absl::StatusOr<Row> parseRow(const Json &Value) {
  if (!Value.is_object() || !Value.value("key", Json()).is_string() ||
      !Value.value("version", Json()).is_number_unsigned() ||
      !Value.value("value", Json()).is_string())
    return absl::UnavailableError("table service sent a malformed row");
  return Row{Value["key"], Value["version"], Value["value"]};
}

} // namespace

TableClient::TableClient(asio::any_io_executor Executor, Address Service,
                         Duration Timeout)
    : Connection(Executor, std::move(Service)), Timeout(Timeout) {}

asio::awaitable<absl::StatusOr<http::Response>>
TableClient::call(http::Request R) {
  absl::StatusOr<http::Response> Answer =
      co_await Connection.exchange(R, Timeout);
  if (!Answer.ok())
    Connection.close();
  co_return Answer;
}

asio::awaitable<absl::StatusOr<Row>> TableClient::read(std::string Key) {
  http::Request R;
  R.Target = "/table/row?key=" + Key;
  absl::StatusOr<http::Response> Answer = co_await call(std::move(R));
  if (!Answer.ok())
    co_return Answer.status();
  if (Answer->Head.Status == StatusNotFound) {
    Row Absent;
    Absent.Key = std::move(Key);
    co_return Absent;
  }
  if (Answer->Head.Status != StatusOk)
    co_return unexpected(*Answer);
  co_return parseRow(Json::parse(Answer->Body, nullptr, false));
}

asio::awaitable<absl::StatusOr<std::vector<Row>>>
TableClient::scan(std::string Prefix, std::string After, size_t Limit) {
  http::Request R;
  R.Target = "/table/scan?prefix=" + Prefix + "&after=" + After +
             "&limit=" + std::to_string(Limit);
  absl::StatusOr<http::Response> Answer = co_await call(std::move(R));
  if (!Answer.ok())
    co_return Answer.status();
  if (Answer->Head.Status != StatusOk)
    co_return unexpected(*Answer);
  Json Parsed = Json::parse(Answer->Body, nullptr, false);
  if (!Parsed.is_array())
    co_return absl::UnavailableError("table service sent no list of rows");
  std::vector<Row> Rows;
  for (const Json &Item : Parsed) {
    absl::StatusOr<Row> One = parseRow(Item);
    if (!One.ok())
      co_return One.status();
    Rows.push_back(std::move(*One));
  }
  co_return Rows;
}

asio::awaitable<absl::StatusOr<CommitResult>>
TableClient::commit(Transaction T) {
  Json Body = {{"conditions", Json::array()}, {"writes", Json::array()}};
  for (const Condition &C : T.Conditions)
    Body["conditions"].push_back({{"key", C.Key}, {"version", C.Version}});
  for (const Write &W : T.Writes)
    Body["writes"].push_back({{"key", W.Key}, {"value", W.Value}});
  http::Request R;
  R.Method = "POST";
  R.Target = "/table/transaction";
  R.Headers.push_back({"Content-Type", "application/json"});
  R.Body = Body.dump(-1, ' ', true, Json::error_handler_t::replace);
  absl::StatusOr<http::Response> Answer = co_await call(std::move(R));
  if (!Answer.ok())
    co_return Answer.status();
  if (Answer->Head.Status == StatusOk)
    co_return CommitResult::Committed;
  if (Answer->Head.Status == StatusConflict)
    co_return CommitResult::Conflict;
  co_return unexpected(*Answer);
}

} // namespace ragwort::platform
