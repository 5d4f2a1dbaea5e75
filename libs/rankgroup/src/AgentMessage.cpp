//===- AgentMessage.cpp - Datagrams between the agents of a group ---------===//
#include "ragwort/rankgroup/AgentMessage.h"
#include "ExpertLists.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"
#include <algorithm>
#include <limits>

namespace ragwort::rankgroup {

namespace {

// Maximum number of experts in a datagram with counts; longer lists are sent in
// a datagram of their own.
constexpr size_t MaxExpertsWithCounts = 128;

size_t countExperts(const RankExperts &Experts) {
  size_t Count = 0;
  for (const auto &Set : Experts.Sets)
    Count += Set.size();
  return Count;
}

uint32_t unitFor(const std::vector<std::vector<uint64_t>> &Selections) {
  uint64_t Largest = 0;
  for (const auto &Set : Selections)
    for (uint64_t Count : Set)
      Largest = std::max(Largest, Count);
  constexpr uint64_t Most = std::numeric_limits<uint8_t>::max();
  return static_cast<uint32_t>(
      std::max<uint64_t>(1, (Largest + Most - 1) / Most));
}

uint8_t toUnits(uint64_t Count, uint32_t Unit) {
  uint64_t Units = (Count + Unit / 2) / Unit;
  return static_cast<uint8_t>(
      std::min<uint64_t>(Units, std::numeric_limits<uint8_t>::max()));
}

} // namespace

template <class Archive> void serialize(Archive &Ar, ArmedMap &M) {
  Ar(M.Version, M.Step);
}

template <class Archive> void serialize(Archive &Ar, EngineReport &R) {
  wire::transferText(Ar, R.Group, wire::MaxNameBytes);
  Ar(R.Epoch, R.Rank, R.GroupSize, R.Step, R.MapVersion, R.Running, R.Queued,
     R.Slowdown);
  wire::transferFlag(Ar, R.IsOpen);
  wire::transferOptional(Ar, R.Prepared);
  wire::transferOptional(Ar, R.Armed);
  wire::transferOptional(Ar, R.Held);
}

template <class Archive> void serialize(Archive &Ar, RankExperts &E) {
  Ar(E.MapVersion);
  E.Sets.resize(wire::transferLength(Ar, E.Sets.size(), MaxSets));
  bool IsOneByte = isOneByte(E.Sets);
  wire::transferFlag(Ar, IsOneByte);
  for (std::vector<ExpertId> &Set : E.Sets)
    transferExperts(Ar, Set, IsOneByte);
}

template <class Archive> void serialize(Archive &Ar, AgentMessage &M) {
  wire::transferProtocol(Ar, AgentMessage::Protocol);
  wire::transferEnum(Ar, M.Kind, AgentMessageKind::Heartbeat);
  wire::transferText(Ar, M.Group, wire::MaxNameBytes);
  Ar(M.Epoch, M.Token);
  if (M.Kind != AgentMessageKind::Heartbeat)
    return;
  wire::transferText(Ar, M.Engine, wire::MaxNameBytes);
  Ar(M.Report, M.Experts, M.FirstSet, M.ExpertsPerSet, M.CountUnit);
  M.Counts.resize(
      wire::transferLength(Ar, M.Counts.size(), MaxAgentDatagramBytes));
  Ar(cereal::binary_data(M.Counts.data(), M.Counts.size()));
}

size_t countBytes(uint32_t Sets, uint32_t Experts) {
  // Message without counts, and the headers of UDP, IP and Ethernet.
  constexpr size_t BytesPerDatagram = 250;
  size_t SetsPerPart =
      std::max<size_t>(1, MaxCountsPerDatagram / std::max(Experts, 1u));
  size_t Parts = (Sets + SetsPerPart - 1) / SetsPerPart;
  return size_t{Sets} * Experts + Parts * BytesPerDatagram;
}

std::string encodeMessage(const AgentMessage &Message) {
  return wire::toArchive(Message);
}

std::vector<std::string>
encodeHeartbeats(AgentMessage Message, const RankExperts &Experts,
                 const std::vector<std::vector<uint64_t>> &Selections) {
  std::vector<std::string> Result;
  Message.Kind = AgentMessageKind::Heartbeat;
  Message.Experts = Experts;
  Message.Counts.clear();
  size_t ExpertsPerSet = Selections.empty() ? 0 : Selections[0].size();
  size_t SetsPerPart =
      ExpertsPerSet > 0 ? MaxCountsPerDatagram / ExpertsPerSet : 0;
  bool HasCounts = SetsPerPart > 0;
  if (!HasCounts || countExperts(Experts) > MaxExpertsWithCounts) {
    Result.push_back(encodeMessage(Message));
    Message.Experts = RankExperts();
  }
  if (!HasCounts)
    return Result;
  Message.ExpertsPerSet = static_cast<uint32_t>(ExpertsPerSet);
  Message.CountUnit = unitFor(Selections);
  for (size_t Set = 0; Set < Selections.size();) {
    Message.FirstSet = static_cast<uint32_t>(Set);
    Message.Counts.clear();
    for (size_t I = 0; I < SetsPerPart && Set < Selections.size(); ++I, ++Set)
      for (uint64_t Count : Selections[Set])
        Message.Counts.push_back(toUnits(Count, Message.CountUnit));
    Result.push_back(encodeMessage(Message));
    Message.Experts = RankExperts();
  }
  return Result;
}

std::vector<std::vector<uint64_t>>
selectionsOf(const AgentMessage &Message, uint32_t Sets, uint32_t Experts) {
  std::vector<std::vector<uint64_t>> Result;
  if (Message.Counts.empty() || Experts == 0 ||
      Message.ExpertsPerSet != Experts)
    return Result;
  Result.assign(Sets, std::vector<uint64_t>(Experts, 0));
  for (size_t I = 0; I < Message.Counts.size(); ++I) {
    size_t Set = Message.FirstSet + I / Experts;
    if (Set < Sets)
      Result[Set][I % Experts] =
          uint64_t{Message.Counts[I]} * Message.CountUnit;
  }
  return Result;
}

absl::StatusOr<AgentMessage> decodeMessage(std::string_view Datagram) {
  return wire::fromDatagram<AgentMessage>(Datagram, MaxAgentDatagramBytes);
}

} // namespace ragwort::rankgroup
