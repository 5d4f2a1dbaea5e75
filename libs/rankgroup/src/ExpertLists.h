//===- ExpertLists.h - Lists of experts in datagrams ----------------------===//
//
// The length of a list and each id take one byte if they fit, as they do for
// most models.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_SRC_EXPERTLISTS_H
#define RAGWORT_RANKGROUP_SRC_EXPERTLISTS_H

#include "ragwort/rankgroup/AgentMessage.h"
#include <algorithm>
#include <cereal/cereal.hpp>
#include <vector>

namespace ragwort::rankgroup {

/// Maximum number of sets of layers in one message.
inline constexpr size_t MaxSets = 256;
inline constexpr size_t MaxOneByteValue = 255;

/// Whether the lengths and ids in the lists of one set fit into one byte.
inline bool isOneByte(const std::vector<std::vector<ExpertId>> &Lists) {
  return std::all_of(Lists.begin(), Lists.end(), [](const auto &List) {
    return List.size() <= MaxOneByteValue &&
           std::all_of(List.begin(), List.end(),
                       [](ExpertId Id) { return Id <= MaxOneByteValue; });
  });
}

/// Serialises a value in one byte, or in its own type.
template <class Archive, class T>
void transferCompact(Archive &Ar, T &Value, bool IsOneByte) {
  if (!IsOneByte) {
    Ar(Value);
    return;
  }
  auto Byte = static_cast<uint8_t>(Value);
  Ar(Byte);
  Value = Byte;
}

/// Serialises a list of experts.
template <class Archive>
void transferExperts(Archive &Ar, std::vector<ExpertId> &List, bool IsOneByte) {
  auto Length = static_cast<uint16_t>(List.size());
  transferCompact(Ar, Length, IsOneByte);
  if (Length > MaxAgentDatagramBytes)
    throw cereal::Exception("too many experts in a datagram");
  List.resize(Length);
  for (ExpertId &Id : List)
    transferCompact(Ar, Id, IsOneByte);
}

} // namespace ragwort::rankgroup

#endif
