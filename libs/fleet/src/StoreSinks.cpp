//===- StoreSinks.cpp - Apply rows of the store to the gateway ------------===//
#include "ragwort/fleet/StoreSinks.h"
#include "ragwort/observe/Log.h"

namespace ragwort::fleet {

void ConfigSink::apply(const std::string &Document) {
  auto Config = Decode(Document);
  if (!Config.ok()) {
    logEvent(LogLevel::Error, "config-rejected",
             {{"reason", std::string(Config.status().message())},
              {"kept", Node.configVersion()}});
    return;
  }
  uint64_t Version = (*Config)->Version;
  if (Node.applyConfig(std::move(*Config)))
    Peers.publishConfig({Version, Document});
}

void ConfigSink::onList(RowList List, std::optional<TimePoint>) {
  for (const StoredRow &Row : List.Rows)
    if (Row.Key == Key)
      apply(Row.Value);
}

void ConfigSink::onChanges(RowChanges Changes, std::optional<TimePoint>) {
  // Of several versions only the newest is applied.
  const StoredRow *Newest = nullptr;
  for (const StoredRow &Row : Changes.Rows)
    if (Row.Key == Key && !Row.IsRemoved)
      Newest = &Row;
  if (Newest)
    apply(Newest->Value);
}

std::optional<dispatch::BackendInstance>
DirectorySink::decodeRow(const StoredRow &Row) {
  auto Instance = Decode(Row.Key, Row.Value);
  if (Instance.ok()) {
    UndecodableKeys.erase(Row.Key);
    return std::move(*Instance);
  }
  if (UndecodableKeys.size() < MaxUndecodableKeys &&
      UndecodableKeys.insert(Row.Key).second)
    logEvent(LogLevel::Warning, "server-row-skipped",
             {{"key", Row.Key},
              {"version", Row.Version},
              {"reason", std::string(Instance.status().message())}});
  return std::nullopt;
}

void DirectorySink::onList(RowList List, std::optional<TimePoint> GraceUntil) {
  std::vector<dispatch::BackendInstance> Listed;
  for (const StoredRow &Row : List.Rows)
    if (auto Instance = decodeRow(Row))
      Listed.push_back(std::move(*Instance));
  logEvent(LogLevel::Info, "directory-listed",
           {{"version", toString(List.Version)},
            {"servers", Listed.size()},
            {"grace", int(GraceUntil.has_value())}});
  Node.directory().replaceAll(std::move(Listed), List.Version, GraceUntil);
  Node.onDirectoryChanged();
}

void DirectorySink::logChange(const StoredRow &Row,
                              const dispatch::DirectoryChange &Change,
                              bool IsInGrace) const {
  const auto &Known = Node.directory().instances();
  auto Before = Known.find(Row.Key);
  if (Change.Entry && Before != Known.end()) {
    // While a server warms up, each of its entries has another cold time.
    dispatch::BackendInstance Same = Before->second;
    Same.ColdMillis = Change.Entry->ColdMillis;
    if (Same == *Change.Entry)
      return;
  }
  std::string_view State = "gone";
  if (Change.Entry)
    State = Change.Entry->IsDraining ? "draining" : "ready";
  logEvent(LogLevel::Info, "server-changed",
           {{"instance", Row.Key},
            {"version", Row.Version},
            {"state", State},
            {"grace", int(IsInGrace)}});
}

void DirectorySink::onChanges(RowChanges Changes,
                              std::optional<TimePoint> GraceUntil) {
  std::vector<dispatch::DirectoryChange> Decoded;
  for (const StoredRow &Row : Changes.Rows) {
    // A row that cannot be decoded counts as removed.
    dispatch::DirectoryChange Change{Row.Key, std::nullopt};
    if (!Row.IsRemoved)
      Change.Entry = decodeRow(Row);
    logChange(Row, Change, GraceUntil.has_value());
    Decoded.push_back(std::move(Change));
  }
  Node.directory().apply(std::move(Decoded), Changes.Version, GraceUntil);
  Node.onDirectoryChanged();
}

} // namespace ragwort::fleet
