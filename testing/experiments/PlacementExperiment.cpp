//===- PlacementExperiment.cpp - Expert placement over a simulated day ----===//
#include "Experiments.h"
#include "ragwort/experts/Planner.h"
#include "ragwort/experts/PopularityTracker.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <random>

namespace ragwort::experiments {

namespace {

using namespace ragwort::experts;

constexpr uint32_t ExpertCount = 64;
constexpr uint32_t RankCount = 32;
constexpr uint32_t SlotCount = 3; // per rank
constexpr int PeriodCount = 288;  // one day in periods of five minutes
constexpr int TextKindCount = 3;  // letters, disputes, findings
constexpr double ExpertMegabytes = 44;
constexpr double WeightStoreMegabytesPerSecond = 100;

using Popularity = std::vector<double>;

/// Popularity of the experts in each period of a day.
struct Trace {
  std::string Name;
  std::vector<Popularity> PerPeriod;
};

/// Model of expert popularity. Each kind of text has its own popularity of the
/// experts; the mix of kinds changes over time.
class PopularityModel {
public:
  explicit PopularityModel(uint64_t Seed) : Random(Seed) {
    std::gamma_distribution<double> Gamma(0.7, 1.0);
    for (auto &Kind : Kinds) {
      Kind.resize(ExpertCount);
      for (double &P : Kind)
        P = 0.1 + Gamma(Random);
    }
  }
  /// Popularity with relative amounts \p Mix of the kinds of text, with noise.
  Popularity at(const std::vector<double> &Mix) {
    Popularity P(ExpertCount, 0);
    std::normal_distribution<double> Noise(1.0, 0.03);
    for (size_t E = 0; E < ExpertCount; ++E)
      for (size_t K = 0; K < TextKindCount; ++K)
        P[E] += Mix[K] * Kinds[K][E] * std::max(0.5, Noise(Random));
    return P;
  }

private:
  std::mt19937_64 Random;
  std::vector<double> Kinds[TextKindCount];
};

/// Trace of a day; \p MixAt maps a time of day from 0 to 1 to a mix.
Trace makeTrace(const std::string &Name, uint64_t Seed,
                const std::function<std::vector<double>(double)> &MixAt) {
  PopularityModel Model(Seed);
  Trace T{Name, {}};
  for (int I = 0; I < PeriodCount; ++I)
    T.PerPeriod.push_back(
        Model.at(MixAt(static_cast<double>(I) / PeriodCount)));
  return T;
}

std::vector<Trace> allTraces() {
  constexpr double TwoPi = 2 * 3.14159265358979;
  std::vector<Trace> Traces;
  Traces.push_back(makeTrace("slow drift", 1, [=](double T) {
    return std::vector<double>{1 + 0.8 * std::sin(TwoPi * T), 1,
                               1 - 0.8 * std::sin(TwoPi * T)};
  }));
  Traces.push_back(makeTrace("lunch peak", 2, [](double T) {
    double Peak = std::exp(-std::pow((T - 0.5) / 0.05, 2));
    return std::vector<double>{1, 0.3 + 3 * Peak, 0.7};
  }));
  Traces.push_back(makeTrace("sudden shift", 3, [](double T) {
    return T < 0.5 ? std::vector<double>{2, 0.5, 0.5}
                   : std::vector<double>{0.3, 0.5, 2.2};
  }));
  Traces.push_back(makeTrace("adversarial flip", 4, [](double T) {
    bool IsOdd = static_cast<int>(T * 24) % 2 == 1;
    return IsOdd ? std::vector<double>{2.5, 0.2, 0.3}
                 : std::vector<double>{0.3, 0.2, 2.5};
  }));
  return Traces;
}

/// Algorithm that chooses the next placement from the current one and the
/// popularity of the experts.
struct Strategy {
  std::string Name;
  std::function<Placement(const Placement &, const Popularity &)> ChooseNext;
  /// Whether its input is the smoothed popularity instead of that of the last
  /// period.
  bool IsSmoothed = false;
};

struct Outcome {
  double MeanSkew = 0;
  double P95Skew = 0;
  /// Mean lower bound of the skew.
  double MeanBound = 0;
  /// Number of moved experts.
  uint32_t Moves = 0;
};

/// Runs strategy \p S on trace \p T.
Outcome replay(const Trace &T, const Strategy &S) {
  Placement P = Placement::roundRobin(ExpertCount, RankCount, SlotCount);
  Outcome Result;
  std::vector<double> Skews;
  PopularityTracker Tracker;
  for (size_t I = 0; I < T.PerPeriod.size(); ++I) {
    // The placement for this period is planned from the one before.
    if (I > 0) {
      Tracker.onPeriod(T.PerPeriod[I - 1]);
      std::span<const double> Smoothed = Tracker.popularity();
      Popularity PlanInput = S.IsSmoothed
                                 ? Popularity(Smoothed.begin(), Smoothed.end())
                                 : T.PerPeriod[I - 1];
      Placement Next = S.ChooseNext(P, PlanInput);
      Result.Moves += movesBetween(P, Next);
      P = Next;
    }
    Skews.push_back(P.skew(T.PerPeriod[I]));
    Result.MeanBound +=
        skewLowerBound(T.PerPeriod[I], RankCount, SlotCount) / PeriodCount;
  }
  for (double Skew : Skews)
    Result.MeanSkew += Skew / static_cast<double>(Skews.size());
  std::sort(Skews.begin(), Skews.end());
  Result.P95Skew = Skews[Skews.size() * 95 / 100];
  return Result;
}

/// Planner with the given weights of its two objectives.
Strategy weightedPlanner(const std::string &Name, double Skew,
                         double Rebalancing) {
  return {Name,
          [=](const Placement &P, const Popularity &Load) {
            return planRebalancing(P, Load, {Skew, Rebalancing}, PlanLimits())
                .Target;
          },
          true};
}

std::vector<Strategy> allStrategies() {
  return {
      {"static", [](const Placement &P, const Popularity &) { return P; }},
      {"full recomputation",
       [](const Placement &, const Popularity &Load) {
         return planFromScratch(Load, RankCount, SlotCount);
       }},
      {"greedy swaps",
       [](const Placement &P, const Popularity &Load) {
         return planGreedySwaps(P, Load, 16).Target;
       }},
      weightedPlanner("planner, skew 0.8 : moves 0.2", 0.8, 0.2),
      weightedPlanner("planner, skew 0.5 : moves 0.5", 0.5, 0.5),
      weightedPlanner("planner, skew 0.3 : moves 0.7", 0.3, 0.7),
  };
}

void printTrace(std::ostream &Out, const Trace &T) {
  Out << "\nTrace: " << T.Name << "\n\n"
      << "| strategy | mean skew | p95 skew | mean bound | experts moved | "
         "GB moved | store seconds |\n"
      << "|---|---|---|---|---|---|---|\n";
  for (const Strategy &S : allStrategies()) {
    Outcome R = replay(T, S);
    double Megabytes = R.Moves * ExpertMegabytes;
    Out << "| " << S.Name << " | " << formatFixed(R.MeanSkew, 3) << " | "
        << formatFixed(R.P95Skew, 3) << " | " << formatFixed(R.MeanBound, 3)
        << " | " << R.Moves << " | " << formatFixed(Megabytes / 1000, 1)
        << " | " << formatFixed(Megabytes / WeightStoreMegabytesPerSecond, 0)
        << " |\n";
  }
}

void plotTradeOff(const std::vector<Trace> &Traces, const std::string &Folder) {
  std::vector<Series> Lines;
  for (const Trace &T : Traces) {
    Series Line{T.Name, {}, {}};
    for (double Weight : {0.95, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1}) {
      Outcome R = replay(T, weightedPlanner("", Weight, 1 - Weight));
      Line.X.push_back(R.Moves);
      Line.Y.push_back(R.MeanSkew);
    }
    Lines.push_back(std::move(Line));
  }
  writePlot(Folder + "/placement-trade-off.svg",
            "Skew against moved experts, weights 0.95:0.05 to 0.1:0.9",
            "experts moved in a day, one layer", "mean skew", Lines);
}

void printPlanTime(std::ostream &Out, const Trace &T) {
  std::vector<double> Millis;
  Placement P = Placement::roundRobin(ExpertCount, RankCount, SlotCount);
  for (const Popularity &Load : T.PerPeriod) {
    auto Begin = std::chrono::steady_clock::now();
    Plan Next = planRebalancing(P, Load, {0.8, 0.2}, PlanLimits());
    Millis.push_back(std::chrono::duration<double, std::milli>(
                         std::chrono::steady_clock::now() - Begin)
                         .count());
    P = Next.Target;
  }
  std::sort(Millis.begin(), Millis.end());
  Out << "\nTime of one plan (64 experts, 32 ranks, one core) on the trace "
      << T.Name << ": median " << formatFixed(Millis[Millis.size() / 2], 2)
      << " ms, largest " << formatFixed(Millis.back(), 2) << " ms.\n";
}

} // namespace

void runPlacement(std::ostream &Out, const std::string &PlotFolder) {
  std::vector<Trace> Traces = allTraces();
  for (const Trace &T : Traces)
    printTrace(Out, T);
  printPlanTime(Out, Traces[3]);
  plotTradeOff(Traces, PlotFolder);
}

} // namespace ragwort::experiments
