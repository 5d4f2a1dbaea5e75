//===- SetPlanner.cpp - Places the experts of one set of layers -----------===//
#include "ragwort/rankgroup/SetPlanner.h"
#include <algorithm>
#include <numeric>
#include <optional>

namespace ragwort::rankgroup {

namespace {

// Maximum steps of a search, per rank; bounds the planning time.
constexpr size_t MaxStepsPerRank = 4;

/// A change of one or two ranks.
struct Step {
  ExpertId Expert = 0;
  /// The rank that receives the expert.
  std::optional<uint32_t> Receiver = std::nullopt;
  /// The expert that the receiver drops to make room.
  std::optional<ExpertId> Dropped = std::nullopt;
  /// The rank that drops the expert. If unset, the receiver gets an additional
  /// copy.
  std::optional<uint32_t> Source = std::nullopt;
  /// Whether the source receives the expert that the receiver drops.
  bool IsExchange = false;
};

/// Loads that result from a step.
struct Outcome {
  double Cost = 0;
  double Max = 0;
};

/// The eighth power of a load. The sum over all ranks is dominated by the
/// slowest one, but also rewards lowering the next slowest ones.
double costOf(double Load) {
  double Square = Load * Load;
  Square *= Square;
  return Square * Square;
}

/// The placement that a search improves. Loads are times, in units of the time
/// that the mean load takes on a rank of usual speed.
class PlacementState {
public:
  PlacementState(const SetMap &InUse, const SetDemand &Demand)
      : InUse(InUse), Current(InUse), Holders(Demand.Popularity.size()),
        Weight(Demand.Popularity.begin(), Demand.Popularity.end()),
        Slowdown(Demand.Slowdown.begin(), Demand.Slowdown.end()),
        Loads(InUse.size(), 0), LoadChange(InUse.size(), 0),
        NewCounts(InUse.size(), 0) {
    Slowdown.resize(InUse.size(), 1);
    double Sum = std::accumulate(Weight.begin(), Weight.end(), 0.0);
    double Scale = Sum > 0 ? static_cast<double>(InUse.size()) / Sum : 0;
    for (double &W : Weight)
      W *= Scale;
    for (uint32_t Rank = 0; Rank < Current.size(); ++Rank)
      for (ExpertId E : Current[Rank])
        Holders[E].push_back(Rank);
    for (size_t E = 0; E < Holders.size(); ++E)
      addShares(static_cast<ExpertId>(E), 1);
    BySlowness.resize(Loads.size());
    std::iota(BySlowness.begin(), BySlowness.end(), 0);
    updateTotals();
  }

  const SetMap &map() const { return Current; }
  const std::vector<double> &loads() const { return Loads; }
  double weight(ExpertId E) const { return Weight[E]; }
  size_t copies(ExpertId E) const { return Holders[E].size(); }
  bool holds(uint32_t Rank, ExpertId E) const {
    return std::find(Holders[E].begin(), Holders[E].end(), Rank) !=
           Holders[E].end();
  }
  bool wasHeld(uint32_t Rank, ExpertId E) const {
    const auto &Before = InUse[Rank];
    return std::find(Before.begin(), Before.end(), E) != Before.end();
  }
  uint32_t newCount(uint32_t Rank) const { return NewCounts[Rank]; }

  /// The loads of the current placement.
  const Outcome &current() const { return Totals; }
  /// All ranks by load, the slowest first.
  std::span<const uint32_t> bySlowness() const { return BySlowness; }

  /// Evaluates a step without applying it. A search evaluates thousands of
  /// steps and applies few, so only the ranks that the step affects are
  /// recomputed.
  Outcome outcome(const Step &S) {
    recordMove(S.Expert, S.Source, S.Receiver);
    if (S.Dropped)
      recordMove(*S.Dropped, S.Receiver,
                 S.IsExchange ? S.Source : std::nullopt);
    Outcome Result = Totals;
    Result.Max = 0;
    for (uint32_t Rank : Affected) {
      double After = Loads[Rank] + LoadChange[Rank];
      Result.Cost += costOf(After) - costOf(Loads[Rank]);
      Result.Max = std::max(Result.Max, After);
    }
    auto IsUnaffected = [this](uint32_t Rank) {
      return std::find(Affected.begin(), Affected.end(), Rank) ==
             Affected.end();
    };
    auto Next =
        std::find_if(BySlowness.begin(), BySlowness.end(), IsUnaffected);
    if (Next != BySlowness.end())
      Result.Max = std::max(Result.Max, Loads[*Next]);
    for (uint32_t Rank : Affected)
      LoadChange[Rank] = 0;
    Affected.clear();
    return Result;
  }

