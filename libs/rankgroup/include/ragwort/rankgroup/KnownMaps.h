//===- KnownMaps.h - Expert maps sent as differences ----------------------===//
//
// A change moves a small part of the experts, and prepare orders for all ranks
// share the controller's link. So a map is sent as its difference from the map
// in use where the receiver has that map.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_KNOWNMAPS_H
#define RAGWORT_RANKGROUP_KNOWNMAPS_H

#include "ragwort/rankgroup/EngineTypes.h"
#include <map>

namespace ragwort::rankgroup {

/// Symmetric difference: by set and rank, the experts that exactly one of the
/// maps has. It is its own inverse: the difference of \p A and the result is
/// \p B, with sorted lists.
ExpertMap differenceOf(const ExpertMap &A, const ExpertMap &B);

/// Hash of a map. It does not depend on the order of the experts of a rank.
uint64_t digestOf(const ExpertMap &Map);

/// Identifies the maps of a difference.
struct MapReference {
  /// Version of the map that the difference applies to.
  uint64_t BaseVersion = 0;
  /// digestOf() the map that results from it.
  uint64_t TargetDigest = 0;
};

/// The latest maps that an agent's engine has accepted, for resolving
/// differences.
///
/// \code
///   Maps.add(7, Map);
///   if (auto Target = Maps.resolve({7, Digest}, Difference)) prepare(*Target);
/// \endcode
class KnownMaps {
public:
  /// Sets map 0 of a group, which assigns the experts round robin.
  void setInitialMap(uint32_t Sets, uint32_t Experts, uint32_t Ranks);
  void add(uint64_t Version, ExpertMap Map);
  /// \returns the map that results from \p Difference, or nothing if the base
  /// map is unknown or the result does not have the expected digest.
  std::optional<ExpertMap> resolve(const MapReference &From,
                                   const ExpertMap &Difference) const;

private:
  // The map in use, the one being prepared, and an abandoned one.
  static constexpr size_t MaxMaps = 3;

  ExpertMap InitialMap;
  std::map<uint64_t, ExpertMap> Maps;
};

} // namespace ragwort::rankgroup

#endif
