//===- PeerBeat.h - Heartbeat between gateway nodes -----------------------===//
//
// Each node tells all others its load and the versions that it knows, a few
// times a second over UDP. Contents are fetched from a peer only by a node
// that stays behind.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_PEERBEAT_H
#define RAGWORT_GATEWAY_PEERBEAT_H

#include "ragwort/gateway/BackendDirectory.h"
#include "ragwort/gateway/LoadTracker.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::gateway {

/// Largest heartbeat that is sent or accepted, in bytes.
inline constexpr size_t MaxBeatBytes = 1400;
/// Peers named in one heartbeat.
inline constexpr size_t MaxNamedPeers = 32;

struct PeerBeat {
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
/// would be larger than MaxBeatBytes.
std::string encodeBeat(PeerBeat Beat);
/// Never throws; fails on torn, oversized and foreign datagrams.
absl::StatusOr<PeerBeat> decodeBeat(std::string_view Datagram);

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

  std::vector<EngineConditionReport> Words;
};
/// As many datagrams as \p Words take; none for none.
std::vector<std::string>
encodeDigests(std::span<const EngineConditionReport> Words);
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