  void apply(const Step &S) {
    if (S.Receiver && S.Dropped)
      remove(*S.Receiver, *S.Dropped);
    if (S.Source)
      remove(*S.Source, S.Expert);
    if (S.Receiver)
      add(*S.Receiver, S.Expert);
    if (S.IsExchange)
      add(*S.Source, *S.Dropped);
    updateTotals();
  }

private:
  void updateTotals() {
    std::sort(BySlowness.begin(), BySlowness.end(),
              [this](uint32_t A, uint32_t B) { return Loads[A] > Loads[B]; });
    Totals.Max = Loads[BySlowness.front()];
    Totals.Cost = 0;
    for (double Load : Loads)
      Totals.Cost += costOf(Load);
  }

  void recordChange(uint32_t Rank, double Share) {
    if (std::find(Affected.begin(), Affected.end(), Rank) == Affected.end())
      Affected.push_back(Rank);
    LoadChange[Rank] += Share * Slowdown[Rank];
  }

  /// Records the load changes when \p Source drops an expert and \p Receiver
  /// receives it.
  void recordMove(ExpertId E, std::optional<uint32_t> Source,
                  std::optional<uint32_t> Receiver) {
    const std::vector<uint32_t> &Before = Holders[E];
    size_t After = Before.size() - Source.has_value() + Receiver.has_value();
    double OldShare = Weight[E] / static_cast<double>(Before.size());
    double NewShare = After > 0 ? Weight[E] / static_cast<double>(After) : 0;
    for (uint32_t Rank : Before)
      recordChange(Rank, Rank == Source ? -OldShare : NewShare - OldShare);
    if (Receiver)
      recordChange(*Receiver, NewShare);
  }

  void addShares(ExpertId E, int Sign) {
    if (Holders[E].empty())
      return;
    double Share = Sign * Weight[E] / static_cast<double>(Holders[E].size());
    for (uint32_t Rank : Holders[E])
      Loads[Rank] += Share * Slowdown[Rank];
  }
  void add(uint32_t Rank, ExpertId E) {
    addShares(E, -1);
    Holders[E].push_back(Rank);
    addShares(E, 1);
    Current[Rank].push_back(E);
    NewCounts[Rank] += !wasHeld(Rank, E);
  }
  void remove(uint32_t Rank, ExpertId E) {
    addShares(E, -1);
    std::erase(Holders[E], Rank);
    addShares(E, 1);
    std::erase(Current[Rank], E);
    NewCounts[Rank] -= !wasHeld(Rank, E);
  }

  const SetMap &InUse;
  SetMap Current;
  // Invariant: the ranks of each expert in Current.
  std::vector<std::vector<uint32_t>> Holders;
  std::vector<double> Weight;
  std::vector<double> Slowdown;
  std::vector<double> Loads;
  // Invariant: computed from Loads.
  Outcome Totals;
  // Invariant: the ranks sorted by Loads, the slowest first.
  std::vector<uint32_t> BySlowness;
  // For the step being evaluated: the ranks that it affects, and the load
  // change by rank. Empty and zero between evaluations.
  std::vector<uint32_t> Affected;
  std::vector<double> LoadChange;
  // By rank: number of experts in Current that are not in InUse.
  std::vector<uint32_t> NewCounts;
};

class GreedySearch {
public:
  GreedySearch(PlacementState &State, SetLimits Limits)
      : State(State), Limits(Limits) {}

  void run() {
    size_t MaxSteps = MaxStepsPerRank * State.map().size();
    for (size_t I = 0; I < MaxSteps; ++I) {
      std::optional<Step> Best = bestStep();
      if (!Best)
        return;
      State.apply(*Best);
    }
  }

private:
  std::optional<Step> bestStep() {
    uint32_t Slowest = State.bySlowness().front();
    BestCost = State.current().Cost;
    Best.reset();
    std::vector<ExpertId> Hot = State.map()[Slowest];
    std::sort(Hot.begin(), Hot.end(),
              [this](ExpertId A, ExpertId B) { return share(A) > share(B); });
    // Only the experts with the largest shares are considered; the others move
    // too little load to be worth a copy.
    if (Hot.size() > MaxHotExperts)
      Hot.resize(MaxHotExperts);
    for (ExpertId E : Hot) {
      considerDropping(E, Slowest);
      considerReceivers(E, Slowest);
    }
    return Best;
  }

