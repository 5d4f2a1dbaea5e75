//===- OrderMessage.cpp - Orders that agents execute for a controller -----===//
#include "ragwort/rankgroup/OrderMessage.h"
#include "ExpertLists.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/SetPlanner.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"
#include <algorithm>

namespace ragwort::rankgroup {

namespace {

constexpr size_t MaxRanks = 1024; // per set of a map
// Bytes reserved in a datagram for everything except the map and the name of
// the group.
constexpr size_t HeaderBytes = 120;

bool isOneByte(const ExpertMap &Map) {
  return std::all_of(Map.At.begin(), Map.At.end(),
                     [](const auto &Set) { return rankgroup::isOneByte(Set); });
}

size_t filledRanks(const SetMap &Set) {
  return static_cast<size_t>(std::count_if(
      Set.begin(), Set.end(), [](const auto &Rank) { return !Rank.empty(); }));
}

size_t bytesOf(const SetMap &Set, bool IsOneByte, bool IsSparse) {
  size_t Unit = IsOneByte ? 1 : sizeof(ExpertId);
  size_t Bytes = sizeof(uint64_t);
  if (IsSparse)
    Bytes += sizeof(uint16_t) + filledRanks(Set) * sizeof(uint16_t);
  for (const auto &Rank : Set)
    if (!IsSparse || !Rank.empty())
      Bytes += (1 + Rank.size()) * Unit;
  return Bytes;
}

/// Serialises only the ranks that have experts, each with its index.
template <class Archive>
void transferSparse(Archive &Ar, SetMap &Set, bool IsOneByte) {
  auto Filled = static_cast<uint16_t>(filledRanks(Set));
  Ar(Filled);
  bool HasByteIndex = Set.size() <= MaxOneByteValue + 1;
  size_t Next = 0;
  for (uint16_t I = 0; I < Filled; ++I) {
    if constexpr (Archive::is_saving::value)
      while (Set[Next].empty())
        ++Next;
    auto Index = static_cast<uint16_t>(Next);
    transferCompact(Ar, Index, HasByteIndex);
    if (Index < Next || Index >= Set.size())
      throw cereal::Exception("rank " + std::to_string(Index) +
                              " is out of order or range");
    transferExperts(Ar, Set[Index], IsOneByte);
    Next = Index + size_t{1};
  }
}

} // namespace

template <class Archive> void serialize(Archive &Ar, MapReference &R) {
  Ar(R.BaseVersion, R.TargetDigest);
}

template <class Archive> void serialize(Archive &Ar, OrderPart &P) {
  wire::transferProtocol(Ar, OrderPart::Protocol);
  wire::transferText(Ar, P.Group, wire::MaxNameBytes);
  wire::transferEnum(Ar, P.Order.Kind, OrderKind::Release);
  Ar(P.Number, P.Order.Epoch, P.Order.Version, P.Order.Step, P.Sets,
     P.FirstSet);
  if (P.Sets > MaxSets || P.FirstSet > P.Sets)
    throw cereal::Exception("number of sets or first set out of range");
  wire::transferOptional(Ar, P.From);
  bool IsOneByte = isOneByte(P.Part);
  wire::transferFlag(Ar, IsOneByte);
  size_t Count = wire::transferLength(Ar, P.Part.At.size(), MaxSets);
  P.Part.At.resize(Count);
  for (auto &Set : P.Part.At) {
    Set.resize(wire::transferLength(Ar, Set.size(), MaxRanks));
    // Most ranks do not change in a difference.
    if (P.From)
      transferSparse(Ar, Set, IsOneByte);
    else
      for (auto &Rank : Set)
        transferExperts(Ar, Rank, IsOneByte);
  }
}

template <class Archive> void serialize(Archive &Ar, OrderReply &R) {
  wire::transferProtocol(Ar, OrderReply::Protocol);
  wire::transferText(Ar, R.Group, wire::MaxNameBytes);
  wire::transferEnum(Ar, R.Answer, OrderAnswer::MapUnknown);
  Ar(R.Rank, R.Epoch, R.Number);
}

std::vector<std::string> encodeOrder(const std::string &Group, uint64_t Number,
                                     const RankOrder &Order,
                                     std::optional<MapReference> From) {
  OrderPart Part;
  Part.From = From;
  Part.Group = Group;
  Part.Number = Number;
  Part.Order = Order;
  Part.Order.Map = ExpertMap();
  const auto &Sets = Order.Map.At;
  Part.Sets = static_cast<uint32_t>(Sets.size());
  bool IsOneByte = isOneByte(Order.Map);
  std::vector<std::string> Result;
  size_t Next = 0;
  do {
    Part.FirstSet = static_cast<uint32_t>(Next);
    Part.Part.At.clear();
    size_t Bytes = HeaderBytes + Group.size();
    while (Next < Sets.size()) {
      Bytes += bytesOf(Sets[Next], IsOneByte, From.has_value());
      if (Bytes > MaxAgentDatagramBytes && !Part.Part.At.empty())
        break;
      Part.Part.At.push_back(Sets[Next++]);
    }
    Result.push_back(wire::toArchive(Part));
  } while (Next < Sets.size());
  return Result;
}

std::string encodeReply(const OrderReply &Reply) {
  return wire::toArchive(Reply);
}

absl::StatusOr<OrderPart> decodeOrderPart(std::string_view Datagram) {
  return wire::fromDatagram<OrderPart>(Datagram, MaxAgentDatagramBytes);
}

absl::StatusOr<OrderReply> decodeReply(std::string_view Datagram) {
  return wire::fromDatagram<OrderReply>(Datagram, MaxAgentDatagramBytes);
}

std::optional<CompleteOrder> OrderAssembler::add(OrderPart Part) {
  if (Part.Number != Number) {
    Number = Part.Number;
    Sets.clear();
  }
  for (size_t I = 0; I < Part.Part.At.size(); ++I)
    Sets.insert_or_assign(Part.FirstSet + static_cast<uint32_t>(I),
                          std::move(Part.Part.At[I]));
  if (Sets.size() != Part.Sets)
    return std::nullopt;
  CompleteOrder Complete{std::move(Part.Order), Part.From};
  for (auto &[Index, Set] : Sets)
    Complete.Order.Map.At.push_back(std::move(Set));
  Sets.clear();
  Number = 0;
  return Complete;
}

} // namespace ragwort::rankgroup
