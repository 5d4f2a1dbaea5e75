//===- EngineTypes.h - What a rank's engine reports and takes -------------===//
//
// Plain values between an engine client and the decisions about expert maps.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_ENGINETYPES_H
#define RAGWORT_RANKGROUP_ENGINETYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwort::rankgroup {

using ExpertId = uint16_t;

/// The experts on each rank, by set of layers: `At[Set][Rank]`.
struct ExpertMap {
  std::vector<std::vector<std::vector<ExpertId>>> At;
  friend bool operator==(const ExpertMap &, const ExpertMap &) = default;
};

/// A switch that a rank will make.
struct ArmedMap {
  uint64_t Version = 0;
  /// The pass that begins with the new map.
  uint64_t Step = 0;
  friend bool operator==(const ArmedMap &, const ArmedMap &) = default;
};

/// State of one rank as its engine tells it.
struct EngineReport {
  std::string Group;
  /// Changes whenever the group is formed anew; orders of another epoch fail.
  uint64_t Epoch = 0;
  uint32_t Rank = 0;
  uint32_t GroupSize = 0;
  /// False while a rank is missing: the group makes no pass.
  bool IsOpen = false;
  /// The last pass that was begun.
  uint64_t Step = 0;
  /// Version of the map in use; 0 is the engine's own.
  uint64_t MapVersion = 0;
  /// Version whose weights are all copied.
  std::optional<uint64_t> Prepared;
  std::optional<ArmedMap> Armed;
  /// Pass that the group does not begin before it is released.
  std::optional<uint64_t> Held;
  uint32_t Running = 0;
  uint32_t Queued = 0;
  /// Above 1 while the replica is slow.
  double Slowdown = 1;
};

/// How often this rank's requests chose each expert since the rank's start.
struct ExpertCounts {
  uint64_t Step = 0;
  uint64_t Epoch = 0;
  /// By set, then expert.
  std::vector<std::vector<uint64_t>> Counts;
};

/// What an order does.
enum class OrderKind : uint8_t { Prepare, Arm, Disarm, Hold, Release };

/// An order to one rank. It fails once the group has been formed anew.
struct RankOrder {
  OrderKind Kind = OrderKind::Prepare;
  uint64_t Epoch = 0;
  uint64_t Version = 0;
  uint64_t Step = 0;
  /// For Prepare.
  ExpertMap Map;
};

/// How an engine answered an order.
enum class OrderAnswer : uint8_t {
  /// It has begun, or the state asked for already holds.
  Accepted,
  /// It does not fit the rank's state or epoch.
  Conflict,
};

} // namespace ragwort::rankgroup

#endif
