//===- Planner.cpp - Weighs step-time skew against moved experts ----------===//
#include "ragwort/experts/Planner.h"
#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace ragwort::experts {

namespace {

// Ranks whose slots a step may change. More than one, because the best way to
// relieve the hottest rank may be blocked by the next ones.
constexpr size_t SourceRanks = 2;

// Exponents of the two phases of a search, as numbers of squarings.
constexpr int CoarseSquarings = 4;
constexpr int FineSquarings = 6;

/// Cost of the loads of ranks, in units of the mean: a high power mean. It is
/// close to the maximum, but also rewards lowering the second hottest rank,
/// where the maximum alone would see no progress. A lower exponent finds the
/// way from afar, a higher one finishes.
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

/// A changed slot.
struct SlotChange {
  SlotId Where;
  ExpertId Expert = 0;
};

/// One or two slot changes that are made together.
struct Step {
  SlotChange First;
  std::optional<SlotChange> Second;
  uint32_t Moves = 1;
};

/// A placement under improvement with its loads kept up to date.
class Improver {
public:
  /// Improves \p Start; moves are counted against \p InForce.
  Improver(const Placement &InForce, const Placement &Start,
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

  /// The ranks with the highest loads, hottest first.
  std::vector<uint32_t> hottestRanks(size_t Count) const {
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

  /// Power mean after \p S, which is not applied.
  double powerMeanAfter(const Step &S) {
    collectDeltas(S);
    double After = Cost;
    for (uint32_t Rank : Touched) {
      After -= Costs.term(Loads[Rank]);
      After += Costs.term(Loads[Rank] + Delta[Rank]);
      Delta[Rank] = 0;
    }
    Touched.clear();
    return meanOf(After);
  }

  void apply(const Step &S) {
    collectDeltas(S);
    for (uint32_t Rank : Touched) {
      Cost -= Costs.term(Loads[Rank]);
      Loads[Rank] += Delta[Rank];
      Cost += Costs.term(Loads[Rank]);
      Delta[Rank] = 0;
    }
    Touched.clear();
    place(S.First);
    if (S.Second)
      place(*S.Second);
  }

  /// Loads that must come from the weight store for \p Change.
  uint32_t movesOf(const SlotChange &Change) const {
    return InForce.holds(Change.Where.Rank, Change.Expert) ? 0 : 1;
  }

private:
  double meanOf(double Sum) const {
    return Costs.root(Sum / static_cast<double>(Loads.size()));
  }

  /// Load of one of \p Copies copies of \p Expert.
  double share(ExpertId Expert, uint32_t Copies) const {
    return Copies == 0 ? 0 : Popularity[Expert] * Scale / Copies;
  }

  void addDelta(uint32_t Rank, double Amount) {
    if (Delta[Rank] == 0)
      Touched.push_back(Rank);
    Delta[Rank] += Amount;
  }

  void collectDeltas(const Step &S) {
    ExpertId New = S.First.Expert;
    ExpertId Old = Current.at(S.First.Where);
    uint32_t OldCopies = Current.copies(Old);
    uint32_t NewCopies = Current.copies(New);
    if (S.Second) {
      // A swap leaves the numbers of copies as they are.
      double Difference = share(New, NewCopies) - share(Old, OldCopies);
      addDelta(S.First.Where.Rank, Difference);
      addDelta(S.Second->Where.Rank, -Difference);
      return;
    }
    for (uint32_t Rank : RanksOf[Old])
      addDelta(Rank, share(Old, OldCopies - 1) - share(Old, OldCopies));
    addDelta(S.First.Where.Rank, -share(Old, OldCopies - 1));
    for (uint32_t Rank : RanksOf[New])
      addDelta(Rank, share(New, NewCopies + 1) - share(New, NewCopies));
    addDelta(S.First.Where.Rank, share(New, NewCopies + 1));
  }

  void place(const SlotChange &Change) {
    std::vector<uint32_t> &Left = RanksOf[Current.at(Change.Where)];
    Left.erase(std::find(Left.begin(), Left.end(), Change.Where.Rank));
    RanksOf[Change.Expert].push_back(Change.Where.Rank);
    Current.set(Change.Where, Change.Expert);
  }

  const Placement &InForce;
  const std::span<const double> Popularity;
  const LoadCost Costs;
  Placement Current;
  double Scale = 0;
  std::vector<double> Loads;
  double Cost = 0;
  // Invariant: the ranks of each expert's copies, one entry a copy.
  std::vector<std::vector<uint32_t>> RanksOf;
  // Scratch of one evaluation. Invariant: all zero between evaluations.
  std::vector<double> Delta;
  std::vector<uint32_t> Touched;
};

/// Every swap of a slot of rank \p Hot, and every further copy of one of its
/// experts in place of an expert that has copies to spare.
void addSteps(const Improver &State, uint32_t Hot, std::vector<Step> &Steps) {
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
          Steps.push_back({Placed, std::nullopt, State.movesOf(Placed)});
        if (P.holds(Hot, Other))
          continue;
        SlotChange Back{From, Other};
        Steps.push_back(
            {Placed, Back, State.movesOf(Placed) + State.movesOf(Back)});
      }
    }
    // Give up a spare copy on the hot rank for any expert it lacks.
    if (P.copies(HotExpert) > 1)
      for (uint32_t E = 0; E < P.experts(); ++E) {
        SlotChange Change{From, static_cast<ExpertId>(E)};
        if (!P.holds(Hot, Change.Expert))
          Steps.push_back({Change, std::nullopt, State.movesOf(Change)});
      }
  }
}

/// Takes the best step again and again while it is worth its moves.
void improve(Improver &State, const Placement &InForce, double PricePerMove,
             uint32_t MaxMoves) {
  // Steps that undo a move cost nothing, so moves alone do not end the search.
  uint32_t StepsLeft = 2 * MaxMoves;
  std::vector<Step> Steps;
  while (StepsLeft-- > 0) {
    double Before = State.powerMean();
    std::optional<Step> Best;
    double BestGain = 1e-9;
    Steps.clear();
    for (uint32_t Hot : State.hottestRanks(SourceRanks))
      addSteps(State, Hot, Steps);
    uint32_t MovesLeft =
        MaxMoves - std::min(MaxMoves, movesBetween(InForce, State.placement()));
    for (const Step &S : Steps) {
      if (S.Moves > MovesLeft)
        continue;
      double Gain = Before - State.powerMeanAfter(S) - PricePerMove * S.Moves;
      if (Gain > BestGain) {
        BestGain = Gain;
        Best = S;
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
  double PricePerMove =
      Limits.SkewPerMove * Weights.Rebalancing / std::max(Weights.Skew, 1e-9);
  Placement Target = InForce;
  for (int Squarings : {CoarseSquarings, FineSquarings}) {
    Improver State(InForce, Target, Popularity, LoadCost(Squarings));
    improve(State, InForce, PricePerMove, Limits.MaxMoves);
    Target = State.placement();
  }
  Plan Result{Target, movesBetween(InForce, Target), InForce.skew(Popularity),
              Target.skew(Popularity)};
  // The power mean may fall while the maximum does not: then nothing is won.
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
        Placement Tried = P;
        Tried.set({Hot, A}, P.at({Cold, B}));
        Tried.set({Cold, B}, P.at({Hot, A}));
        double Skew = Tried.skew(Popularity);
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