  /// Considers only the least loaded ranks as receivers: evaluating the others
  /// takes most of the time and hardly ever finds a better step.
  void considerReceivers(ExpertId E, uint32_t Slowest) {
    size_t Considered = 0;
    auto Ranks = State.bySlowness();
    for (auto It = Ranks.rbegin(); It != Ranks.rend(); ++It) {
      if (Considered == MaxReceivers ||
          State.loads()[*It] >= State.loads()[Slowest])
        return;
      bool CanReceive =
          State.wasHeld(*It, E) || State.newCount(*It) < Limits.MaxNewPerRank;
      if (!CanReceive || State.holds(*It, E))
        continue;
      considerReceiver(E, Slowest, *It);
      ++Considered;
    }
  }

  double share(ExpertId E) const {
    return State.weight(E) / static_cast<double>(State.copies(E));
  }

  /// Considers dropping a copy of an expert that other ranks hold as well.
  void considerDropping(ExpertId E, uint32_t Slowest) {
    if (State.copies(E) > 1 && State.map()[Slowest].size() > 1)
      tryStep({E, std::nullopt, std::nullopt, Slowest});
  }

  void considerReceiver(ExpertId E, uint32_t Slowest, uint32_t Rank) {
    bool CanMove = State.map()[Slowest].size() > 1;
    if (State.map()[Rank].size() < Limits.MaxExpertsPerRank) {
      tryStep({E, Rank});
      if (CanMove)
        tryStep({E, Rank, std::nullopt, Slowest});
      return;
    }
    for (ExpertId Other : State.map()[Rank]) {
      if (State.copies(Other) > 1) {
        tryStep({E, Rank, Other});
        if (CanMove)
          tryStep({E, Rank, Other, Slowest});
      }
      bool CanExchange = !State.holds(Slowest, Other) &&
                         share(Other) < share(E) &&
                         (State.wasHeld(Slowest, Other) ||
                          State.newCount(Slowest) < Limits.MaxNewPerRank);
      if (CanExchange)
        tryStep({E, Rank, Other, Slowest, true});
    }
  }

  void tryStep(const Step &S) {
    Outcome After = State.outcome(S);
    double Gain = State.current().Max - After.Max;
    // If several ranks are equally slow, no single step lowers the maximum. The
    // cost shows the progress in this case.
    bool IsWorthwhile = Gain > Limits.MinGainPerCopy ||
                        After.Cost < BestCost * (1 - 4 * Limits.MinGainPerCopy);
    if (IsWorthwhile && After.Cost < BestCost) {
      BestCost = After.Cost;
      Best = S;
    }
  }

  static constexpr size_t MaxHotExperts = 8;
  static constexpr size_t MaxReceivers = 8;

  PlacementState &State;
  const SetLimits Limits;
  double BestCost = 0;
  std::optional<Step> Best;
};

} // namespace

double skewOf(const SetMap &Map, const SetDemand &Demand) {
  std::vector<uint32_t> Copies(Demand.Popularity.size(), 0);
  for (const auto &Rank : Map)
    for (ExpertId E : Rank)
      ++Copies[E];
  double Sum =
      std::accumulate(Demand.Popularity.begin(), Demand.Popularity.end(), 0.0);
  double Max = 0;
  for (size_t Rank = 0; Rank < Map.size(); ++Rank) {
    double Load = 0;
    for (ExpertId E : Map[Rank])
      Load += Demand.Popularity[E] / Copies[E];
    Max = std::max(
        Max,
        Load * (Rank < Demand.Slowdown.size() ? Demand.Slowdown[Rank] : 1));
  }
  return Max > 0 && Sum > 0 ? Max * static_cast<double>(Map.size()) / Sum : 1;
}

SetPlan planSet(const SetMap &InUse, const SetDemand &Demand,
                SetLimits Limits) {
  SetPlan Result;
  Result.SkewBefore = skewOf(InUse, Demand);
  PlacementState State(InUse, Demand);
  GreedySearch(State, Limits).run();
  Result.Target = State.map();
  for (std::vector<ExpertId> &Rank : Result.Target)
    std::sort(Rank.begin(), Rank.end());
  for (uint32_t Rank = 0; Rank < InUse.size(); ++Rank)
    Result.Copies += State.newCount(Rank);
  Result.SkewAfter = skewOf(Result.Target, Demand);
  return Result;
}

SetMap roundRobinMap(uint32_t Experts, uint32_t Ranks) {
  SetMap Result(Ranks);
  for (uint32_t E = 0; E < Experts; ++E)
    Result[E % Ranks].push_back(static_cast<ExpertId>(E));
  return Result;
}

} // namespace ragwort::rankgroup
