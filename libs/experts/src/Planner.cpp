//===- Planner.cpp - Plans new placements of experts ----------------------===//
#include "ragwort/experts/Planner.h"
#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace ragwort::experts {

namespace {

// Number of most loaded ranks whose slots are considered for a change. With
// only one, the next most loaded ranks may block the best change for it.
constexpr size_t SourceRanks = 2;

// Exponents of the load cost in the two phases of a search, as numbers of
// squarings: 2^4 and 2^6.
constexpr int CoarseSquarings = 4;
constexpr int FineSquarings = 6;

/// Cost function of the loads of ranks: a power mean with a high exponent,
/// where loads are relative to the mean load. It is close to the maximum, but
/// also improves when only the second highest load decreases. A lower exponent
/// suits a start far from the optimum, a higher one the final refinement.
class LoadCost {
public:
  explicit LoadCost(int Squarings) : Squarings(Squarings) {}
  double term(double Load) const {
    for (int I = 0; I < Squarings; ++I)
      Load *= Load;
    return Load;
  }
  double root(double Mean) const {
    for (int I = 0; I < Squarings; ++I)
      Mean = std::sqrt(Mean);
    return Mean;
  }

private:
  int Squarings;
};

/// Assignment of another expert to a slot.
struct SlotChange {
  SlotId Where;
  ExpertId Expert = 0;
};

/// One slot change, or two that together swap two experts.
struct Change {
  SlotChange First;
  std::optional<SlotChange> Second;
  uint32_t Moves = 1;
};

/// State of the local search: a placement with the loads of its ranks, which
/// are updated incrementally.
class SearchState {
public:
  /// Starts from \p Start. Moves are counted relative to \p InForce.
  SearchState(const Placement &InForce, const Placement &Start,
              std::span<const double> Popularity, LoadCost Costs)
      : InForce(InForce), Popularity(Popularity), Costs(Costs), Current(Start),
        RanksOf(InForce.experts()), Delta(InForce.ranks(), 0) {
    double Sum = std::accumulate(Popularity.begin(), Popularity.end(), 0.0);
    Scale = Sum > 0 ? InForce.ranks() / Sum : 0;
    Loads = Current.rankLoads(Popularity);
    for (double &Load : Loads)
      Load *= Scale;
    for (double Load : Loads)
      Cost += Costs.term(Load);
    for (uint32_t Rank = 0; Rank < Current.ranks(); ++Rank)
      for (uint32_t Slot = 0; Slot < Current.slots(); ++Slot)
        RanksOf[Current.at({Rank, Slot})].push_back(Rank);
  }

  const Placement &placement() const { return Current; }
  double powerMean() const { return meanOf(Cost); }
  double skew() const { return *std::max_element(Loads.begin(), Loads.end()); }

  /// Returns the \p Count ranks with the highest loads, in descending order.
  std::vector<uint32_t> mostLoadedRanks(size_t Count) const {
    std::vector<uint32_t> Order(Loads.size());
    std::iota(Order.begin(), Order.end(), 0);
    Count = std::min(Count, Order.size());
    std::partial_sort(
        Order.begin(), Order.begin() + static_cast<ptrdiff_t>(Count),
        Order.end(),
        [&](uint32_t A, uint32_t B) { return Loads[A] > Loads[B]; });
    Order.resize(Count);
    return Order;
  }

  /// Power mean that would result from \p C, without applying it.
  double powerMeanAfter(const Change &C) {
    collectDeltas(C);
    double After = Cost;
    for (uint32_t Rank : Touched) {
      After -= Costs.term(Loads[Rank]);
      After += Costs.term(Loads[Rank] + Delta[Rank]);
      Delta[Rank] = 0;
    }
    Touched.clear();
    return meanOf(After);
  }

  void apply(const Change &C) {
    collectDeltas(C);
    for (uint32_t Rank : Touched) {
      Cost -= Costs.term(Loads[Rank]);
      Loads[Rank] += Delta[Rank];
      Cost += Costs.term(Loads[Rank]);
      Delta[Rank] = 0;
    }
    Touched.clear();
    assign(C.First);
    if (C.Second)
      assign(*C.Second);
  }

  /// Number of experts that must be loaded from the weight store for \p Single.
  uint32_t movesOf(const SlotChange &Single) const {
    return InForce.holds(Single.Where.Rank, Single.Expert) ? 0 : 1;
  }

private:
  double meanOf(double Sum) const {
    return Costs.root(Sum / static_cast<double>(Loads.size()));
  }

  /// Load of each copy of \p Expert if it has \p Copies copies.
  double loadPerCopy(ExpertId Expert, uint32_t Copies) const {
    return Copies == 0 ? 0 : Popularity[Expert] * Scale / Copies;
  }

