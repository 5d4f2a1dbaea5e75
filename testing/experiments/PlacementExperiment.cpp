//===- PlacementExperiment.cpp - Placement and rebalancing over a day -----===//
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
constexpr uint32_t SlotCount = 3;
constexpr int Periods = 288; // five minutes each, a day
constexpr int MixKinds = 3;  // letters, disputes, findings
constexpr double ExpertMegabytes = 44;
constexpr double StoreMegabytesPerSecond = 100;

using Popularity = std::vector<double>;

/// Popularity of the experts in each period of a day.
struct Trace {
  std::string Name;
  std::vector<Popularity> Days;
};

/// Each kind of text has experts of its own; the mix of kinds changes.
class MixModel {
public:
  explicit MixModel(uint64_t Seed) : Random(Seed) {
    std::gamma_distribution<double> Gamma(0.7, 1.0);
    for (auto &Kind : Kinds) {
      Kind.resize(ExpertCount);
      for (double &P : Kind)
        P = 0.1 + Gamma(Random);
    }
  }
  Popularity at(const std::vector<double> &Mix) {
    Popularity P(ExpertCount, 0);
    std::normal_distribution<double> Noise(1.0, 0.03);
    for (size_t E = 0; E < ExpertCount; ++E)
      for (size_t K = 0; K < MixKinds; ++K)
        P[E] += Mix[K] * Kinds[K][E] * std::max(0.5, Noise(Random));
    return P;
  }

private:
  std::mt19937_64 Random;
  std::vector<double> Kinds[MixKinds];
};

Trace makeTrace(const std::string &Name, uint64_t Seed,
                const std::function<std::vector<double>(double)> &MixAt) {
  MixModel Model(Seed);
  Trace T{Name, {}};
  for (int I = 0; I < Periods; ++I)
    T.Days.push_back(Model.at(MixAt(static_cast<double>(I) / Periods)));
  return T;
}

std::vector<Trace> allTraces() {
  constexpr double Turn = 2 * 3.14159265358979;
  std::vector<Trace> Traces;
  Traces.push_back(makeTrace("slow drift", 1, [=](double T) {
    return std::vector<double>{1 + 0.8 * std::sin(Turn * T), 1,
                               1 - 0.8 * std::sin(Turn * T)};
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

/// A way to choose the next placement.
struct Strategy {
  std::string Name;
  std::function<Placement(const Placement &, const Popularity &)> Next;
  /// Whether it plans on the smoothed popularity.
  bool IsSmoothed = false;
};

struct Outcome {
  double MeanSkew = 0;
  double P95Skew = 0;
  double MeanBound = 0;
  uint32_t Moves = 0;
};

Outcome replay(const Trace &T, const Strategy &S) {
  Placement P = Placement::roundRobin(ExpertCount, RankCount, SlotCount);
  Outcome Result;
  std::vector<double> Skews;
  PopularityTracker Tracker;
  for (size_t I = 0; I < T.Days.size(); ++I) {
    // A plan is made from the period before and is in force in this one.
    if (I > 0) {
      Tracker.onPeriod(T.Days[I - 1]);
      std::span<const double> Smooth = Tracker.popularity();
      Popularity Known = S.IsSmoothed ? Popularity(Smooth.begin(), Smooth.end())
                                      : T.Days[I - 1];
      Placement Next = S.Next(P, Known);
      Result.Moves += movesBetween(P, Next);
      P = Next;
    }
    Skews.push_back(P.skew(T.Days[I]));
    Result.MeanBound +=
        skewLowerBound(T.Days[I], RankCount, SlotCount) / Periods;
  }
  for (double Skew : Skews)
    Result.MeanSkew += Skew / static_cast<double>(Skews.size());
  std::sort(Skews.begin(), Skews.end());
  Result.P95Skew = Skews[Skews.size() * 95 / 100];
  return Result;
}

Strategy weighted(const std::string &Name, double Skew, double Rebalancing) {
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
      weighted("planner, skew 0.8 : moves 0.2", 0.8, 0.2),
      weighted("planner, skew 0.5 : moves 0.5", 0.5, 0.5),
      weighted("planner, skew 0.3 : moves 0.7", 0.3, 0.7),
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
    Out << "| " << S.Name << " | " << fixedText(R.MeanSkew, 3) << " | "
        << fixedText(R.P95Skew, 3) << " | " << fixedText(R.MeanBound, 3)
        << " | " << R.Moves << " | " << fixedText(Megabytes / 1000, 1) << " | "
        << fixedText(Megabytes / StoreMegabytesPerSecond, 0) << " |\n";
  }
}

void plotTradeOff(const std::vector<Trace> &Traces, const std::string &Folder) {
  std::vector<Series> Lines;
  for (const Trace &T : Traces) {
    Series Line{T.Name, {}, {}};
    for (double Weight : {0.95, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.1}) {
      Outcome R = replay(T, weighted("", Weight, 1 - Weight));
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
  for (const Popularity &Load : T.Days) {
    auto Begin = std::chrono::steady_clock::now();
    Plan Next = planRebalancing(P, Load, {0.8, 0.2}, PlanLimits());
    Millis.push_back(std::chrono::duration<double, std::milli>(
                         std::chrono::steady_clock::now() - Begin)
                         .count());
    P = Next.Target;
  }
  std::sort(Millis.begin(), Millis.end());
  Out << "\nTime of one plan (64 experts, 32 ranks, one core) on the trace "
      << T.Name << ": median " << fixedText(Millis[Millis.size() / 2], 2)
      << " ms, largest " << fixedText(Millis.back(), 2) << " ms.\n";
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
