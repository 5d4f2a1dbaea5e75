//===- AgentMessage.cpp - Datagrams between the agents of a group ---------===//
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"

namespace ragwort::rankgroup {

namespace {

constexpr size_t MaxSets = 256;

template <class Archive, class T>
void transferNumbers(Archive &Ar, std::vector<T> &List, size_t Max) {
  List.resize(wire::transferLength(Ar, List.size(), Max));
  for (T &Number : List)
    Ar(Number);
}

} // namespace

template <class Archive> void serialize(Archive &Ar, ArmedMap &M) {
  Ar(M.Version, M.Step);
}

template <class Archive> void serialize(Archive &Ar, EngineReport &R) {
  wire::transferText(Ar, R.Group, wire::MaxNameBytes);
  Ar(R.Epoch, R.Rank, R.GroupSize, R.Step, R.MapVersion, R.Running, R.Queued,
     R.Pace);
  wire::transferFlag(Ar, R.IsOpen);
  wire::transferOptional(Ar, R.Prepared);
  wire::transferOptional(Ar, R.Armed);
  wire::transferOptional(Ar, R.Held);
}

template <class Archive> void serialize(Archive &Ar, RankExperts &E) {
  Ar(E.MapVersion);
  E.Sets.resize(wire::transferLength(Ar, E.Sets.size(), MaxSets));
  for (std::vector<ExpertId> &Set : E.Sets)
    transferNumbers(Ar, Set, MaxAgentDatagram);
}

template <class Archive> void serialize(Archive &Ar, AgentMessage &M) {
  uint16_t Protocol = AgentMessage::Protocol;
  Ar(Protocol);
  if (Protocol != AgentMessage::Protocol)
    throw cereal::Exception("message of another protocol");
  auto Kind = static_cast<uint8_t>(M.Kind);
  Ar(Kind);
  if (Kind > static_cast<uint8_t>(AgentMessageKind::Beat))
    throw cereal::Exception("message of an unknown kind");
  M.Kind = static_cast<AgentMessageKind>(Kind);
  wire::transferText(Ar, M.Group, wire::MaxNameBytes);
  Ar(M.Epoch, M.Token);
  if (M.Kind != AgentMessageKind::Beat)
    return;
  wire::transferText(Ar, M.Engine, wire::MaxNameBytes);
  Ar(M.Report, M.Experts, M.FirstSet, M.ExpertsPerSet);
  transferNumbers(Ar, M.Counts, MaxAgentDatagram);
}

std::string encodeMessage(const AgentMessage &Message) {
  return wire::toArchive(Message);
}

absl::StatusOr<AgentMessage> decodeMessage(std::string_view Datagram) {
  if (Datagram.size() > MaxAgentDatagram)
    return absl::InvalidArgumentError("message is too large");
  return wire::fromArchive<AgentMessage>(Datagram);
}

} // namespace ragwort::rankgroup
