//===- PeerHeartbeat.h - Heartbeat between gateway nodes ------------------===//
//
// Each node sends all others its load and the versions that it has, a few times
// a second over UDP. Only a node that stays behind fetches the contents from a
// peer.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_PEERHEARTBEAT_H
#define RAGWORT_FLEET_PEERHEARTBEAT_H

#include "ragwort/dispatch/BackendDirectory.h"
#include "ragwort/dispatch/LoadTracker.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::fleet {

/// Largest datagram that is sent to or accepted from a peer, in bytes.
inline constexpr size_t MaxPeerDatagramBytes = 1400;
/// Maximum number of peers listed in one heartbeat.
inline constexpr size_t MaxNamedPeers = 32;

/// The periodic state report of one node.
struct PeerHeartbeat {
  /// Heartbeats of another protocol version are dropped.
  static constexpr uint16_t Protocol = 4;

  std::string Node;
  /// Differs between two runs of one node.
  uint64_t Incarnation = 0;
  bool IsLeaving = false;
  uint64_t ConfigVersion = 0;
  dispatch::StoreVersion DirectoryVersion;
  std::vector<dispatch::InFlightReport> InFlight;
  /// IP addresses of other nodes, so that a new node discovers all of them.
  std::vector<std::string> PeerIps;
};

/// If the heartbeat would exceed MaxPeerDatagramBytes, omits first the peers'
/// addresses, then the lowest loads.
std::string encodeHeartbeat(PeerHeartbeat Heartbeat);
/// Never throws. Fails on truncated, oversized and unrelated datagrams.
absl::StatusOr<PeerHeartbeat> decodeHeartbeat(std::string_view Datagram);

/// An agent's report on the condition of its local engine.
struct EngineNotice {
  /// Distinguishes notices from heartbeats.
  static constexpr uint16_t Protocol = 1002;

  std::string EngineAddress;
  dispatch::EngineCondition Condition = dispatch::EngineCondition::Straggles;
};
std::string encodeNotice(const EngineNotice &Notice);
absl::StatusOr<EngineNotice> decodeNotice(std::string_view Datagram);

/// The engine conditions that agents have reported to a node, which it forwards
/// to its peers because each agent knows only a few nodes.
struct NoticeDigest {
  static constexpr uint16_t Protocol = 1003;

  std::vector<dispatch::EngineConditionReport> Entries;
};
/// \returns as many datagrams as \p Entries require; none if it is empty.
std::vector<std::string>
encodeDigests(std::span<const dispatch::EngineConditionReport> Entries);
absl::StatusOr<NoticeDigest> decodeDigest(std::string_view Datagram);

/// The servers that told a node that they are leaving, for its peers.
struct LeavingDigest {
  static constexpr uint16_t Protocol = 1004;

  std::vector<dispatch::ServerRun> Leaving;
};
/// \returns as many datagrams as \p Leaving requires; none if it is empty.
std::vector<std::string>
encodeLeaving(std::span<const dispatch::ServerRun> Leaving);
absl::StatusOr<LeavingDigest> decodeLeaving(std::string_view Datagram);

/// What servers told a node about their rate limits, for its peers.
struct RateLimitDigest {
  static constexpr uint16_t Protocol = 1006;

  std::vector<dispatch::RateLimitReport> Limits;
};
/// \returns as many datagrams as \p Limits requires; none if it is empty.
std::vector<std::string>
encodeRateLimits(std::span<const dispatch::RateLimitReport> Limits);
absl::StatusOr<RateLimitDigest> decodeRateLimits(std::string_view Datagram);

/// The servers that the store's entries name as cold, for a node's peers.
struct ColdDigest {
  static constexpr uint16_t Protocol = 1009;

  std::vector<dispatch::ColdReport> Cold;
};
/// \returns as many datagrams as \p Cold requires; none if it is empty.
std::vector<std::string> encodeCold(std::span<const dispatch::ColdReport> Cold);
/// Remaining times of more than ten minutes are cut to that.
absl::StatusOr<ColdDigest> decodeCold(std::string_view Datagram);

/// The directory of backend servers at one version.
struct DirectorySnapshot {
  dispatch::StoreVersion Version;
  std::vector<dispatch::BackendInstance> Instances;
};
/// The instances of one service, for the agents of its engines: a small part of
/// the directory, which thousands of agents would otherwise fetch.
struct EngineList {
  std::vector<std::string> Ips;
};
std::string encodeEngineList(const EngineList &List);
absl::StatusOr<EngineList> decodeEngineList(std::string_view Bytes);

std::string encodeDirectory(const DirectorySnapshot &Snapshot);
absl::StatusOr<DirectorySnapshot> decodeDirectory(std::string_view Bytes);

} // namespace ragwort::fleet

#endif
