//===- NodeSettings.h - Start-up settings of one process ------------------===//
//
// Contents of the file given by `--config`: the identity of the process, its
// listen addresses, the platform's address and the secrets. Settings that can
// change while the fleet runs are in FleetSettings instead.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SETTINGS_NODESETTINGS_H
#define RAGWORT_SETTINGS_NODESETTINGS_H

#include "ragwort/base/Time.h"
#include "ragwort/settings/FleetSettings.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::settings {

/// A shared secret and its key id.
struct KeySettings {
  uint8_t Id = 0;
  std::string Secret;
};

/// The backend server that an agent serves.
struct BackendSettings {
  Address Server;
  /// Maximum number of requests that it runs at a time.
  uint32_t Capacity = 8;
  /// Whether it rejects commands with an outdated fencing number.
  bool ChecksFencing = false;
  /// Rank group that it belongs to, empty if none, and its rank in it.
  std::string Group;
  uint32_t Rank = 0;
};

/// Settings of one process.
///
/// \code
///   absl::StatusOr<NodeSettings> Node = loadNodeSettings("n.yaml", Text);
/// \endcode
struct NodeSettings {
  std::string Name;
  InstanceRole Role = InstanceRole::Entry;
  std::string Site;
  std::string DataCentre;
  /// Entry nodes only: listen address for callers. Port 0 picks a free port.
  Address CallerAddress{"127.0.0.1", 0};
  /// Listen address for other nodes' TCP frames and UDP heartbeats.
  Address PeerAddress{"127.0.0.1", 0};
  /// Listen address of the admin endpoints.
  Address Admin{"127.0.0.1", 0};
  std::string AdminToken;
  Address Platform;
  /// Peers that are asked for the configuration while the platform is down.
  std::vector<Address> Seeds;
  /// Keys that authenticate frames between processes; the first one signs.
  std::vector<KeySettings> Keys;
  uint32_t Workers = 2;
  std::string LogLevel = "info";
  /// Agents only: the service that the agent's backend server runs.
  std::string Service;
  BackendSettings Backend;
  /// Maximum time that a graceful shutdown waits for requests in progress.
  Duration DrainTimeout = std::chrono::minutes(10);
};

/// Parses and checks a node file. The error lists every problem found.
absl::StatusOr<NodeSettings> loadNodeSettings(std::string_view File,
                                              std::string_view Text);

} // namespace ragwort::settings

#endif
