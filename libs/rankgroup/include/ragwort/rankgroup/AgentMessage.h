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
inline constexpr size_t MaxAgentDatagramBytes = 1400;
/// Counts in one datagram; longer lists are sent in parts. The rest is left for
/// the report and the names.
inline constexpr size_t MaxCountsPerDatagram = 1024;

enum class AgentMessageKind : uint8_t {
  /// From a controller to everyone: members of the group report to the sender.
  Announce,
  /// From a controller to a member: report at once, with this token.
  RequestReport,
  /// From a member: the rank's state and, from FirstSet on, counts.
  Heartbeat,
};

struct AgentMessage {
  /// Messages of another protocol version are dropped.
  static constexpr uint16_t Protocol = 103;

  AgentMessageKind Kind = AgentMessageKind::Announce;
  std::string Group;
  uint64_t Epoch = 0;
  uint64_t Token = 0;
  /// `ip:port` of the member's engine, for Heartbeat.
  std::string Engine;
  EngineReport Report;
  /// Without sets if the message does not tell them.
  RankExperts Experts;
  uint32_t FirstSet = 0;
  uint32_t ExpertsPerSet = 0;
  /// Choices since the last beat, in units of CountUnit, set by set.
  std::vector<uint8_t> Counts;
  uint32_t CountUnit = 1;
};

std::string encodeMessage(const AgentMessage &Message);
/// The datagrams of a beat: \p Message with \p Experts and with \p Selections,
/// the choices by set and expert, which may be empty. All reports of a group
/// meet on its controller's link, so the experts are sent once and a count
/// takes one byte, of which the largest count uses all. Sets of more than
/// MaxCountsPerDatagram experts are not told.
std::vector<std::string>
encodeHeartbeats(AgentMessage Message, const RankExperts &Experts,
                 const std::vector<std::vector<uint64_t>> &Selections);
/// The choices that \p Message tells, by set and expert; sets it does not tell
/// have zeros. Empty if it tells none or has other shapes.
std::vector<std::vector<uint64_t>>
selectionsOf(const AgentMessage &Message, uint32_t Sets, uint32_t Experts);
/// Never throws; fails on torn, oversized and foreign datagrams.
absl::StatusOr<AgentMessage> decodeMessage(std::string_view Datagram);

} // namespace ragwort::rankgroup

#endif
