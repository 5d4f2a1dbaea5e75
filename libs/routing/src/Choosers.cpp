//===- Choosers.cpp - Load-balancing policies -----------------------------===//
#include "ragwort/routing/Choosers.h"
#include <algorithm>
#include <utility>

namespace ragwort::routing {

namespace {

/// Weight of utilisation in the expected wait. It decides between servers
/// without a queue in favour of the less utilised one, and is small compared to
/// the wait in a queue.
constexpr double UtilisationWeight = 0.05;
/// Weight of utilisation in OwnLoadChooser. It is higher, so that a cached
/// prefix does not attract requests to a server that is close to capacity.
constexpr double OwnLoadWeight = 0.5;
/// Lowest likelihood at which a prefix is treated as cached.
constexpr double MinAffinity = 0.2;

size_t randomIndex(size_t Size, Random &Rng) {
  return std::uniform_int_distribution<size_t>(0, Size - 1)(Rng);
}

/// Returns two different random indices, or 0 twice if \p Size is 1.
std::pair<size_t, size_t> twoRandomIndices(size_t Size, Random &Rng) {
  size_t A = randomIndex(Size, Rng);
  if (Size == 1)
    return {A, A};
  size_t B = randomIndex(Size - 1, Rng);
  return {A, B >= A ? B + 1 : B};
}

/// Returns the index of the candidate with the lowest cost. The scan starts at
/// a random index, so that ties are broken at random.
template <class Cost>
size_t lowestCostIndex(std::span<const Candidate> List, Random &Rng,
                       Cost CostOf) {
  size_t Start = randomIndex(List.size(), Rng);
  size_t Best = Start;
  double BestCost = CostOf(List[Start]);
  for (size_t I = 1; I < List.size(); ++I) {
    size_t Index = (Start + I) % List.size();
    double IndexCost = CostOf(List[Index]);
    if (IndexCost < BestCost) {
      Best = Index;
      BestCost = IndexCost;
    }
  }
  return Best;
}

double backlogPerSlot(const Candidate &C) {
  return (C.Active + C.Queued + C.SentSinceReport) / std::max(C.Capacity, 1.0);
}

} // namespace

double expectedWait(const Candidate &C) {
  double Slots = std::max(C.Capacity, 1.0);
  double Ahead = C.Active + C.Queued + C.SentSinceReport;
  double Waiting = std::max(0.0, Ahead + 1 - Slots);
  double Wait = Waiting * C.ServiceSeconds / Slots;
  return Wait + UtilisationWeight * C.ServiceSeconds * Ahead / Slots;
}

size_t RandomChooser::choose(std::span<const Candidate> List,
                             const RequestTraits &, Random &Rng) {
  return randomIndex(List.size(), Rng);
}

size_t RoundRobinChooser::choose(std::span<const Candidate> List,
                                 const RequestTraits &, Random &) {
  return Next++ % List.size();
}

size_t LeastOutstandingChooser::choose(std::span<const Candidate> List,
                                       const RequestTraits &, Random &Rng) {
  return lowestCostIndex(List, Rng,
                         [](const Candidate &C) { return C.Outstanding; });
}

size_t TwoChoicesChooser::choose(std::span<const Candidate> List,
                                 const RequestTraits &, Random &Rng) {
  auto [A, B] = twoRandomIndices(List.size(), Rng);
  auto Load = [](const Candidate &C) {
    return (C.Active + C.Queued) / std::max(C.Capacity, 1.0);
  };
  return Load(List[B]) < Load(List[A]) ? B : A;
}

size_t ExpectedWaitChooser::choose(std::span<const Candidate> List,
                                   const RequestTraits &, Random &Rng) {
  auto [A, B] = twoRandomIndices(List.size(), Rng);
  return expectedWait(List[B]) < expectedWait(List[A]) ? B : A;
}

size_t PrefixAffinityChooser::choose(std::span<const Candidate> List,
                                     const RequestTraits &Traits, Random &Rng) {
  auto Cost = [&](const Candidate &C) {
    return expectedWait(C) + (1 - C.Affinity) * Traits.PrefillSeconds;
  };
  auto [A, B] = twoRandomIndices(List.size(), Rng);
  size_t Best = Cost(List[B]) < Cost(List[A]) ? B : A;
  for (size_t I = 0; I < List.size(); ++I)
    if (List[I].Affinity >= MinAffinity && Cost(List[I]) < Cost(List[Best]))
      Best = I;
  return Best;
}

size_t OwnLoadChooser::choose(std::span<const Candidate> List,
                              const RequestTraits &Traits, Random &Rng) {
  double Reported = 0;
  double Own = 0;
  for (const Candidate &C : List) {
    Reported += C.Active + C.Queued;
    Own += C.Outstanding;
  }
  double Scale = Own > 0 ? std::max(1.0, Reported / Own) : 1;
  return lowestCostIndex(List, Rng, [&](const Candidate &C) {
    double Slots = std::max(C.Capacity, 1.0);
    double Ahead = Scale * C.Outstanding;
    double Wait = std::max(0.0, Ahead + 1 - Slots) * C.ServiceSeconds / Slots;
    return Wait + OwnLoadWeight * C.ServiceSeconds * Ahead / Slots +
           (1 - C.Affinity) * Traits.PrefillSeconds;
  });
}

size_t BackpressureChooser::choose(std::span<const Candidate> List,
                                   const RequestTraits &, Random &Rng) {
  double MeanBacklog = 0;
  double MeanSuccess = 0;
  for (const Candidate &C : List) {
    MeanBacklog += backlogPerSlot(C) / static_cast<double>(List.size());
    MeanSuccess += C.SuccessRate / static_cast<double>(List.size());
  }
  auto Score = [&](const Candidate &C) {
    return (MeanBacklog - backlogPerSlot(C)) +
           QualityWeight * (C.SuccessRate - MeanSuccess);
  };
  size_t Best =
      lowestCostIndex(List, Rng, [&](const Candidate &C) { return -Score(C); });
  if (Score(List[Best]) > Margin)
    return Best;
  return randomIndex(List.size(), Rng);
}

size_t choose(AnyChooser &Any, std::span<const Candidate> List,
              const RequestTraits &Traits, Random &Rng) {
  return std::visit([&](auto &C) { return C.choose(List, Traits, Rng); }, Any);
}

} // namespace ragwort::routing