  void addDelta(uint32_t Rank, double Amount) {
    if (Delta[Rank] == 0)
      Touched.push_back(Rank);
    Delta[Rank] += Amount;
  }

  void collectDeltas(const Change &C) {
    ExpertId New = C.First.Expert;
    ExpertId Old = Current.at(C.First.Where);
    uint32_t OldCopies = Current.copies(Old);
    uint32_t NewCopies = Current.copies(New);
    if (C.Second) {
      // A swap does not change the numbers of copies.
      double Difference =
          loadPerCopy(New, NewCopies) - loadPerCopy(Old, OldCopies);
      addDelta(C.First.Where.Rank, Difference);
      addDelta(C.Second->Where.Rank, -Difference);
      return;
    }
    for (uint32_t Rank : RanksOf[Old])
      addDelta(Rank,
               loadPerCopy(Old, OldCopies - 1) - loadPerCopy(Old, OldCopies));
    addDelta(C.First.Where.Rank, -loadPerCopy(Old, OldCopies - 1));
    for (uint32_t Rank : RanksOf[New])
      addDelta(Rank,
               loadPerCopy(New, NewCopies + 1) - loadPerCopy(New, NewCopies));
    addDelta(C.First.Where.Rank, loadPerCopy(New, NewCopies + 1));
  }

  void assign(const SlotChange &Single) {
    std::vector<uint32_t> &OldRanks = RanksOf[Current.at(Single.Where)];
    OldRanks.erase(
        std::find(OldRanks.begin(), OldRanks.end(), Single.Where.Rank));
    RanksOf[Single.Expert].push_back(Single.Where.Rank);
    Current.set(Single.Where, Single.Expert);
  }

  const Placement &InForce;
  const std::span<const double> Popularity;
  const LoadCost Costs;
  Placement Current;
  double Scale = 0;
  std::vector<double> Loads;
  double Cost = 0;
  // Invariant: for each expert, the ranks of its copies, one entry for each
  // copy.
  std::vector<std::vector<uint32_t>> RanksOf;
  // Load changes by rank, and the ranks with a change. Used within one
  // evaluation; Delta is zero and Touched is empty between evaluations.
  std::vector<double> Delta;
  std::vector<uint32_t> Touched;
};

/// Adds the changes that may reduce the load of rank \p Hot: swaps of one of
/// its slots with a slot of another rank, copies of one of its experts in place
/// of an expert that has several copies, and replacements of an expert on \p
/// Hot that has several copies.
void addCandidates(const SearchState &State, uint32_t Hot,
                   std::vector<Change> &Candidates) {
  const Placement &P = State.placement();
  for (uint32_t HotSlot = 0; HotSlot < P.slots(); ++HotSlot) {
    SlotId From{Hot, HotSlot};
    ExpertId HotExpert = P.at(From);
    for (uint32_t Rank = 0; Rank < P.ranks(); ++Rank) {
      if (Rank == Hot || P.holds(Rank, HotExpert))
        continue;
      for (uint32_t Slot = 0; Slot < P.slots(); ++Slot) {
        SlotId To{Rank, Slot};
        ExpertId Other = P.at(To);
        SlotChange Placed{To, HotExpert};
        if (P.copies(Other) > 1)
          Candidates.push_back({Placed, std::nullopt, State.movesOf(Placed)});
        if (P.holds(Hot, Other))
          continue;
        SlotChange Back{From, Other};
        Candidates.push_back(
            {Placed, Back, State.movesOf(Placed) + State.movesOf(Back)});
      }
    }
    // Replace a copy on the hot rank by any expert that the rank does not hold.
    if (P.copies(HotExpert) > 1)
      for (uint32_t E = 0; E < P.experts(); ++E) {
        SlotChange Replaced{From, static_cast<ExpertId>(E)};
        if (!P.holds(Hot, Replaced.Expert))
          Candidates.push_back(
              {Replaced, std::nullopt, State.movesOf(Replaced)});
      }
  }
}

/// Applies the best change repeatedly until no change gains more than its moves
/// cost. Makes at most \p MaxMoves moves relative to \p InForce.
void runLocalSearch(SearchState &State, const Placement &InForce,
                    double CostPerMove, uint32_t MaxMoves) {
  // Changes that undo a move cost nothing, so MaxMoves alone does not bound the
  // number of iterations.
  uint32_t IterationsLeft = 2 * MaxMoves;
  std::vector<Change> Candidates;
  while (IterationsLeft-- > 0) {
    double Before = State.powerMean();
    std::optional<Change> Best;
    double BestGain = 1e-9;
    Candidates.clear();
    for (uint32_t Hot : State.mostLoadedRanks(SourceRanks))
      addCandidates(State, Hot, Candidates);
    uint32_t MovesLeft =
        MaxMoves - std::min(MaxMoves, movesBetween(InForce, State.placement()));
    for (const Change &C : Candidates) {
      if (C.Moves > MovesLeft)
        continue;
      double Gain = Before - State.powerMeanAfter(C) - CostPerMove * C.Moves;
      if (Gain > BestGain) {
        BestGain = Gain;
        Best = C;
      }
    }
    if (!Best)
      return;
    State.apply(*Best);
  }
}

} // namespace

