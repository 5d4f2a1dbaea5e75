//===- EngineTypes.h - Reports of a rank's engine and orders to it --------===//
//
// Values exchanged between an engine client and the group controller.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_ENGINETYPES_H
#define RAGWORT_RANKGROUP_ENGINETYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::rankgroup {

using ExpertId = uint16_t;

/// The experts on each rank, by set of layers: `At[Set][Rank]`.
struct ExpertMap {
  std::vector<std::vector<std::vector<ExpertId>>> At;
  friend bool operator==(const ExpertMap &, const ExpertMap &) = default;
};

/// A map switch that a rank is armed for.
struct ArmedMap {
  uint64_t Version = 0;
  /// The first pass that uses the new map.
  uint64_t Step = 0;
  friend bool operator==(const ArmedMap &, const ArmedMap &) = default;
};

/// State of one rank as reported by its engine.
struct EngineReport {
  std::string Group;
  /// Increases whenever the group is re-formed; orders of another epoch fail.
  uint64_t Epoch = 0;
  uint32_t Rank = 0;
  uint32_t GroupSize = 0;
  /// False while a rank is missing; the group then makes no passes.
  bool IsOpen = false;
  /// The latest pass that has begun.
  uint64_t Step = 0;
  /// Version of the map in use; 0 is the engine's initial map.
  uint64_t MapVersion = 0;
  /// Version that is prepared, that is, all its weights are copied.
  std::optional<uint64_t> Prepared;
  std::optional<ArmedMap> Armed;
  /// Pass that the group does not begin until it is released.
  std::optional<uint64_t> Held;
  /// Number of requests that run on the rank.
  uint32_t Running = 0;
  /// Number of requests that wait at the rank.
  uint32_t Queued = 0;
  /// Factor by which the engine is slower than usual; 1 at usual speed.
  double Slowdown = 1;
};

/// How often this rank's requests selected each expert since the rank started.
struct ExpertCounts {
  uint64_t Step = 0;
  uint64_t Epoch = 0;
  /// By set, then expert.
  std::vector<std::vector<uint64_t>> Counts;
};

/// Kind of an order; MapSwitch.h describes the steps of a change.
enum class OrderKind : uint8_t { Prepare, Arm, Disarm, Hold, Release };

std::string_view toString(OrderKind Kind);

/// An order to one rank. It fails once the group has been re-formed.
struct RankOrder {
  OrderKind Kind = OrderKind::Prepare;
  uint64_t Epoch = 0;
  /// Version of the map; only for Prepare, Arm and Disarm.
  uint64_t Version = 0;
  /// The pass that first uses the map, or that is held or released; only for
  /// Arm, Hold and Release.
  uint64_t Step = 0;
  /// The map to prepare; only for Prepare.
  ExpertMap Map;
};

/// An engine's answer to an order.
enum class OrderAnswer : uint8_t {
  /// The engine has started to execute the order, or is already in the state
  /// that it asks for.
  Accepted,
  /// The order does not match the rank's state or epoch.
  Conflict,
  /// Only from an agent: it does not have the map that the order's map is a
  /// difference from. The engine has not received the order.
  MapUnknown,
};

} // namespace ragwort::rankgroup

#endif
