//===- PeerHeartbeat.h - Heartbeat between gateway nodes ------------------===//
//
// Each node tells all others its load and the versions that it knows, a few
// times a second over UDP. Contents are fetched from a peer only by a node
// that stays behind.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_PEERHEARTBEAT_H
#define RAGWORT_GATEWAY_PEERHEARTBEAT_H

#include "ragwort/gateway/BackendDirectory.h"
#include "ragwort/gateway/LoadBoard.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::gateway {

/// Largest heartbeat that is sent or accepted, in bytes.
inline constexpr size_t MaxPeerDatagramBytes = 1400;
/// Peers named in one heartbeat.
inline constexpr size_t MaxNamedPeers = 32;

struct PeerHeartbeat {
  /// Beats of another protocol version are dropped.
  static constexpr uint16_t Protocol = 3;

  std::string Node;
  /// Tells two runs of one node apart.
  uint64_t Incarnation = 0;
  bool IsLeaving = false;
  uint64_t ConfigVersion = 0;
  uint64_t DirectoryVersion = 0;
  std::vector<InFlightReport> InFlight;
  /// IP numbers of other nodes, so that a new one finds them all.
  std::vector<std::string> PeerIps;
};

/// Leaves out names of peers, then the smallest loads, where the heartbeat
/// would be larger than MaxPeerDatagramBytes.
std::string encodeHeartbeat(PeerHeartbeat Heartbeat);
/// Never throws; fails on torn, oversized and foreign datagrams.
absl::StatusOr<PeerHeartbeat> decodeHeartbeat(std::string_view Datagram);

/// An agent's word on the engine beside it.
struct EngineNotice {
  /// Tells notices from heartbeats.
  static constexpr uint16_t Protocol = 1002;

  std::string EngineAddress;
  EngineCondition Condition = EngineCondition::Straggles;
};
std::string encodeNotice(const EngineNotice &Notice);
absl::StatusOr<EngineNotice> decodeNotice(std::string_view Datagram);

/// What agents have told a node, for its peers: agents know few nodes.
struct NoticeDigest {
  static constexpr uint16_t Protocol = 1003;

  std::vector<EngineWord> Entries;
};
/// As many datagrams as \p Entries take; none for none.
std::vector<std::string> encodeDigests(std::span<const EngineWord> Entries);
absl::StatusOr<NoticeDigest> decodeDigest(std::string_view Datagram);

/// A list of backend servers with its version.
struct DirectorySnapshot {
  uint64_t Version = 0;
  std::vector<BackendInstance> Instances;
};
std::string encodeDirectory(const DirectorySnapshot &Snapshot);
absl::StatusOr<DirectorySnapshot> decodeDirectory(std::string_view Bytes);

} // namespace ragwort::gateway

#endif