Plan planRebalancing(const Placement &InForce,
                     std::span<const double> Popularity, PlanWeights Weights,
                     PlanLimits Limits) {
  double CostPerMove =
      Limits.SkewPerMove * Weights.Rebalancing / std::max(Weights.Skew, 1e-9);
  Placement Target = InForce;
  for (int Squarings : {CoarseSquarings, FineSquarings}) {
    SearchState State(InForce, Target, Popularity, LoadCost(Squarings));
    runLocalSearch(State, InForce, CostPerMove, Limits.MaxMoves);
    Target = State.placement();
  }
  Plan Result{Target, movesBetween(InForce, Target), InForce.skew(Popularity),
              Target.skew(Popularity)};
  // The power mean may decrease without the maximum decreasing. Such a plan has
  // no benefit.
  if (Result.SkewAfter >= Result.SkewBefore)
    return Plan{InForce, 0, Result.SkewBefore, Result.SkewBefore};
  return Result;
}

Placement planFromScratch(std::span<const double> Popularity, uint32_t Ranks,
                          uint32_t Slots) {
  auto Experts = static_cast<uint32_t>(Popularity.size());
  std::vector<uint32_t> Copies(Experts, 1);
  for (uint32_t Spare = Ranks * Slots - Experts; Spare > 0; --Spare) {
    uint32_t Best = 0;
    double BestLoad = -1;
    for (uint32_t E = 0; E < Experts; ++E)
      if (Copies[E] < Ranks && Popularity[E] / Copies[E] > BestLoad) {
        Best = E;
        BestLoad = Popularity[E] / Copies[E];
      }
    ++Copies[Best];
  }
  std::vector<ExpertId> Order;
  for (uint32_t E = 0; E < Experts; ++E)
    Order.insert(Order.end(), Copies[E], static_cast<ExpertId>(E));
  auto PerCopy = [&](ExpertId E) { return Popularity[E] / Copies[E]; };
  std::stable_sort(Order.begin(), Order.end(), [&](ExpertId A, ExpertId B) {
    return PerCopy(A) > PerCopy(B);
  });
  Placement P(Experts, Ranks, Slots);
  std::vector<double> Loads(Ranks, 0);
  std::vector<std::vector<ExpertId>> Held(Ranks);
  for (ExpertId E : Order) {
    std::optional<uint32_t> Best;
    for (uint32_t Rank = 0; Rank < Ranks; ++Rank) {
      if (Held[Rank].size() >= Slots)
        continue;
      if (!Best || Loads[Rank] < Loads[*Best])
        Best = Rank;
    }
    P.set({*Best, static_cast<uint32_t>(Held[*Best].size())}, E);
    Held[*Best].push_back(E);
    Loads[*Best] += PerCopy(E);
  }
  return P;
}

Plan planGreedySwaps(const Placement &InForce,
                     std::span<const double> Popularity, uint32_t MaxSwaps) {
  Placement P = InForce;
  double SkewBefore = P.skew(Popularity);
  for (uint32_t Swap = 0; Swap < MaxSwaps; ++Swap) {
    std::vector<double> Loads = P.rankLoads(Popularity);
    auto Hot = static_cast<uint32_t>(
        std::max_element(Loads.begin(), Loads.end()) - Loads.begin());
    auto Cold = static_cast<uint32_t>(
        std::min_element(Loads.begin(), Loads.end()) - Loads.begin());
    double Best = P.skew(Popularity);
    std::optional<std::pair<uint32_t, uint32_t>> Choice;
    for (uint32_t A = 0; A < P.slots(); ++A)
      for (uint32_t B = 0; B < P.slots(); ++B) {
        Placement Swapped = P;
        Swapped.set({Hot, A}, P.at({Cold, B}));
        Swapped.set({Cold, B}, P.at({Hot, A}));
        double Skew = Swapped.skew(Popularity);
        if (Skew < Best - 1e-9) {
          Best = Skew;
          Choice = {A, B};
        }
      }
    if (!Choice)
      break;
    ExpertId FromHot = P.at({Hot, Choice->first});
    P.set({Hot, Choice->first}, P.at({Cold, Choice->second}));
    P.set({Cold, Choice->second}, FromHot);
  }
  return {P, movesBetween(InForce, P), SkewBefore, P.skew(Popularity)};
}

} // namespace ragwort::experts
