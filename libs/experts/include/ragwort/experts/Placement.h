//===- Placement.h - Placement of experts on the ranks of a group ---------===//
//
// A placement covers one layer. Each rank has the same number of slots, and
// each slot holds one copy of an expert. The tokens of an expert are
// distributed evenly among its copies.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_PLACEMENT_H
#define RAGWORT_EXPERTS_PLACEMENT_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ragwort::experts {

using ExpertId = uint16_t;

/// Identifies a slot of a rank.
struct SlotId {
  uint32_t Rank = 0;
  uint32_t Slot = 0;
};

/// Assigns an expert to every slot of every rank.
///
/// \code
///   Placement P = Placement::roundRobin(64, 32, 3);
///   double Skew = P.skew(Popularity);
/// \endcode
class Placement {
public:
  /// Creates a placement in which every slot holds expert 0.
  Placement(uint32_t Experts, uint32_t Ranks, uint32_t Slots);

  /// Assigns expert E to rank E modulo \p Ranks. Spare slots hold further
  /// copies in the same order, shifted by one expert per round.
  static Placement roundRobin(uint32_t Experts, uint32_t Ranks, uint32_t Slots);

  /// Expert in a slot.
  ExpertId at(SlotId Id) const { return Cells[Id.Rank * Slots + Id.Slot]; }
  void set(SlotId Id, ExpertId Expert);
  /// Number of slots that hold the expert.
  uint32_t copies(ExpertId Expert) const { return Copies[Expert]; }
  bool holds(uint32_t Rank, ExpertId Expert) const;

  uint32_t experts() const { return static_cast<uint32_t>(Copies.size()); }
  uint32_t ranks() const { return Ranks; }
  uint32_t slots() const { return Slots; }

  /// Load of each rank, in the unit of \p Popularity, which has one value for
  /// each expert.
  std::vector<double> rankLoads(std::span<const double> Popularity) const;
  /// Ratio of the highest load of a rank to the mean load; 1 is the optimum.
  double skew(std::span<const double> Popularity) const;
  /// Whether every expert has at least one copy.
  bool isComplete() const;

private:
  uint32_t Ranks;
  uint32_t Slots;
  std::vector<ExpertId> Cells;
  // Invariant: Copies[E] is the number of cells that hold E.
  std::vector<uint32_t> Copies;
};

/// Number of experts whose weights a rank must load to change from \p From to
/// \p To, that is, slots of \p To whose expert the rank does not hold in \p
/// From.
uint32_t movesBetween(const Placement &From, const Placement &To);

/// Lower bound of the skew of any placement with \p Slots slots on each rank.
/// It assumes the best number of copies for each expert and that copies can be
/// distributed perfectly.
double skewLowerBound(std::span<const double> Popularity, uint32_t Ranks,
                      uint32_t Slots);

} // namespace ragwort::experts

#endif
