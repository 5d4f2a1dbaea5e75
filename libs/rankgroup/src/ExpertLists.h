//===- ExpertLists.h - Lists of experts in datagrams ----------------------===//
//
// A list has its length and each id in one byte where they fit, as they do in
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

/// Sets of layers in one message.
inline constexpr size_t MaxSets = 256;
inline constexpr size_t MostInOneByte = 255;

/// Whether lengths and ids of the lists of one set fit into one byte.
inline bool isOneByte(const std::vector<std::vector<ExpertId>> &Lists) {
  return std::all_of(Lists.begin(), Lists.end(), [](const auto &List) {
    return List.size() <= MostInOneByte &&
           std::all_of(List.begin(), List.end(),
                       [](ExpertId Id) { return Id <= MostInOneByte; });
  });
}

/// Transfers a value in one byte or as it is.
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
