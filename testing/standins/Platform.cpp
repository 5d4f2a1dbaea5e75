//===- Platform.cpp - Stand-in for the platform's services ----------------===//
//
// Implements the platform's published interfaces for tables, objects, weights
// and the instance list. POST /faults sets any of: down (bool),
// delay_ms, lose_answers (number of transactions that are applied but get no
// response), list_lag_ms, forget_history (bool), restore (number of the last
// transactions that are lost), restore_s (seconds of transactions that are
// lost), stated_era (text in place of the era; null for the true one). /faults
// and /register/ are not subject to faults. GET /calls returns the number of
// calls of each path.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <tuple>

namespace ragwort::standin {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int64_t WeightBytesPerSecond = 100'000'000;

/// Table, part and key of a row.
using RowId = std::tuple<std::string, std::string, std::string>;

struct StoredRow {
  /// Table service version of the last change.
  uint64_t Version = 0;
  /// Base64, as received.
  std::string Value;
  bool IsRemoved = false;
};

/// What a row was before a transaction changed it; nothing if it did not exist.
struct Undo {
  Clock::time_point At;
  uint64_t Version = 0;
  RowId Id;
  std::optional<StoredRow> Before;
};

class Platform final : public Service {
public:
  asio::awaitable<void> handle(http::Exchange &X) override {
    const http::Request &R = X.request();
    std::string_view Path = pathOf(R.Target);
    if (Path == "/faults") {
      http::Response Answer = setFaults(R);
      co_await X.respond(std::move(Answer));
      co_return;
    }
    if (Path.starts_with("/register/")) {
      http::Response Answer = registerInstance(R);
      co_await X.respond(std::move(Answer));
      co_return;
    }
    ++CallCounts[std::string(Path)];
    if (IsDown)
      co_return; // Closes the connection without a response.
    if (DelayMillis > 0)
      co_await sleepFor(std::chrono::milliseconds(DelayMillis));
    if (Path.starts_with("/weights/"))
      co_await simulateWeightTransfer(R);
    http::Response Answer;
    if (Path == "/rows-feed")
      Answer = co_await waitForChanges(R);
    else
      Answer = handleCall(R, Path);
    if (Path == "/rows-tx" && AnswersToDrop > 0) {
      --AnswersToDrop;
      co_return;
    }
    std::string StatedEra = EraOverride.value_or(std::to_string(Era));
    if (!StatedEra.empty())
      Answer.Head.Headers.push_back({"Store-Era", std::move(StatedEra)});
    co_await X.respond(std::move(Answer));
  }

private:
  http::Response handleCall(const http::Request &R, std::string_view Path) {
    if (Path == "/rows-get")
      return readRows(R);
    if (Path == "/rows-tx")
      return transact(R);
    if (Path.starts_with("/objects/"))
      return handleObject(R, std::string(Path));
    if (Path.starts_with("/weights/"))
      return jsonResponse(200, {{"loaded", true}});
    if (Path == "/instances")
      return listInstances(R);
    if (Path == "/calls")
      return jsonResponse(200, CallCounts);
    return jsonResponse(404, {{"error", "no such endpoint"}});
  }

  static Json rowJson(const RowId &Id, const StoredRow &Row) {
    Json Result = {{"table", std::get<0>(Id)},
                   {"part", std::get<1>(Id)},
                   {"key", std::get<2>(Id)},
                   {"ver", Row.Version}};
    if (Row.IsRemoved)
      Result["removed"] = true;
    else
      Result["value"] = Row.Value;
    return Result;
  }

  static RowId rowIdOf(const Json &Entry) {
    return {Entry.at("table"), Entry.at("part"), Entry.at("key")};
  }

  uint64_t versionOf(const RowId &Id) const {
    auto Found = Rows.find(Id);
    return Found == Rows.end() || Found->second.IsRemoved
               ? 0
               : Found->second.Version;
  }

  Json newestVersion() const { return {{"ver", NewestVersion}}; }

