//===- OrderMessage.h - Orders that agents execute for a controller -------===//
//
// Relaying an order through the agent next to an engine is faster and cheaper
// than a call to the engine. Orders are sent in datagrams of bounded size,
// which may be lost, duplicated or late, like direct orders to the engines.
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

/// One datagram of an order.
struct OrderPart {
  /// Datagrams of another protocol version are dropped.
  static constexpr uint16_t Protocol = 205;

  std::string Group;
  /// The controller's number for the order, repeated in the reply.
  uint64_t Number = 0;
  /// The order without its map.
  RankOrder Order;
  /// Number of sets of the complete map; 0 for orders without a map.
  uint32_t Sets = 0;
  uint32_t FirstSet = 0;
  /// The sets of the map in this datagram, from FirstSet on.
  ExpertMap Part;
  /// Set if the map is a difference from another one; see KnownMaps.h.
  std::optional<MapReference> From;
};

/// An agent's reply with its engine's answer to an order.
struct OrderReply {
  static constexpr uint16_t Protocol = 206;

  std::string Group;
  uint32_t Rank = 0;
  uint64_t Epoch = 0;
  uint64_t Number = 0;
  OrderAnswer Answer = OrderAnswer::Conflict;
};

/// Encodes \p Order into datagrams. If \p From is set, its map is a difference.
std::vector<std::string>
encodeOrder(const std::string &Group, uint64_t Number, const RankOrder &Order,
            std::optional<MapReference> From = std::nullopt);
std::string encodeReply(const OrderReply &Reply);
/// Decode a datagram. They never throw; they fail on truncated or oversized
/// datagrams and on those of other protocols.
absl::StatusOr<OrderPart> decodeOrderPart(std::string_view Datagram);
absl::StatusOr<OrderReply> decodeReply(std::string_view Datagram);

/// An order that was assembled from all its parts.
struct CompleteOrder {
  RankOrder Order;
  /// Set if the order's map is a difference.
  std::optional<MapReference> From;
};

/// Assembles orders from their parts, one order at a time.
class OrderAssembler {
public:
  /// \returns the order if \p Part completes it. A part of another order
  /// discards the parts received for the previous one.
  std::optional<CompleteOrder> add(OrderPart Part);

private:
  uint64_t Number = 0;
  // The sets of the order's map received so far, by index.
  std::map<uint32_t, std::vector<std::vector<ExpertId>>> Sets;
};

} // namespace ragwort::rankgroup

#endif
