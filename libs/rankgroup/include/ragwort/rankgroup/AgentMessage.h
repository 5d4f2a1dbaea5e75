//===- AgentMessage.h - Datagrams between the agents of a group -----------===//
//
// The controller calls for its group's members; each member sends its rank's
// state and counts to the controller a few times a second.
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
inline constexpr size_t MaxAgentDatagram = 1400;
/// Counts in one datagram; longer lists are sent in parts.
inline constexpr size_t MaxCountsPerDatagram = 450;
/// Counts travel in this unit, so that they fit into two bytes.
inline constexpr uint64_t CountUnit = 8;

enum class AgentMessageKind : uint8_t {
  /// From a controller to everyone: members of the group report to the sender.
  Call,
  /// From a controller to a member: report at once, with this token.
  Poke,
  /// From a member: the rank's state and, from FirstSet on, counts.
  Beat,
};

struct AgentMessage {
  /// Messages of another protocol version are dropped.
  static constexpr uint16_t Protocol = 102;

  AgentMessageKind Kind = AgentMessageKind::Call;
  std::string Group;
  uint64_t Epoch = 0;
  uint64_t Token = 0;
  /// `ip:port` of the member's engine, for Beat.
  std::string Engine;
  EngineReport Report;
  RankExperts Experts;
  uint32_t FirstSet = 0;
  uint32_t ExpertsPerSet = 0;
  /// Choices since the last beat, in CountUnit, set by set.
  std::vector<uint16_t> Counts;
};

std::string encodeMessage(const AgentMessage &Message);
/// Never throws; fails on torn, oversized and foreign datagrams.
absl::StatusOr<AgentMessage> decodeMessage(std::string_view Datagram);

} // namespace ragwort::rankgroup

#endif