  http::Response readRows(const http::Request &R) const {
    std::string Table = queryValue(R.Target, "table");
    std::string Part = queryValue(R.Target, "part");
    std::string From = queryValue(R.Target, "from");
    std::string Target = queryValue(R.Target, "target");
    size_t Limit = std::min<size_t>(
        500, std::strtoull(queryValue(R.Target, "limit").c_str(), nullptr, 10));
    Json Answer = newestVersion();
    Answer["rows"] = Json::array();
    Answer["hasMore"] = false;
    for (auto It = Rows.lower_bound({Table, Part, From}); It != Rows.end();
         ++It) {
      const auto &[RowTable, RowPart, Key] = It->first;
      if (RowTable != Table || RowPart != Part ||
          (!Target.empty() && Key >= Target))
        break;
      if (It->second.IsRemoved)
        continue;
      if (Answer["rows"].size() == Limit) {
        Answer["hasMore"] = true;
        break;
      }
      Answer["rows"].push_back(rowJson(It->first, It->second));
    }
    return jsonResponse(200, Answer);
  }

  /// Long poll: responds once there is a change or the wait time has passed.
  asio::awaitable<http::Response> waitForChanges(const http::Request &R) const {
    std::string Table = queryValue(R.Target, "table");
    uint64_t After =
        std::strtoull(queryValue(R.Target, "after").c_str(), nullptr, 10);
    int64_t WaitMillis =
        std::strtoll(queryValue(R.Target, "waitMs").c_str(), nullptr, 10);
    auto End = Clock::now() + std::chrono::milliseconds(WaitMillis);
    std::vector<std::pair<uint64_t, Json>> ChangedRows;
    while (true) {
      // The store may be restored while it waits.
      if (After < OldestVersion || After > NewestVersion)
        co_return jsonResponse(410, newestVersion());
      for (const auto &[Id, Row] : Rows)
        if (std::get<0>(Id) == Table && Row.Version > After)
          ChangedRows.emplace_back(Row.Version, rowJson(Id, Row));
      if (!ChangedRows.empty() || Clock::now() >= End)
        break;
      co_await sleepFor(std::chrono::milliseconds(5));
    }
    std::sort(ChangedRows.begin(), ChangedRows.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    Json Answer = newestVersion();
    Answer["rows"] = Json::array();
    for (auto &[Version, Row] : ChangedRows)
      Answer["rows"].push_back(std::move(Row));
    co_return jsonResponse(200, Answer);
  }

  http::Response transact(const http::Request &R) {
    Json Body = Json::parse(R.Body, nullptr, false);
    if (!Body.is_object())
      return jsonResponse(400, {{"error", "malformed"}});
    for (const Json &Condition : Body["expectedRevision"])
      if (versionOf(rowIdOf(Condition)) != Condition["ver"].get<uint64_t>()) {
        Json Answer = newestVersion();
        Answer["rows"] = Json::array();
        return jsonResponse(412, Answer);
      }
    ++NewestVersion;
    for (const Json &Upsert : Body["upserts"])
      setRow(rowIdOf(Upsert),
             {NewestVersion, Upsert["value"].get<std::string>(), false});
    for (const Json &Removed : Body["remove"])
      setRow(rowIdOf(Removed), {NewestVersion, "", true});
    return jsonResponse(200, newestVersion());
  }

  void setRow(const RowId &Id, StoredRow Row) {
    std::optional<StoredRow> Before;
    if (auto Found = Rows.find(Id); Found != Rows.end())
      Before = Found->second;
    Undos.push_back({Clock::now(), Row.Version, Id, std::move(Before)});
    if (Undos.size() > MaxUndos)
      Undos.pop_front();
    Rows[Id] = std::move(Row);
  }

  /// Goes back to the state before the changes that satisfy \p IsLost. They
  /// must be the latest ones.
  template <class Condition> void restore(Condition IsLost) {
    while (!Undos.empty() && IsLost(Undos.back())) {
      Undo &Last = Undos.back();
      if (Last.Before)
        Rows[Last.Id] = std::move(*Last.Before);
      else
        Rows.erase(Last.Id);
      NewestVersion = Last.Version - 1;
      Undos.pop_back();
    }
    OldestVersion = std::min(OldestVersion, NewestVersion);
    ++Era;
  }

  http::Response handleObject(const http::Request &R, const std::string &Path) {
    if (R.Method == "PUT") {
      Objects[Path] = R.Body;
      return jsonResponse(200, {{"stored", true}});
    }
    auto Found = Objects.find(Path);
    if (Found == Objects.end())
      return jsonResponse(404, {{"error", "no such object"}});
    return http::makeResponse(200, "application/octet-stream", Found->second);
  }

  /// Waits as long as the transfer would take. Transfers share the store's
  /// throughput and run one after another.
  asio::awaitable<void> simulateWeightTransfer(const http::Request &R) {
    int64_t Bytes =
        std::strtoll(queryValue(R.Target, "bytes").c_str(), nullptr, 10);
    auto TransferTime =
        std::chrono::microseconds(Bytes * 1'000'000 / WeightBytesPerSecond);
    WeightStoreFreeAt =
        std::max(WeightStoreFreeAt, Clock::now()) + TransferTime;
    co_await sleepFor(std::chrono::duration_cast<std::chrono::microseconds>(
        WeightStoreFreeAt - Clock::now()));
  }

  http::Response registerInstance(const http::Request &R) {
    std::string Name = std::string(pathOf(R.Target)).substr(10);
    if (R.Method == "DELETE")
      Instances.erase(Name);
    else
      Instances[Name] = Json::parse(R.Body, nullptr, false);
    History.push_back({Clock::now(), Instances});
    return jsonResponse(200, {{"ok", true}});
  }

  http::Response listInstances(const http::Request &R) {
    std::string DataCentre = queryValue(R.Target, "data_centre");
    auto VisibleUntil = Clock::now() - std::chrono::milliseconds(ListLagMillis);
    Json Result = Json::array();
    const std::map<std::string, Json> *Listed = nullptr;
    for (const Snapshot &S : History)
      if (S.At <= VisibleUntil)
        Listed = &S.Instances;
    if (Listed)
      for (const auto &[Name, Instance] : *Listed)
        if (DataCentre.empty() ||
            Instance.value("data_centre", "") == DataCentre)
          Result.push_back(Instance);
    return jsonResponse(200, Result);
  }

  http::Response setFaults(const http::Request &R) {
    Json Body = Json::parse(R.Body, nullptr, false);
    if (!Body.is_object())
      return jsonResponse(400, {{"error", "expected an object"}});
    IsDown = Body.value("down", IsDown);
    DelayMillis = Body.value("delay_ms", DelayMillis);
    AnswersToDrop = Body.value("lose_answers", AnswersToDrop);
    ListLagMillis = Body.value("list_lag_ms", ListLagMillis);
    if (Body.value("forget_history", false))
      OldestVersion = NewestVersion;
    if (uint64_t Lost = Body.value("restore", uint64_t(0)); Lost > 0)
      restore([Kept = NewestVersion - Lost](const Undo &U) {
        return U.Version > Kept;
      });
    if (double Seconds = Body.value("restore_s", 0.0); Seconds > 0)
      restore([Backup = Clock::now() - std::chrono::duration<double>(Seconds)](
                  const Undo &U) { return U.At > Backup; });
    if (Body.contains("stated_era")) {
      EraOverride.reset();
      if (Body["stated_era"].is_string())
        EraOverride = Body["stated_era"];
    }
    return jsonResponse(200, {{"ok", true}});
  }

  /// Instance list at a point in time, kept so that it can be returned with a
  /// lag.
  struct Snapshot {
    Clock::time_point At;
    std::map<std::string, Json> Instances;
  };

  static constexpr size_t MaxUndos = 100'000;

  std::map<RowId, StoredRow> Rows;
  /// Oldest first.
  std::deque<Undo> Undos;
  uint64_t Era = 1;
  std::optional<std::string> EraOverride;
  uint64_t NewestVersion = 1;
  /// Changes up to this version are no longer available.
  uint64_t OldestVersion = 0;
  std::map<std::string, std::string> Objects;
  std::map<std::string, Json> Instances;
  std::deque<Snapshot> History;
  std::map<std::string, uint64_t> CallCounts;
  Clock::time_point WeightStoreFreeAt{};
  bool IsDown = false;
  int64_t DelayMillis = 0;
  /// Number of transactions that are still to be applied without a response.
  int64_t AnswersToDrop = 0;
  int64_t ListLagMillis = 0;
};

} // namespace

std::unique_ptr<Service> makePlatform(asio::io_context &) {
  return std::make_unique<Platform>();
}

} // namespace ragwort::standin
