//===- RoutingExperiment.cpp - Routing policies with delayed reports ------===//
//
// Requests arrive by a Poisson process at random entry nodes, each of which
// balances over a subset of the replicas. A replica has slots, a queue and a
// prefix cache. Load reports reach the entry nodes with a delay. One replica is
// slow for a part of the run.
//
//===----------------------------------------------------------------------===//
#include "Experiments.h"
#include "ragwort/routing/AffinityTable.h"
#include "ragwort/routing/Choosers.h"
#include "ragwort/routing/Subset.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <queue>

namespace ragwort::experiments {

namespace {

using namespace ragwort::routing;

constexpr int ReplicaCount = 64;
constexpr int Slots = 16; // per replica
constexpr double RunSeconds = 120;
constexpr double SecondsPerToken = 0.03;
constexpr double PrefillSeconds = 0.35;
constexpr double CachedPrefillSeconds = 0.04;
constexpr double MeanTokens = 60;
constexpr size_t CacheEntries = 40; // per replica
constexpr int PrefixCount = 1200;
constexpr double SlowFactor = 4;
constexpr double FirstTokenBoundSeconds = 1.2;

/// Parameters that vary between runs.
struct Scenario {
  double LagSeconds = 0.5;
  double Utilisation = 0.75;
  int Subset = 16;
  int EntryCount = 8;
  bool HasStraggler = true;
};

struct Replica {
  int Active = 0;
  std::list<std::pair<double, int>> Queue; // arrival time, request index
  std::list<uint64_t> Cache;
  double Slowness = 1;

