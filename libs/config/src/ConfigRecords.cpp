//===- ConfigRecords.cpp - Reading and writing of configuration rows ------===//
#include "ragwort/config/ConfigRecords.h"
#include "ragwort/base/Hash.h"
#include "ragwort/config/TextChange.h"
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ragwort::config {

namespace {

using Json = nlohmann::json;
using platform::CommitResult;
using platform::Row;
using platform::TableClient;

// A reader that is more versions behind reads the full documents instead.
constexpr uint64_t MaxChangesRead = 64;
constexpr int CommitCheckTries = 5;
constexpr std::chrono::milliseconds CommitCheckDelay{200};

struct VersionedHead {
  Head Value;
  uint64_t RowVersion = 0;
};

std::string documentKey(const std::string &Hash) {
  return "config/document/" + Hash;
}

std::string printHead(const Head &H) {
  return Json{{"version", H.Version}, {"documents", H.Documents}}.dump();
}

absl::StatusOr<Head> parseHead(const std::string &Text) {
  Head Result;
  try {
    Json Parsed = Json::parse(Text);
    Parsed.at("version").get_to(Result.Version);
    Parsed.at("documents").get_to(Result.Documents);
  } catch (const Json::exception &Error) {
    return absl::DataLossError(std::string("malformed head row: ") +
                               Error.what());
  }
  return Result;
}

std::string printChange(const wire::ConfigChange &Change) {
  return Json{{"version", Change.Version},       {"change_id", Change.ChangeId},
              {"document", Change.Document},     {"offset", Change.Offset},
              {"removed", Change.Removed},       {"inserted", Change.Inserted},
              {"result_hash", Change.ResultHash}}
      .dump(-1, ' ', true, Json::error_handler_t::replace);
}

absl::StatusOr<wire::ConfigChange> parseChange(const std::string &Text) {
  wire::ConfigChange Change;
  try {
    Json Parsed = Json::parse(Text);
    Parsed.at("version").get_to(Change.Version);
    Parsed.at("change_id").get_to(Change.ChangeId);
    Parsed.at("document").get_to(Change.Document);
    Parsed.at("offset").get_to(Change.Offset);
    Parsed.at("removed").get_to(Change.Removed);
    Parsed.at("inserted").get_to(Change.Inserted);
    Parsed.at("result_hash").get_to(Change.ResultHash);
  } catch (const Json::exception &Error) {
    return absl::DataLossError(std::string("malformed change row: ") +
                               Error.what());
  }
  return Change;
}

asio::awaitable<absl::StatusOr<VersionedHead>>
readVersionedHead(TableClient &Table) {
  absl::StatusOr<Row> Found = co_await Table.read(std::string(HeadKey));
  if (!Found.ok())
    co_return Found.status();
  VersionedHead Result;
  Result.RowVersion = Found->Version;
  if (Found->Version == 0)
    co_return Result;
  absl::StatusOr<Head> Parsed = parseHead(Found->Value);
  if (!Parsed.ok())
    co_return Parsed.status();
  Result.Value = std::move(*Parsed);
  co_return Result;
}

asio::awaitable<absl::StatusOr<std::string>>
readDocument(TableClient &Table, const Head &Current, std::string Name) {
  auto It = Current.Documents.find(Name);
  if (It == Current.Documents.end())
    co_return std::string();
  absl::StatusOr<Row> Found = co_await Table.read(documentKey(It->second));
  if (!Found.ok())
    co_return Found.status();
  if (hash128Hex(Found->Value) != It->second)
    co_return absl::DataLossError("row of document " + Name +
                                  " does not match its hash");
  co_return std::move(Found->Value);
}

/// Returns whether the change row of \p Version holds \p ChangeId. Retries
/// while the service does not answer.
asio::awaitable<absl::StatusOr<bool>>
isChangeCommitted(TableClient &Table, uint64_t Version, std::string ChangeId) {
  absl::Status Last = absl::UnavailableError("change row not read");
  for (int Try = 0; Try < CommitCheckTries; ++Try) {
    absl::StatusOr<Row> Found = co_await Table.read(changeKey(Version));
    if (!Found.ok()) {
      Last = Found.status();
      co_await sleepFor(CommitCheckDelay);
      continue;
    }
    if (Found->Version == 0)
      co_return false;
    absl::StatusOr<wire::ConfigChange> Change = parseChange(Found->Value);
    if (!Change.ok())
      co_return Change.status();
    co_return Change->ChangeId == ChangeId;
  }
  co_return Last;
}

} // namespace

std::string changeKey(uint64_t Version) {
  // Zero-padded, so that key order is version order.
  char Key[48];
  std::snprintf(Key, sizeof(Key), "config/change/%016llu",
                static_cast<unsigned long long>(Version));
  return Key;
}

asio::awaitable<absl::StatusOr<Head>> readHead(TableClient &Table) {
  absl::StatusOr<VersionedHead> Found = co_await readVersionedHead(Table);
  if (!Found.ok())
    co_return Found.status();
  co_return std::move(Found->Value);
}

asio::awaitable<absl::StatusOr<wire::ConfigReply>>
readConfig(TableClient &Table, uint64_t HaveVersion) {
  absl::StatusOr<Head> Current = co_await readHead(Table);
  if (!Current.ok())
    co_return Current.status();
  wire::ConfigReply Reply;
  Reply.Version = Current->Version;
  if (Current->Version <= HaveVersion)
    co_return Reply;
  bool WantsChanges =
      HaveVersion > 0 && Current->Version - HaveVersion <= MaxChangesRead;
  for (uint64_t V = HaveVersion + 1; WantsChanges && V <= Current->Version;
       ++V) {
    absl::StatusOr<Row> Found = co_await Table.read(changeKey(V));
    if (!Found.ok())
      co_return Found.status();
    absl::StatusOr<wire::ConfigChange> Change = parseChange(Found->Value);
    if (!Change.ok())
      co_return Change.status();
    Reply.Changes.push_back(std::move(*Change));
  }
  if (WantsChanges)
    co_return Reply;
  for (const auto &[Name, Hash] : Current->Documents) {
    absl::StatusOr<std::string> Text =
        co_await readDocument(Table, *Current, Name);
    if (!Text.ok())
      co_return Text.status();
    wire::ConfigDocument Document;
    Document.Name = Name;
    Document.Text = std::move(*Text);
    Reply.Documents.push_back(std::move(Document));
  }
  co_return Reply;
}

asio::awaitable<absl::StatusOr<EditResult>>
writeEdit(TableClient &Table, Edit Change, uint64_t ExpectedVersion) {
  absl::StatusOr<VersionedHead> Current = co_await readVersionedHead(Table);
  if (!Current.ok())
    co_return Current.status();
  EditResult AtOtherVersion;
  AtOtherVersion.Version = Current->Value.Version;
  if (Current->Value.Version != ExpectedVersion) {
    // The version may have been advanced by an earlier attempt to write this
    // same edit.
    absl::StatusOr<bool> IsOurs =
        co_await isChangeCommitted(Table, ExpectedVersion + 1, Change.ChangeId);
    if (!IsOurs.ok())
      co_return IsOurs.status();
    AtOtherVersion.IsAccepted = *IsOurs;
    if (*IsOurs)
      AtOtherVersion.Version = ExpectedVersion + 1;
    co_return AtOtherVersion;
  }
  absl::StatusOr<std::string> Old =
      co_await readDocument(Table, Current->Value, Change.Document);
  if (!Old.ok())
    co_return Old.status();
  wire::ConfigChange Delta = makeChange(*Old, Change.NewText);
  Delta.Version = ExpectedVersion + 1;
  Delta.ChangeId = Change.ChangeId;
  Delta.Document = Change.Document;
  Head Next = Current->Value;
  Next.Version = Delta.Version;
  Next.Documents[Change.Document] = Delta.ResultHash;
  platform::Transaction T;
  T.Conditions.push_back({std::string(HeadKey), Current->RowVersion});
  T.Writes.push_back({std::string(HeadKey), printHead(Next)});
  T.Writes.push_back({documentKey(Delta.ResultHash), Change.NewText});
  T.Writes.push_back({changeKey(Delta.Version), printChange(Delta)});
  absl::StatusOr<CommitResult> Committed = co_await Table.commit(std::move(T));
  EditResult Result;
  Result.Version = Delta.Version;
  Result.Change = Delta;
  Result.IsAccepted = Committed.ok() && *Committed == CommitResult::Committed;
  if (Result.IsAccepted)
    co_return Result;
  // The write conflicted or got no answer. Only one writer can create a
  // version, so the change row of that version shows whether it was this edit.
  absl::StatusOr<bool> IsOurs =
      co_await isChangeCommitted(Table, Delta.Version, Change.ChangeId);
  if (!IsOurs.ok())
    co_return IsOurs.status();
  if (!*IsOurs && !Committed.ok())
    co_return Committed.status();
  Result.IsAccepted = *IsOurs;
  co_return Result;
}

} // namespace ragwort::config
