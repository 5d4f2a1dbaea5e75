//===- Platform.cpp - Table, objects, weights and instances ---------------===//
//
// Rows are kept and followed as the platform publishes it. Faults are set by
// POST /faults with any of: down (bool), delay_ms, lose_answers (count of
// transactions that take effect unanswered), list_lag_ms, forget_history. The
// fault and instance endpoints themselves never fail.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include <algorithm>
#include <deque>
#include <map>
#include <tuple>

namespace ragwort::standin {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int64_t DefaultWeightBytesPerSecond = 100'000'000;

/// Table, part and key.
using RowPlace = std::tuple<std::string, std::string, std::string>;

struct StoredRow {
  uint64_t Version = 0;
  /// Base64, as it came.
  std::string Value;
  bool IsRemoved = false;
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
    ++Calls[std::string(Path)];
    if (IsDown)
      co_return; // The connection is cut without an answer.
    if (DelayMillis > 0)
      co_await sleepFor(std::chrono::milliseconds(DelayMillis));
    if (Path.starts_with("/weights/"))
      co_await payWeights(R);
    http::Response Answer;
    if (Path == "/rows-feed")
      Answer = co_await feed(R);
    else
      Answer = answer(R, Path);
    if (Path == "/rows-tx" && LoseAnswers > 0) {
      --LoseAnswers;
      co_return;
    }
    co_await X.respond(std::move(Answer));
  }

private:
  http::Response answer(const http::Request &R, std::string_view Path) {
    if (Path == "/rows-get")
      return readRows(R);
    if (Path == "/rows-tx")
      return transact(R);
    if (Path.starts_with("/objects/"))
      return object(R, std::string(Path));
    if (Path.starts_with("/weights/"))
      return jsonResponse(200, {{"loaded", true}});
    if (Path == "/instances")
      return list(R);
    if (Path == "/calls")
      return jsonResponse(200, Calls);
    return jsonResponse(404, {{"error", "no such endpoint"}});
  }

  static Json rowJson(const RowPlace &Place, const StoredRow &Row) {
    Json Result = {{"table", std::get<0>(Place)},
                   {"part", std::get<1>(Place)},
                   {"key", std::get<2>(Place)},
                   {"ver", Row.Version}};
    if (Row.IsRemoved)
      Result["removed"] = true;
    else
      Result["value"] = Row.Value;
    return Result;
  }

  static RowPlace placeOf(const Json &Entry) {
    return {Entry.at("table"), Entry.at("part"), Entry.at("key")};
  }

  uint64_t versionOf(const RowPlace &Place) const {
    auto Found = Rows.find(Place);
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
      const auto &[OfTable, OfPart, Key] = It->first;
      if (OfTable != Table || OfPart != Part ||
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

  /// Holds the answer until there is a change or the time is over.
  asio::awaitable<http::Response> feed(const http::Request &R) const {
    std::string Table = queryValue(R.Target, "table");
    uint64_t After =
        std::strtoull(queryValue(R.Target, "after").c_str(), nullptr, 10);
    int64_t WaitMillis =
        std::strtoll(queryValue(R.Target, "waitMs").c_str(), nullptr, 10);
    if (After < OldestVersion)
      co_return jsonResponse(410, newestVersion());
    auto End = Clock::now() + std::chrono::milliseconds(WaitMillis);
    std::vector<std::pair<uint64_t, Json>> Changed;
    while (true) {
      for (const auto &[Place, Row] : Rows)
        if (std::get<0>(Place) == Table && Row.Version > After)
          Changed.emplace_back(Row.Version, rowJson(Place, Row));
      if (!Changed.empty() || Clock::now() >= End)
        break;
      co_await sleepFor(std::chrono::milliseconds(5));
    }
    std::sort(Changed.begin(), Changed.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    Json Answer = newestVersion();
    Answer["rows"] = Json::array();
    for (auto &[Version, Row] : Changed)
      Answer["rows"].push_back(std::move(Row));
    co_return jsonResponse(200, Answer);
  }

  http::Response transact(const http::Request &R) {
    Json Body = Json::parse(R.Body, nullptr, false);
    if (!Body.is_object())
      return jsonResponse(400, {{"error", "malformed"}});
    for (const Json &C : Body["expectedRevision"])
      if (versionOf(placeOf(C)) != C["ver"].get<uint64_t>()) {
        Json Answer = newestVersion();
        Answer["rows"] = Json::array();
        return jsonResponse(412, Answer);
      }
    ++NewestVersion;
    for (const Json &W : Body["upserts"])
      Rows[placeOf(W)] = {NewestVersion, W["value"].get<std::string>(), false};
    for (const Json &Removed : Body["remove"])
      Rows[placeOf(Removed)] = {NewestVersion, "", true};
    return jsonResponse(200, newestVersion());
  }

  http::Response object(const http::Request &R, const std::string &Path) {
    if (R.Method == "PUT") {
      Objects[Path] = R.Body;
      return jsonResponse(200, {{"stored", true}});
    }
    auto Place = Objects.find(Path);
    if (Place == Objects.end())
      return jsonResponse(404, {{"error", "no such object"}});
    return http::makeResponse(200, "application/octet-stream", Place->second);
  }

  asio::awaitable<void> payWeights(const http::Request &R) {
    int64_t Bytes =
        std::strtoll(queryValue(R.Target, "bytes").c_str(), nullptr, 10);
    auto Cost = std::chrono::microseconds(Bytes * 1'000'000 /
                                          DefaultWeightBytesPerSecond);
    WeightsFreeAt = std::max(WeightsFreeAt, Clock::now()) + Cost;
    co_await sleepFor(std::chrono::duration_cast<std::chrono::microseconds>(
        WeightsFreeAt - Clock::now()));
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

  http::Response list(const http::Request &R) {
    std::string DataCentre = queryValue(R.Target, "data_centre");
    auto Visible = Clock::now() - std::chrono::milliseconds(ListLagMillis);
    Json Result = Json::array();
    const std::map<std::string, Json> *Shown = nullptr;
    for (const Snapshot &S : History)
      if (S.At <= Visible)
        Shown = &S.Instances;
    if (Shown)
      for (const auto &[Name, Instance] : *Shown)
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
    LoseAnswers = Body.value("lose_answers", LoseAnswers);
    ListLagMillis = Body.value("list_lag_ms", ListLagMillis);
    if (Body.value("forget_history", false))
      OldestVersion = NewestVersion;
    return jsonResponse(200, {{"ok", true}});
  }

  struct Snapshot {
    Clock::time_point At;
    std::map<std::string, Json> Instances;
  };

  std::map<RowPlace, StoredRow> Rows;
  uint64_t NewestVersion = 1;
  // Changes up to here are forgotten.
  uint64_t OldestVersion = 0;
  std::map<std::string, std::string> Objects;
  std::map<std::string, Json> Instances;
  std::deque<Snapshot> History;
  std::map<std::string, uint64_t> Calls;
  Clock::time_point WeightsFreeAt{};
  bool IsDown = false;
  int64_t DelayMillis = 0;
  int64_t LoseAnswers = 0;
  int64_t ListLagMillis = 0;
};

} // namespace

std::unique_ptr<Service> makePlatform(asio::io_context &) {
  return std::make_unique<Platform>();
}

} // namespace ragwort::standin