  /// Marks \p Prefix as the most recently used one of the cache. \returns
  /// whether it was cached.
  bool touch(uint64_t Prefix) {
    auto Position = std::find(Cache.begin(), Cache.end(), Prefix);
    bool IsHit = Position != Cache.end();
    if (IsHit)
      Cache.erase(Position);
    Cache.push_front(Prefix);
    if (Cache.size() > CacheEntries)
      Cache.pop_back();
    return IsHit;
  }
};

struct RequestState {
  int Entry = 0;
  int Target = 0;
  uint64_t Prefix = 0;
  double Arrival = 0;
  double Tokens = 0;
};

struct Result {
  /// Percentiles of the time to the first token, in seconds.
  double FirstP95 = 0;
  double FirstP99 = 0;
  double HitRate = 0;
  /// Fraction of the requests with the first token within
  /// FirstTokenBoundSeconds.
  double Goodput = 0;
  /// Mean coefficient of variation of the load across replicas.
  double LoadSpread = 0;
};

class Simulation {
public:
  Simulation(AnyChooser Policy, Scenario S, uint64_t Seed)
      : S(S), Rng(Seed), Replicas(ReplicaCount) {
    std::vector<std::string> EntryNames;
    EntryNames.reserve(size_t(S.EntryCount));
    for (int E = 0; E < S.EntryCount; ++E)
      EntryNames.push_back("entry-" + std::to_string(E));
    for (int E = 0; E < S.EntryCount; ++E) {
      Entries.push_back({Policy,
                         {},
                         AffinityTable(std::chrono::seconds(60), 20'000),
                         std::vector<Candidate>(ReplicaCount)});
      std::vector<std::string> Names;
      Names.reserve(ReplicaCount);
      for (int R = 0; R < ReplicaCount; ++R)
        Names.push_back("replica-" + std::to_string(R));
      for (size_t R : deterministicSubset(EntryNames[size_t(E)], EntryNames,
                                          Names, size_t(S.Subset)))
        Entries.back().Subset.push_back(int(R));
      for (Candidate &C : Entries.back().View)
        C.Capacity = Slots;
    }
  }

  Result run() {
    double MeanService = CachedPrefillSeconds + MeanTokens * SecondsPerToken;
    double Rate = S.Utilisation * ReplicaCount * Slots / MeanService;
    schedule(0, [this, Rate] { onArrival(Rate); });
    schedule(0, [this] { sendReports(); });
    if (S.HasStraggler) {
      schedule(30, [this] { Replicas[5].Slowness = SlowFactor; });
      schedule(90, [this] { Replicas[5].Slowness = 1; });
    }
    while (!Events.empty() && Events.top().At < RunSeconds) {
      Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
    return summarise();
  }

private:
  struct Event {
    double At;
    uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct Entry {
    AnyChooser Policy;
    std::vector<int> Subset;
    AffinityTable Affinity;
    std::vector<Candidate> View;
  };

  void schedule(double At, std::function<void()> Action) {
    Events.push({At, NextOrder++, std::move(Action)});
  }
  TimePoint time() const {
    return TimePoint(Duration(static_cast<int64_t>(Now * 1e6)));
  }

  /// Chooses a prefix with a Zipf distribution; low numbers are most frequent.
  uint64_t pickPrefix() {
    double U = std::uniform_real_distribution<double>(0, 1)(Rng);
    return static_cast<uint64_t>(std::pow(PrefixCount, U));
  }

  void onArrival(double Rate) {
    schedule(Now + std::exponential_distribution<double>(Rate)(Rng),
             [this, Rate] { onArrival(Rate); });
    int Id = int(Requests.size());
    RequestState R;
    R.Entry = int(Rng() % uint64_t(S.EntryCount));
    R.Prefix = pickPrefix();
    R.Arrival = Now;
    R.Tokens = 1 + std::exponential_distribution<double>(1 / MeanTokens)(Rng);
    Entry &E = Entries[size_t(R.Entry)];
    std::vector<Candidate> List;
    for (int Index : E.Subset) {
      Candidate C = E.View[size_t(Index)];
      C.Affinity =
          E.Affinity.likelihood(R.Prefix, "r" + std::to_string(Index), time());
      List.push_back(C);
    }
    RequestTraits Traits;
    Traits.PrefillSeconds = PrefillSeconds;
    R.Target = E.Subset[choose(E.Policy, List, Traits, Rng)];
    Candidate &View = E.View[size_t(R.Target)];
    ++View.Outstanding;
    ++View.SentSinceReport;
    E.Affinity.onSent(R.Prefix, "r" + std::to_string(R.Target), time());
    Requests.push_back(R);
    Replica &Target = Replicas[size_t(R.Target)];
    Target.Queue.push_back({Now, Id});
    startQueued(R.Target);
  }

  void startQueued(int Index) {
    Replica &R = Replicas[size_t(Index)];
    while (R.Active < Slots && !R.Queue.empty()) {
      int Id = R.Queue.front().second;
      R.Queue.pop_front();
      ++R.Active;
      const RequestState &Request = Requests[size_t(Id)];
      bool IsHit = R.touch(Request.Prefix);
      Hits += IsHit;
      ++Started;
      double Prefill = (IsHit ? CachedPrefillSeconds : PrefillSeconds);
      double First = Prefill * R.Slowness;
      FirstTokens.push_back(Now + First - Request.Arrival);
      double Service = First + Request.Tokens * SecondsPerToken * R.Slowness;
      schedule(Now + Service,
               [this, Index, Id, Service] { onFinish(Index, Id, Service); });
    }
  }

  void onFinish(int Index, int Id, double Service) {
    --Replicas[size_t(Index)].Active;
    Candidate &View =
        Entries[size_t(Requests[size_t(Id)].Entry)].View[size_t(Index)];
    --View.Outstanding;
    View.ServiceSeconds += 0.1 * (Service - View.ServiceSeconds);
    startQueued(Index);
  }

  /// Sends the current load of every replica, which reaches the entry nodes
  /// after the lag, and samples the spread of the load.
  void sendReports() {
    double Interval = std::max(0.1, S.LagSeconds / 2);
    schedule(Now + Interval, [this] { sendReports(); });
    for (int I = 0; I < ReplicaCount; ++I) {
      double Active = Replicas[size_t(I)].Active;
      double Queued = double(Replicas[size_t(I)].Queue.size());
      schedule(Now + S.LagSeconds, [this, I, Active, Queued] {
        for (Entry &E : Entries) {
          Candidate &C = E.View[size_t(I)];
          C.Active = Active;
          C.Queued = Queued;
          C.SentSinceReport = 0;
        }
      });
    }
    double Mean = 0;
    double Square = 0;
    for (const Replica &R : Replicas) {
      double Load = R.Active + double(R.Queue.size());
      Mean += Load / ReplicaCount;
      Square += Load * Load / ReplicaCount;
    }
    if (Mean > 0)
      LoadSpreads.push_back(std::sqrt(std::max(0.0, Square - Mean * Mean)) /
                            Mean);
  }

  Result summarise() {
    Result R;
    size_t GoodCount = 0;
    for (double First : FirstTokens)
      GoodCount += First <= FirstTokenBoundSeconds;
    R.Goodput = double(GoodCount) / double(Requests.size());
    std::sort(FirstTokens.begin(), FirstTokens.end());
    R.FirstP95 = FirstTokens[FirstTokens.size() * 95 / 100];
    R.FirstP99 = FirstTokens[FirstTokens.size() * 99 / 100];
    R.HitRate = double(Hits) / double(Started);
    for (double Sample : LoadSpreads)
      R.LoadSpread += Sample / double(LoadSpreads.size());
    return R;
  }

  const Scenario S;
  Random Rng;
  double Now = 0;
  uint64_t NextOrder = 0;
  std::priority_queue<Event> Events;
  std::vector<Replica> Replicas;
  std::vector<Entry> Entries;
  std::vector<RequestState> Requests;
  std::vector<double> FirstTokens;
  std::vector<double> LoadSpreads;
  size_t Hits = 0;
  size_t Started = 0;
};

struct NamedPolicy {
  std::string Name;
  AnyChooser Policy;
};

std::vector<NamedPolicy> allPolicies() {
  return {{"random", RandomChooser()},
          {"round robin", RoundRobinChooser()},
          {"least outstanding", LeastOutstandingChooser()},
          {"two random choices", TwoChoicesChooser()},
          {"expected wait", ExpectedWaitChooser()},
          {"prefix affinity", PrefixAffinityChooser()},
          {"backpressure with margin", BackpressureChooser()},
          {"own load and affinity", OwnLoadChooser()}};
}

void printTable(std::ostream &Out, const std::string &Title,
                const Scenario &S) {
  Out << "\n"
      << Title << "\n\n"
      << "| policy | first token p95 | p99 | within 1.2 s | cache hits | "
         "load spread |\n|---|---|---|---|---|---|\n";
  for (const NamedPolicy &P : allPolicies()) {
    Result R = Simulation(P.Policy, S, 1).run();
    Out << "| " << P.Name << " | " << formatFixed(R.FirstP95, 2) << " s | "
        << formatFixed(R.FirstP99, 2) << " s | "
        << formatFixed(100 * R.Goodput, 1) << "% | "
        << formatFixed(100 * R.HitRate, 1) << "% | "
        << formatFixed(R.LoadSpread, 2) << " |\n";
  }
}

} // namespace

void runRouting(std::ostream &Out, const std::string &PlotFolder) {
  Out << "\n64 replicas of 16 slots, 8 entry nodes, one replica four times "
         "slower from 30 s to 90 s of 120 s. Load spread: deviation of the "
         "replicas' loads over their mean.\n";
  Scenario Baseline;
  printTable(Out, "Reports lag 0.5 s, utilisation 0.75, subsets of 16",
             Baseline);
  Scenario LongLag = Baseline;
  LongLag.LagSeconds = 5;
  printTable(Out, "Reports lag 5 s", LongLag);
  Scenario HighLoad = Baseline;
  HighLoad.Utilisation = 0.9;
  printTable(Out, "Utilisation 0.9", HighLoad);
  Scenario ManyEntries = Baseline;
  ManyEntries.EntryCount = 64;
  printTable(Out, "64 entry nodes", ManyEntries);
  Scenario ManyEntriesLongLag = LongLag;
  ManyEntriesLongLag.EntryCount = 64;
  printTable(Out, "64 entry nodes, reports lag 5 s", ManyEntriesLongLag);
  Scenario SmallSubsets = Baseline;
  SmallSubsets.Subset = 8;
  printTable(Out, "Subsets of 8", SmallSubsets);
  Scenario LargeSubsets = Baseline;
  LargeSubsets.Subset = 32;
  printTable(Out, "Subsets of 32", LargeSubsets);
  std::vector<Series> Lines;
  for (const NamedPolicy &P : allPolicies()) {
    Series Line{P.Name, {}, {}};
    for (double Lag : {0.1, 0.5, 1.0, 2.0, 5.0}) {
      Scenario S = Baseline;
      S.LagSeconds = Lag;
      Line.X.push_back(Lag);
      Line.Y.push_back(Simulation(P.Policy, S, 1).run().FirstP95);
    }
    Lines.push_back(std::move(Line));
  }
  writePlot(PlotFolder + "/routing-lag.svg",
            "First token, 95th percentile, against the lag of reports",
            "lag of reports, s", "s", Lines);
}

} // namespace ragwort::experiments
