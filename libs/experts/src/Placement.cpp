//===- Placement.cpp - Placement of experts on the ranks of a group -------===//
#include "ragwort/experts/Placement.h"
#include <algorithm>
#include <numeric>

namespace ragwort::experts {

Placement::Placement(uint32_t Experts, uint32_t Ranks, uint32_t Slots)
    : Ranks(Ranks), Slots(Slots), Cells(size_t(Ranks) * Slots, 0),
      Copies(Experts, 0) {
  Copies[0] = Ranks * Slots;
}

Placement Placement::roundRobin(uint32_t Experts, uint32_t Ranks,
                                uint32_t Slots) {
  Placement P(Experts, Ranks, Slots);
  for (uint32_t Slot = 0; Slot < Slots; ++Slot)
    for (uint32_t Rank = 0; Rank < Ranks; ++Rank) {
      // Shift each further round by one expert, so that a copy is not on the
      // rank of the first one.
      uint32_t Index = Slot * Ranks + Rank;
      uint32_t Round = Index / Experts;
      P.set({Rank, Slot}, static_cast<ExpertId>((Index + Round) % Experts));
    }
  return P;
}

void Placement::set(SlotId Id, ExpertId Expert) {
  ExpertId &Cell = Cells[Id.Rank * Slots + Id.Slot];
  --Copies[Cell];
  Cell = Expert;
  ++Copies[Expert];
}

bool Placement::holds(uint32_t Rank, ExpertId Expert) const {
  auto Begin = Cells.begin() + static_cast<ptrdiff_t>(Rank) * Slots;
  return std::find(Begin, Begin + Slots, Expert) != Begin + Slots;
}

std::vector<double>
Placement::rankLoads(std::span<const double> Popularity) const {
  std::vector<double> Loads(Ranks, 0);
  for (uint32_t Rank = 0; Rank < Ranks; ++Rank)
    for (uint32_t Slot = 0; Slot < Slots; ++Slot) {
      ExpertId Expert = at({Rank, Slot});
      Loads[Rank] += Popularity[Expert] / Copies[Expert];
    }
  return Loads;
}

double Placement::skew(std::span<const double> Popularity) const {
  std::vector<double> Loads = rankLoads(Popularity);
  double Sum = std::accumulate(Loads.begin(), Loads.end(), 0.0);
  if (Sum <= 0)
    return 1;
  return *std::max_element(Loads.begin(), Loads.end()) * Ranks / Sum;
}

bool Placement::isComplete() const {
  return std::all_of(Copies.begin(), Copies.end(),
                     [](uint32_t Count) { return Count > 0; });
}

uint32_t movesBetween(const Placement &From, const Placement &To) {
  uint32_t Moves = 0;
  for (uint32_t Rank = 0; Rank < To.ranks(); ++Rank)
    for (uint32_t Slot = 0; Slot < To.slots(); ++Slot)
      Moves += !From.holds(Rank, To.at({Rank, Slot}));
  return Moves;
}

double skewLowerBound(std::span<const double> Popularity, uint32_t Ranks,
                      uint32_t Slots) {
  double Sum = std::accumulate(Popularity.begin(), Popularity.end(), 0.0);
  if (Sum <= 0)
    return 1;
  std::vector<uint32_t> Copies(Popularity.size(), 1);
  size_t Spare = size_t(Ranks) * Slots - Popularity.size();
  auto Hottest = [&] {
    size_t Best = 0;
    for (size_t E = 1; E < Popularity.size(); ++E)
      if (Popularity[E] / Copies[E] > Popularity[Best] / Copies[Best])
        Best = E;
    return Best;
  };
  for (; Spare > 0; --Spare) {
    size_t E = Hottest();
    if (Copies[E] >= Ranks)
      break;
    ++Copies[E];
  }
  size_t E = Hottest();
  return std::max(1.0, Popularity[E] / Copies[E] * Ranks / Sum);
}

} // namespace ragwort::experts
