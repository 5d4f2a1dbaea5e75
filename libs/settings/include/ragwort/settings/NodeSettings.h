//===- NodeSettings.h - What one process is told at its start -------------===//
//
// The file that `--config` names: who the process is, where it listens, where
// the platform is, and the secrets. Everything that operators change while the
// fleet runs is in FleetSettings instead.
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

/// A shared key and its number.
struct KeySettings {
  uint8_t Id = 0;
  std::string Secret;
};

/// The backend server beside an agent.
struct BackendSettings {
  Address Server;
  /// Requests that it may run at once.
  uint32_t Capacity = 8;
  /// Whether it refuses orders with an old fencing number.
  bool ChecksFencing = false;
  /// Rank group that it belongs to, or empty, and its rank there.
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
  /// Address for callers; entry nodes only. Port 0 takes any free port.
  Address CallerAddress{"127.0.0.1", 0};
  /// Address for other processes of the system: TCP frames, UDP heartbeats.
  Address PeerAddress{"127.0.0.1", 0};
  /// Address of the admin endpoints.
  Address Admin{"127.0.0.1", 0};
  std::string AdminToken;
  Address Platform;
  /// Peers to ask for the configuration when the platform is down.
  std::vector<Address> Seeds;
  /// Keys for frames between processes; the first one signs.
  std::vector<KeySettings> Keys;
  uint32_t Workers = 2;
  std::string LogLevel = "info";
  /// Service of an agent's backend server.
  std::string Service;
  BackendSettings Backend;
  /// Time that a planned stop waits for requests in progress.
  Duration DrainTimeout = std::chrono::minutes(10);
};

/// Parses and checks a node file. The error lists every problem.
absl::StatusOr<NodeSettings> loadNodeSettings(std::string_view File,
                                              std::string_view Text);

} // namespace ragwort::settings

#endif
