//===- OrderMessage.cpp - Orders that agents execute for a controller -----===//
#include "ragwort/rankgroup/OrderMessage.h"
#include "ExpertLists.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"
#include <algorithm>

namespace ragwort::rankgroup {

namespace {

constexpr size_t MaxRanks = 1024; // per set of a map
// Bytes reserved in a datagram for everything except the map.
constexpr size_t HeaderBytes = wire::MaxNameBytes + 100;

bool isOneByte(const ExpertMap &Map) {
  return std::all_of(Map.At.begin(), Map.At.end(),
                     [](const auto &Set) { return rankgroup::isOneByte(Set); });
}

size_t bytesOf(const std::vector<std::vector<ExpertId>> &Set, bool IsOneByte) {
  size_t Bytes = sizeof(uint64_t);
  for (const auto &Rank : Set)
    Bytes += (1 + Rank.size()) * (IsOneByte ? 1 : sizeof(ExpertId));
  return Bytes;
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
    for (auto &Rank : Set)
      transferExperts(Ar, Rank, IsOneByte);
  }
}

template <class Archive> void serialize(Archive &Ar, OrderReply &R) {
  wire::transferProtocol(Ar, OrderReply::Protocol);
  wire::transferText(Ar, R.Group, wire::MaxNameBytes);
  wire::transferEnum(Ar, R.Answer, OrderAnswer::Conflict);
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
    size_t Bytes = HeaderBytes;
    while (Next < Sets.size()) {
      Bytes += bytesOf(Sets[Next], IsOneByte);
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
