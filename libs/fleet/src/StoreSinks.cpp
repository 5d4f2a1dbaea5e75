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

namespace {

using dispatch::BackendInstance;

/// Why \p Next cannot follow \p Known; empty if it can. An id keeps its
/// service, and one run its address and data centre.
std::string_view contradiction(const BackendInstance &Known,
                               const BackendInstance &Next) {
  if (Next.Service != Known.Service)
    return "names another service than before";
  if (Next.BornMillis != Known.BornMillis)
    return "";
  if (Next.Address != Known.Address)
    return "names another address than before for the same run";
  if (Next.DataCentre != Known.DataCentre)
    return "names another data centre than before for the same run";
  return "";
}

} // namespace

std::optional<BackendInstance> DirectorySink::decodeRow(const StoredRow &Row) {
  absl::StatusOr<BackendInstance> Decoded = Decode(Row.Key, Row.Value);
  std::string Reason(Decoded.status().message());
  const auto &Entries = Node.directory().instances();
  if (auto Known = Entries.find(Row.Key);
      Decoded.ok() && Known != Entries.end())
    Reason = contradiction(Known->second, *Decoded);
  if (Reason.empty()) {
    RefusedKeys.erase(Row.Key);
    return std::move(*Decoded);
  }
  RefusedRows.add();
  if (RefusedKeys.size() < MaxRefusedKeys && RefusedKeys.insert(Row.Key).second)
    logEvent(LogLevel::Warning, "server-row-skipped",
             {{"key", Row.Key}, {"version", Row.Version}, {"reason", Reason}});
  return std::nullopt;
}

void DirectorySink::onList(RowList List, std::optional<TimePoint> GraceUntil) {
  std::vector<BackendInstance> Listed;
  dispatch::BackendDirectory::IdSet Refused;
  for (const StoredRow &Row : List.Rows) {
    if (auto Instance = decodeRow(Row))
      Listed.push_back(std::move(*Instance));
    else
      Refused.insert(Row.Key);
  }
  logEvent(LogLevel::Info, "directory-listed",
           {{"version", toString(List.Version)},
            {"servers", Listed.size()},
            {"grace", int(GraceUntil.has_value())}});
  Node.directory().replaceAll(std::move(Listed), List.Version, GraceUntil,
                              Refused);
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
  // One after the other, because a row is compared with the entry before it.
  for (const StoredRow &Row : Changes.Rows) {
    dispatch::DirectoryChange Change{Row.Key, std::nullopt};
    if (Row.IsRemoved)
      RefusedKeys.erase(Row.Key);
    else
      Change.Entry = decodeRow(Row);
    if (!Row.IsRemoved && !Change.Entry)
      continue;
    logChange(Row, Change, GraceUntil.has_value());
    Node.directory().apply({std::move(Change)}, Changes.Version, GraceUntil);
  }
  Node.directory().apply({}, Changes.Version, GraceUntil);
  Node.onDirectoryChanged();
}

} // namespace ragwort::fleet
