//===- ShareExperiment.cpp - Capacity shares and overload -----------------===//
//
// Agents use weighted fair queueing. Organisations send requests to random
// agents by Poisson processes. The agreed shares change in the middle of the
// run.
//
//===----------------------------------------------------------------------===//
#include "Experiments.h"
#include "ragwort/shares/FairQueue.h"
#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace ragwort::experiments {

namespace {

using shares::FairQueue;
using shares::QueueTicket;

constexpr int AgentCount = 16;
constexpr double ServiceSeconds = 0.05;
constexpr double StepSeconds = 0.01;
constexpr double RunSeconds = 240;
constexpr int StepCount = 24'000;
/// Time at which the agreed shares change.
constexpr double SplitChangeSeconds = 120;
constexpr double WindowSeconds = 10;
constexpr int WindowCount = 24;
/// Number of small organisations.
constexpr int SmallCount = 1000;

struct Organisation {
  std::string Name;
  /// Agreed share in percent, before and after SplitChangeSeconds.
  double ShareBefore;
  double ShareAfter;
  /// Offered load as a fraction of the total capacity.
  double Offered;
};

/// One queued request.
struct QueuedRequest {
  /// Index of the organisation that sent it.
  size_t Organisation;
};

/// Number of served requests by organisation and window.
using ServedCounts = std::vector<std::vector<double>>;

/// Simulates the agents with a fair queue each, or with one first-come,
/// first-served queue each if not \p IsFair.
ServedCounts simulateAgents(const std::vector<Organisation> &Organisations,
                            bool IsFair) {
  std::mt19937_64 Random(7);
  std::vector<FairQueue<QueuedRequest>> Queues(AgentCount,
                                               FairQueue<QueuedRequest>(400));
  // Number of requests that each agent has the time to serve; grows with time.
  std::vector<double> Credit(AgentCount, 0);
  ServedCounts Served(Organisations.size());
  double Capacity = AgentCount / ServiceSeconds;
  std::vector<std::poisson_distribution<int>> Arrivals;
  Arrivals.reserve(Organisations.size());
  for (const Organisation &O : Organisations)
    Arrivals.emplace_back(std::max(1e-9, O.Offered * Capacity * StepSeconds));
  for (int Step = 0; Step < StepCount; ++Step) {
    double Now = Step * StepSeconds;
    for (size_t I = 0; I < Organisations.size(); ++I) {
      double Share = Now < SplitChangeSeconds ? Organisations[I].ShareBefore
                                              : Organisations[I].ShareAfter;
      for (int N = Arrivals[I](Random); N > 0; --N) {
        QueueTicket Ticket;
        Ticket.Organisation = IsFair ? Organisations[I].Name : "all";
        Ticket.Weight = IsFair ? Share : 1;
        Queues[Random() % AgentCount].push(Ticket, {I});
      }
    }
    auto Window = static_cast<size_t>(Now / WindowSeconds);
    for (int Agent = 0; Agent < AgentCount; ++Agent) {
      Credit[size_t(Agent)] += StepSeconds / ServiceSeconds;
      while (Credit[size_t(Agent)] >= 1) {
        std::optional<QueuedRequest> Next = Queues[size_t(Agent)].pop();
        if (!Next) {
          Credit[size_t(Agent)] = std::min(Credit[size_t(Agent)], 1.0);
          break;
        }
        Credit[size_t(Agent)] -= 1;
        Served[Next->Organisation].resize(size_t(RunSeconds / WindowSeconds),
                                          0);
        Served[Next->Organisation][Window] += 1;
      }
    }
  }
  for (auto &PerWindow : Served)
    PerWindow.resize(size_t(RunSeconds / WindowSeconds), 0);
  return Served;
}

/// Percentage of the requests served from \p From to \p To, in seconds, that
/// organisation number \p Organisation sent.
double servedPercent(const ServedCounts &Counts, size_t Organisation,
                     double From, double To) {
  double Own = 0;
  double All = 0;
  for (auto I = static_cast<size_t>(From / WindowSeconds);
       I < static_cast<size_t>(To / WindowSeconds); ++I)
    for (size_t T = 0; T < Counts.size(); ++T) {
      All += Counts[T][I];
      Own += T == Organisation ? Counts[T][I] : 0;
    }
  return 100 * Own / All;
}

std::vector<Organisation> testOrganisations() {
  std::vector<Organisation> All = {{"large-1", 40, 20, 0.8},
                                   {"large-2", 30, 50, 0.8},
                                   {"large-3", 20, 20, 0.4}};
  for (int I = 0; I < SmallCount; ++I)
    All.push_back({"small-" + std::to_string(I), 0.01, 0.01, 0.3 / SmallCount});
  return All;
}

void printShares(std::ostream &Out, const std::string &PlotFolder) {
  std::vector<Organisation> All = testOrganisations();
  Out << "\nShares: 16 agents, three large organisations and 1000 small ones "
         "(10% together), offered 2.3 times the capacity; the split changes "
         "at 120 s.\n\n| organisation | agreed before / after | one queue | "
         "fair queues, 60 s window before | after | 10 s window after the "
         "change |\n|---|---|---|---|---|---|\n";
  ServedCounts Single = simulateAgents(All, false);
  ServedCounts Fair = simulateAgents(All, true);
  std::vector<Series> Lines;
  for (size_t I = 0; I < 3; ++I) {
    Out << "| " << All[I].Name << " | " << All[I].ShareBefore << "% / "
        << All[I].ShareAfter << "% | "
        << formatFixed(servedPercent(Single, I, 60, 120), 1) << "% | "
        << formatFixed(servedPercent(Fair, I, 60, 120), 1) << "% | "
        << formatFixed(servedPercent(Fair, I, 180, 240), 1) << "% | "
        << formatFixed(servedPercent(Fair, I, 120, 130), 1) << "% |\n";
    Series Line{All[I].Name, {}, {}};
    for (int Window = 0; Window < WindowCount; ++Window) {
      double From = Window * WindowSeconds;
      Line.X.push_back(From);
      Line.Y.push_back(servedPercent(Fair, I, From, From + WindowSeconds));
    }
    Lines.push_back(std::move(Line));
  }
  writePlot(PlotFolder + "/shares.svg",
            "Served share in windows of 10 s, split changed at 120 s",
            "seconds", "percent", Lines);
}

void printOverload(std::ostream &Out) {
  Out << "\nOverload: one agent, queue of 64, deadline 2 s, requests of "
         "priority 5 are a fifth of the load. Goodput counts answers within "
         "the deadline.\n\n| offered | goodput of capacity | refused, "
         "priority 0 | refused, priority 5 |\n|---|---|---|---|\n";
  for (double Offered : {0.5, 0.9, 1.2, 1.5, 2.0, 3.0}) {
    std::mt19937_64 Random(3);
    struct Waiting {
      uint32_t Priority;
    };
    FairQueue<Waiting> Queue(64);
    std::poisson_distribution<int> Arrivals(Offered * StepSeconds /
                                            ServiceSeconds);
    double Credit = 0;
    double GoodCount = 0;
    std::map<uint32_t, double> Sent;
    std::map<uint32_t, double> Refused;
    for (int Step = 0; Step < 30'000; ++Step) {
      TimePoint Now(Duration(int64_t(Step * StepSeconds * 1e6)));
      for (int N = Arrivals(Random); N > 0; --N) {
        QueueTicket Ticket;
        Ticket.Organisation = "org-" + std::to_string(Random() % 10);
        Ticket.Priority = Random() % 5 == 0 ? 5 : 0;
        Ticket.Deadline = Now + std::chrono::seconds(2);
        ++Sent[Ticket.Priority];
        if (auto Evicted = Queue.push(Ticket, {Ticket.Priority}))
          ++Refused[Evicted->Priority];
      }
      for (const Waiting &Late : Queue.expire(Now))
        ++Refused[Late.Priority];
      Credit = std::min(Credit + StepSeconds / ServiceSeconds, 2.0);
      while (Credit >= 1 && Queue.pop()) {
        Credit -= 1;
        ++GoodCount;
      }
    }
    double Capacity = 30'000 * StepSeconds / ServiceSeconds;
    Out << "| " << formatFixed(Offered, 1) << " | "
        << formatFixed(100 * GoodCount / Capacity, 1) << "% | "
        << formatFixed(100 * Refused[0] / Sent[0], 1) << "% | "
        << formatFixed(100 * Refused[5] / Sent[5], 1) << "% |\n";
  }
}

} // namespace

void runShares(std::ostream &Out, const std::string &PlotFolder) {
  printShares(Out, PlotFolder);
  printOverload(Out);
}

} // namespace ragwort::experiments
