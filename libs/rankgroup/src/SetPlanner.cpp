//===- SetPlanner.cpp - Places the experts of one set of layers -----------===//
#include "ragwort/rankgroup/SetPlanner.h"
#include <algorithm>
#include <numeric>
#include <optional>

namespace ragwort::rankgroup {

namespace {

// Steps a rank after which a plan is taken as it is; bounds the time of
// planning.
constexpr size_t MaxStepsPerRank = 4;

/// A change of one or two ranks.
struct Step {
  ExpertId Expert = 0;
  /// Takes the expert in.
  std::optional<uint32_t> Taker = std::nullopt;
  /// Given up by the taker to make room.
  std::optional<ExpertId> Dropped = std::nullopt;
  /// Gives the expert up; without one the taker holds a further copy.
  std::optional<uint32_t> Giver = std::nullopt;
  /// The giver takes in what the taker drops.
  bool IsExchange = false;
};

/// A placement under improvement. Loads are times, in units of what the mean
/// load takes a rank of usual speed.
class Workbench {
public:
  Workbench(const SetMap &InForce, const SetDemand &Demand)
      : InForce(InForce), Current(InForce), Holders(Demand.Popularity.size()),
        Weight(Demand.Popularity.begin(), Demand.Popularity.end()),
        Pace(Demand.Pace.begin(), Demand.Pace.end()), Loads(InForce.size(), 0),
        Fresh(InForce.size(), 0) {
    Pace.resize(InForce.size(), 1);
    double Sum = std::accumulate(Weight.begin(), Weight.end(), 0.0);
    double Scale = Sum > 0 ? static_cast<double>(InForce.size()) / Sum : 0;
    for (double &W : Weight)
      W *= Scale;
    for (uint32_t Rank = 0; Rank < Current.size(); ++Rank)
      for (ExpertId E : Current[Rank])
        Holders[E].push_back(Rank);
    for (size_t E = 0; E < Holders.size(); ++E)
      spread(static_cast<ExpertId>(E), 1);
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
    const auto &Before = InForce[Rank];
    return std::find(Before.begin(), Before.end(), E) != Before.end();
  }
  uint32_t fresh(uint32_t Rank) const { return Fresh[Rank]; }

  /// A high power of the loads: near the maximum, but it also rewards lowering
  /// the second slowest rank.
  double cost() const {
    double Sum = 0;
    for (double Load : Loads) {
      double Square = Load * Load;
      Square *= Square;
      Sum += Square * Square;
    }
    return Sum;
  }

  void apply(const Step &S) {
    if (S.Taker && S.Dropped)
      remove(*S.Taker, *S.Dropped);
    if (S.Giver)
      remove(*S.Giver, S.Expert);
    if (S.Taker)
      add(*S.Taker, S.Expert);
    if (S.IsExchange)
      add(*S.Giver, *S.Dropped);
  }
  void undo(const Step &S) {
    if (S.IsExchange)
      remove(*S.Giver, *S.Dropped);
    if (S.Taker)
      remove(*S.Taker, S.Expert);
    if (S.Giver)
      add(*S.Giver, S.Expert);
    if (S.Taker && S.Dropped)
      add(*S.Taker, *S.Dropped);
  }

private:
  void spread(ExpertId E, int Sign) {
    if (Holders[E].empty())
      return;
    double Share = Sign * Weight[E] / static_cast<double>(Holders[E].size());
    for (uint32_t Rank : Holders[E])
      Loads[Rank] += Share * Pace[Rank];
  }
  void add(uint32_t Rank, ExpertId E) {
    spread(E, -1);
    Holders[E].push_back(Rank);
    spread(E, 1);
    Current[Rank].push_back(E);
    Fresh[Rank] += !wasHeld(Rank, E);
  }
  void remove(uint32_t Rank, ExpertId E) {
    spread(E, -1);
    std::erase(Holders[E], Rank);
    spread(E, 1);
    std::erase(Current[Rank], E);
    Fresh[Rank] -= !wasHeld(Rank, E);
  }

