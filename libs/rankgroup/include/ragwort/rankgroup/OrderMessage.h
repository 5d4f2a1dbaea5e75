//===- OrderMessage.h - Orders that agents carry out for a controller -----===//
//
// An order reaches an engine sooner and cheaper through the agent beside it. It
// travels in datagrams of bounded size, which may be lost, doubled or late like
// orders to the engines themselves.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_ORDERMESSAGE_H
#define RAGWORT_RANKGROUP_ORDERMESSAGE_H

#include "ragwort/rankgroup/KnownMaps.h"
#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::rankgroup {

/// One of the datagrams of an order.
struct OrderPart {
  /// Datagrams of another protocol version are dropped.
  static constexpr uint16_t Protocol = 204;

  std::string Group;
  /// The controller's number of the order; its answer has the same.
  uint64_t Number = 0;
  /// All of the order but its map.
  RankOrder Order;
  /// Sets of the whole map; 0 for orders without one.
  uint32_t Sets = 0;
  uint32_t FirstSet = 0;
  /// The sets of the map from FirstSet on that this part has.
  ExpertMap Part;
  /// Set where the parts are the difference from a map; see KnownMaps.h.
  std::optional<MapReference> From;
};

/// An agent's word on an order that it gave to its engine.
struct OrderReply {
  static constexpr uint16_t Protocol = 202;

  std::string Group;
  uint32_t Rank = 0;
  uint64_t Epoch = 0;
  uint64_t Number = 0;
  OrderAnswer Answer = OrderAnswer::Conflict;
};

/// The datagrams of \p Order. With \p From its map is a difference.
std::vector<std::string>
encodeOrder(const std::string &Group, uint64_t Number, const RankOrder &Order,
            std::optional<MapReference> From = std::nullopt);
std::string encodeReply(const OrderReply &Reply);
/// Never throw; fail on torn, oversized and foreign datagrams.
absl::StatusOr<OrderPart> decodeOrderPart(std::string_view Datagram);
absl::StatusOr<OrderReply> decodeReply(std::string_view Datagram);

/// An order whose parts have all come.
struct CompleteOrder {
  RankOrder Order;
  /// Set where the order's map is a difference.
  std::optional<MapReference> From;
};

/// Puts the parts of one order at a time together.
class OrderAssembler {
public:
  /// \returns the whole order with the part that completes it. A part of
  /// another order drops what has come of the one before.
  std::optional<CompleteOrder> add(OrderPart Part);

private:
  uint64_t Number = 0;
  // Invariant: sets of the order's map by their index.
  std::map<uint32_t, std::vector<std::vector<ExpertId>>> Sets;
};

} // namespace ragwort::rankgroup

#endif
