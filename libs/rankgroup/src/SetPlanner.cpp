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

/// How a step would leave the loads.
struct Outcome {
  double Cost = 0;
  double Max = 0;
};

/// A high power of a load. The sum over the ranks is near their maximum, but it
/// also rewards lowering the second slowest one.
double costOf(double Load) {
  double Square = Load * Load;
  Square *= Square;
  return Square * Square;
}

/// A placement under improvement. Loads are times, in units of what the mean
/// load takes a rank of usual speed.
class Workbench {
public:
  Workbench(const SetMap &InForce, const SetDemand &Demand)
      : InForce(InForce), Current(InForce), Holders(Demand.Popularity.size()),
        Weight(Demand.Popularity.begin(), Demand.Popularity.end()),
        Slowdown(Demand.Slowdown.begin(), Demand.Slowdown.end()),
        Loads(InForce.size(), 0), Change(InForce.size(), 0),
        Fresh(InForce.size(), 0) {
    Slowdown.resize(InForce.size(), 1);
    double Sum = std::accumulate(Weight.begin(), Weight.end(), 0.0);
    double Scale = Sum > 0 ? static_cast<double>(InForce.size()) / Sum : 0;
    for (double &W : Weight)
      W *= Scale;
    for (uint32_t Rank = 0; Rank < Current.size(); ++Rank)
      for (ExpertId E : Current[Rank])
        Holders[E].push_back(Rank);
    for (size_t E = 0; E < Holders.size(); ++E)
      spread(static_cast<ExpertId>(E), 1);
    BySlowness.resize(Loads.size());
    std::iota(BySlowness.begin(), BySlowness.end(), 0);
    sum();
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

  /// The state as it is.
  const Outcome &now() const { return Sums; }
  /// All ranks, the slowest first.
  std::span<const uint32_t> bySlowness() const { return BySlowness; }

  /// What a step would lead to. A plan weighs thousands of steps and takes few,
  /// so only the ranks that a step touches are looked at.
  Outcome outcome(const Step &S) {
    shift(S.Expert, S.Giver, S.Taker);
    if (S.Dropped)
      shift(*S.Dropped, S.Taker, S.IsExchange ? S.Giver : std::nullopt);
    Outcome Result = Sums;
    Result.Max = 0;
    for (uint32_t Rank : Touched) {
      double After = Loads[Rank] + Change[Rank];
      Result.Cost += costOf(After) - costOf(Loads[Rank]);
      Result.Max = std::max(Result.Max, After);
    }
    auto IsUntouched = [this](uint32_t Rank) {
      return std::find(Touched.begin(), Touched.end(), Rank) == Touched.end();
    };
    auto Next = std::find_if(BySlowness.begin(), BySlowness.end(), IsUntouched);
    if (Next != BySlowness.end())
      Result.Max = std::max(Result.Max, Loads[*Next]);
    for (uint32_t Rank : Touched)
      Change[Rank] = 0;
    Touched.clear();
    return Result;
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
    sum();
  }

private:
  void sum() {
    std::sort(BySlowness.begin(), BySlowness.end(),
              [this](uint32_t A, uint32_t B) { return Loads[A] > Loads[B]; });
    Sums.Max = Loads[BySlowness.front()];
    Sums.Cost = 0;
    for (double Load : Loads)
      Sums.Cost += costOf(Load);
  }

  void touch(uint32_t Rank, double Share) {
    if (std::find(Touched.begin(), Touched.end(), Rank) == Touched.end())
      Touched.push_back(Rank);
    Change[Rank] += Share * Slowdown[Rank];
  }

  /// Notes what it changes that \p Leaver gives an expert up and \p Joiner
  /// takes it in.
  void shift(ExpertId E, std::optional<uint32_t> Leaver,
             std::optional<uint32_t> Joiner) {
    const std::vector<uint32_t> &Before = Holders[E];
    size_t After = Before.size() - Leaver.has_value() + Joiner.has_value();
    double OldShare = Weight[E] / static_cast<double>(Before.size());
    double NewShare = After > 0 ? Weight[E] / static_cast<double>(After) : 0;
    for (uint32_t Rank : Before)
      touch(Rank, Rank == Leaver ? -OldShare : NewShare - OldShare);
    if (Joiner)
      touch(*Joiner, NewShare);
  }

  void spread(ExpertId E, int Sign) {
    if (Holders[E].empty())
      return;
    double Share = Sign * Weight[E] / static_cast<double>(Holders[E].size());
    for (uint32_t Rank : Holders[E])
      Loads[Rank] += Share * Slowdown[Rank];
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
  std::vector<double> Slowdown;
  std::vector<double> Loads;
  // Invariant: of Loads.
  Outcome Sums;
  // Invariant: the ranks by their loads, the slowest first.
  std::vector<uint32_t> BySlowness;
  // Of the step that is weighed: the ranks it touches, and by rank what it adds
  // to the load. Empty and zero in between.
  std::vector<uint32_t> Touched;
  std::vector<double> Change;
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
    uint32_t Slowest = State.bySlowness().front();
    BestCost = State.now().Cost;
    Best.reset();
    std::vector<ExpertId> Hot = State.map()[Slowest];
    std::sort(Hot.begin(), Hot.end(),
              [this](ExpertId A, ExpertId B) { return share(A) > share(B); });
    // The few heaviest decide; the others move too little to be worth a copy.
    if (Hot.size() > HotExperts)
      Hot.resize(HotExperts);
    for (ExpertId E : Hot) {
      considerRetiring(E, Slowest);
      considerTakers(E, Slowest);
    }
    return Best;
  }

  /// The least loaded ranks gain most from an expert; weighing the others takes
  /// most of the time and hardly ever finds anything better.
  void considerTakers(ExpertId E, uint32_t Slowest) {
    size_t Considered = 0;
    auto Ranks = State.bySlowness();
    for (auto It = Ranks.rbegin(); It != Ranks.rend(); ++It) {
      if (Considered == MaxTakers ||
          State.loads()[*It] >= State.loads()[Slowest])
        return;
      bool CanTake =
          State.wasHeld(*It, E) || State.fresh(*It) < Limits.MaxNewPerRank;
      if (!CanTake || State.holds(*It, E))
        continue;
      consider(E, Slowest, *It);
      ++Considered;
    }
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
      bool CanSwap = !State.holds(Slowest, Other) && share(Other) < share(E) &&
                     (State.wasHeld(Slowest, Other) ||
                      State.fresh(Slowest) < Limits.MaxNewPerRank);
      if (CanSwap)
        tryStep({E, Rank, Other, Slowest, true});
    }
  }

  void tryStep(const Step &S) {
    Outcome After = State.outcome(S);
    double Gain = State.now().Max - After.Max;
    // Where several ranks are equally slow no single step lowers the maximum;
    // the cost then tells progress.
    bool IsWorth = Gain > Limits.MinGainPerCopy ||
                   After.Cost < BestCost * (1 - 4 * Limits.MinGainPerCopy);
    if (IsWorth && After.Cost < BestCost) {
      BestCost = After.Cost;
      Best = S;
    }
  }

  static constexpr size_t HotExperts = 8;
  static constexpr size_t MaxTakers = 8;

  Workbench &State;
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

SetMap roundRobinMap(uint32_t Experts, uint32_t Ranks) {
  SetMap Result(Ranks);
  for (uint32_t E = 0; E < Experts; ++E)
    Result[E % Ranks].push_back(static_cast<ExpertId>(E));
  return Result;
}

} // namespace ragwort::rankgroup