  const SetMap &InForce;
  SetMap Current;
  // Invariant: the ranks of each expert in Current.
  std::vector<std::vector<uint32_t>> Holders;
  std::vector<double> Weight;
  std::vector<double> Pace;
  std::vector<double> Loads;
  // Experts of each rank in Current that are not in InForce.
  std::vector<uint32_t> Fresh;
};

class Search {
public:
  Search(Workbench &State, SetLimits Limits) : State(State), Limits(Limits) {}

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
    const auto &Loads = State.loads();
    auto Slowest = static_cast<uint32_t>(
        std::max_element(Loads.begin(), Loads.end()) - Loads.begin());
    double Before = Loads[Slowest];
    BestCost = State.cost();
    Best.reset();
    std::vector<ExpertId> Hot = State.map()[Slowest];
    std::sort(Hot.begin(), Hot.end(),
              [this](ExpertId A, ExpertId B) { return share(A) > share(B); });
    // The few heaviest decide; the others move too little to be worth a copy.
    if (Hot.size() > HotExperts)
      Hot.resize(HotExperts);
    for (ExpertId E : Hot) {
      considerRetiring(E, Slowest);
      for (uint32_t Rank = 0; Rank < Loads.size(); ++Rank)
        if (Loads[Rank] < Before && !State.holds(Rank, E))
          consider(E, Slowest, Rank);
    }
    return Best;
  }

  double share(ExpertId E) const {
    return State.weight(E) / static_cast<double>(State.copies(E));
  }

  /// Gives up a copy that other ranks hold as well.
  void considerRetiring(ExpertId E, uint32_t Slowest) {
    if (State.copies(E) > 1 && State.map()[Slowest].size() > 1)
      tryStep({E, std::nullopt, std::nullopt, Slowest});
  }

  void consider(ExpertId E, uint32_t Slowest, uint32_t Rank) {
    bool IsNew = !State.wasHeld(Rank, E);
    if (IsNew && State.fresh(Rank) >= Limits.MaxNewPerRank)
      return;
    bool CanMove = State.map()[Slowest].size() > 1;
    if (State.map()[Rank].size() < Limits.Places) {
      tryStep({E, Rank});
      if (CanMove)
        tryStep({E, Rank, std::nullopt, Slowest});
      return;
    }
    const std::vector<ExpertId> Present = State.map()[Rank];
    for (ExpertId Other : Present) {
      if (State.copies(Other) > 1) {
        tryStep({E, Rank, Other});
        if (CanMove)
          tryStep({E, Rank, Other, Slowest});
      }
      bool CanSwap = !State.holds(Slowest, Other) && share(Other) < share(E) &&
                     (State.wasHeld(Slowest, Other) ||
                      State.fresh(Slowest) < Limits.MaxNewPerRank);
      if (CanSwap)
        tryStep({E, Rank, Other, Slowest, true});
    }
  }

  void tryStep(const Step &S) {
    double MaxBefore = maxLoad();
    State.apply(S);
    double Cost = State.cost();
    double Gain = MaxBefore - maxLoad();
    State.undo(S);
    // Where several ranks are equally slow no single step lowers the maximum;
    // the cost then tells progress.
    bool IsWorth = Gain > Limits.MinGainPerCopy ||
                   Cost < BestCost * (1 - 4 * Limits.MinGainPerCopy);
    if (IsWorth && Cost < BestCost) {
      BestCost = Cost;
      Best = S;
    }
  }

  double maxLoad() const {
    return *std::max_element(State.loads().begin(), State.loads().end());
  }

  static constexpr size_t HotExperts = 8;

  Workbench &State;
  const SetLimits Limits;
  double BestCost = 0;
  std::optional<Step> Best;
};

} // namespace

double skewOf(const SetMap &Map, const SetDemand &Demand) {
  Workbench State(Map, Demand);
  const auto &Loads = State.loads();
  double Max = *std::max_element(Loads.begin(), Loads.end());
  return Max > 0 ? Max : 1;
}

SetPlan planSet(const SetMap &InForce, const SetDemand &Demand,
                SetLimits Limits) {
  SetPlan Result;
  Result.SkewBefore = skewOf(InForce, Demand);
  Workbench State(InForce, Demand);
  Search(State, Limits).run();
  Result.Target = State.map();
  for (std::vector<ExpertId> &Rank : Result.Target)
    std::sort(Rank.begin(), Rank.end());
  for (uint32_t Rank = 0; Rank < InForce.size(); ++Rank)
    Result.Copies += State.fresh(Rank);
  Result.SkewAfter = skewOf(Result.Target, Demand);
  return Result;
}

SetMap mapInTurn(uint32_t Experts, uint32_t Ranks) {
  SetMap Result(Ranks);
  for (uint32_t E = 0; E < Experts; ++E)
    Result[E % Ranks].push_back(static_cast<ExpertId>(E));
  return Result;
}

} // namespace ragwort::rankgroup
