//===- StoreSinks.h - Apply rows of the store to the gateway --------------===//
//
// The sinks of the two tables that a gateway follows: configuration and backend
// servers. Rows are decoded by functions that the adapter supplies.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_STORESINKS_H
#define RAGWORT_FLEET_STORESINKS_H

#include "ragwort/fleet/PeerExchange.h"
#include "ragwort/fleet/RowStore.h"
#include <functional>
#include <set>

namespace ragwort::fleet {

using ConfigDecoder =
    std::function<absl::StatusOr<std::shared_ptr<const gateway::TrafficConfig>>(
        std::string_view Document)>;
using InstanceDecoder = std::function<absl::StatusOr<dispatch::BackendInstance>(
    std::string_view Id, std::string_view Row)>;

/// Applies the operators' configuration to the gateway and makes it available
/// to peers.
class ConfigSink {
public:
  /// \p Key names the row that holds the newest configuration.
  ConfigSink(gateway::Gateway &Node, PeerExchange &Peers, std::string Key,
             ConfigDecoder Decode)
      : Node(Node), Peers(Peers), Key(std::move(Key)),
        Decode(std::move(Decode)) {}

  void onList(RowList List, std::optional<TimePoint> GraceUntil);
  void onChanges(RowChanges Changes, std::optional<TimePoint> GraceUntil);
  /// Applies a document from the store or from a peer. One that cannot be
  /// decoded is logged and ignored.
  void apply(const std::string &Document);

private:
  gateway::Gateway &Node;
  PeerExchange &Peers;
  const std::string Key;
  const ConfigDecoder Decode;
};

/// Keeps the gateway's directory of backend servers up to date.
///
/// A row that cannot be decoded, or that contradicts the entry of its id, was
/// written by other software: it is logged and counted, and the entry stays
/// until the row is removed or replaced by a usable one.
class DirectorySink {
public:
  DirectorySink(gateway::Gateway &Node, InstanceDecoder Decode,
                MetricsRegistry &Metrics)
      : Node(Node), Decode(std::move(Decode)),
        RefusedRows(Metrics.counter("ragwort_refused_rows_total",
                                    "table=\"servers\"")) {}

  void onList(RowList List, std::optional<TimePoint> GraceUntil);
  void onChanges(RowChanges Changes, std::optional<TimePoint> GraceUntil);

private:
  /// Decodes a row that was not removed; nothing if it is refused.
  std::optional<dispatch::BackendInstance> decodeRow(const StoredRow &Row);
  void logChange(const StoredRow &Row, const dispatch::DirectoryChange &Change,
                 bool IsInGrace) const;

  gateway::Gateway &Node;
  const InstanceDecoder Decode;
  Counter &RefusedRows;
  // Rows beyond this number are refused without a log line.
  static constexpr size_t MaxRefusedKeys = 1024;

  // Keys of rows that were refused, so that each is logged once.
  std::set<std::string> RefusedKeys;
};

} // namespace ragwort::fleet

#endif
