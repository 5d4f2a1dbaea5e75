//===- KnownMaps.h - Maps told by what differs ----------------------------===//
//
// A change moves a small part of the experts, and an order to prepare goes to
// every rank over one link. So the map is told by what differs from the map in
// use, where the receiver has that one.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_KNOWNMAPS_H
#define RAGWORT_RANKGROUP_KNOWNMAPS_H

#include "ragwort/rankgroup/EngineTypes.h"
#include <map>

namespace ragwort::rankgroup {

/// By set and rank, the experts that exactly one of the maps has. It is its own
/// inverse: the difference of \p A and the result is \p B, with sorted lists.
ExpertMap differenceOf(const ExpertMap &A, const ExpertMap &B);

/// The same for maps with the same experts on each rank, in whatever order.
uint64_t digestOf(const ExpertMap &Map);

/// How a map is told by its difference from another one.
struct MapReference {
  /// Version of the map that it differs from.
  uint64_t BaseVersion = 0;
  /// digestOf() the map that is told.
  uint64_t TargetDigest = 0;
};

/// The maps that an agent has seen its engine accept.
///
/// \code
///   Maps.add(7, Map);
///   if (auto Target = Maps.resolve({7, Digest}, Difference)) prepare(*Target);
/// \endcode
class KnownMaps {
public:
  /// Map 0 of a group assigns experts in turn.
  void setInitialMap(uint32_t Sets, uint32_t Experts, uint32_t Ranks);
  void add(uint64_t Version, ExpertMap Map);
  /// \returns the map that \p Difference tells, or nothing if the map that it
  /// differs from is unknown or another one.
  std::optional<ExpertMap> resolve(const MapReference &From,
                                   const ExpertMap &Difference) const;

private:
  // The one in use, the one that is prepared, and one that was given up.
  static constexpr size_t MostKept = 3;

  ExpertMap First;
  std::map<uint64_t, ExpertMap> Maps;
};

} // namespace ragwort::rankgroup

#endif
