//===- AgentMessage.h - Datagrams between the agents of a group -----------===//
//
// The controller announces itself to its group's members. Each member sends
// heartbeats with its rank's state and expert counts to the controller several
// times a second.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_AGENTMESSAGE_H
#define RAGWORT_RANKGROUP_AGENTMESSAGE_H

#include "ragwort/rankgroup/GroupController.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace ragwort::rankgroup {

/// Largest datagram that is sent or accepted, in bytes.
inline constexpr size_t MaxAgentDatagramBytes = 1400;
/// Maximum number of counts in one datagram; longer lists are sent in several.
/// The rest of the datagram is reserved for the report and the names.
inline constexpr size_t MaxCountsPerDatagram = 1024;

enum class AgentMessageKind : uint8_t {
  /// From a controller to all possible members: members of its group send their
  /// heartbeats to the sender from now on.
  Announce,
  /// From a controller to a member: send a heartbeat at once, with this token.
  RequestReport,
  /// From a member: the rank's state, and counts of the sets from FirstSet on.
  Heartbeat,
};

struct AgentMessage {
  /// Messages of another protocol version are dropped.
  static constexpr uint16_t Protocol = 103;

  AgentMessageKind Kind = AgentMessageKind::Announce;
  std::string Group;
  uint64_t Epoch = 0;
  /// Identifies a report request and the heartbeat that answers it; otherwise
  /// zero.
  uint64_t Token = 0;
  /// `ip:port` of the member's engine, for Heartbeat.
  std::string Engine;
  EngineReport Report;
  /// Without sets if the message does not contain them.
  RankExperts Experts;
  uint32_t FirstSet = 0;
  uint32_t ExpertsPerSet = 0;
  /// Selections of each expert since the last heartbeat, in units of CountUnit,
  /// set by set.
  std::vector<uint8_t> Counts;
  uint32_t CountUnit = 1;
};

std::string encodeMessage(const AgentMessage &Message);
/// Approximate size of the counts of all sets in a heartbeat, with the headers
/// of the datagrams that they need.
size_t countBytes(uint32_t Sets, uint32_t Experts);
/// Encodes a heartbeat into datagrams: \p Message with \p Experts and with
/// \p Selections, the selection counts by set and expert, which may be empty.
/// All heartbeats of a group share its controller's link. So the experts are
/// sent only once, and a count takes one byte, in units that map the largest
/// count to at most 255. Counts are left out if a set has more than
/// MaxCountsPerDatagram experts.
std::vector<std::string>
encodeHeartbeats(AgentMessage Message, const RankExperts &Experts,
                 const std::vector<std::vector<uint64_t>> &Selections);
/// The selection counts in \p Message, by set and expert; zero for sets that it
/// does not contain. Empty if it has no counts or another number of experts.
std::vector<std::vector<uint64_t>>
selectionsOf(const AgentMessage &Message, uint32_t Sets, uint32_t Experts);
/// Never throws; fails on truncated or oversized datagrams and on those of
/// other protocols.
absl::StatusOr<AgentMessage> decodeMessage(std::string_view Datagram);

} // namespace ragwort::rankgroup

#endif
