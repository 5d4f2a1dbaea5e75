//===- Choosers.cpp - Which backend server gets a request -----------------===//
#include "ragwort/routing/Choosers.h"
#include <algorithm>
#include <utility>

namespace ragwort::routing {

namespace {

/// Weight of a busy slot when no request waits anywhere: small against any
/// real wait, large enough to prefer the emptier server.
constexpr double UtilisationWeight = 0.05;
/// The same for estimates from own requests: large enough that a cached prefix
/// does not draw work to a server that is filling up.
constexpr double OwnLoadWeight = 0.5;
/// Below this a prefix counts as gone.
constexpr double LeastAffinity = 0.2;

size_t pick(size_t Size, Random &Rng) {
  return std::uniform_int_distribution<size_t>(0, Size - 1)(Rng);
}

/// Two different random indices; the same one twice in a list of one.
std::pair<size_t, size_t> pickTwo(size_t Size, Random &Rng) {
  size_t A = pick(Size, Rng);
  if (Size == 1)
    return {A, A};
  size_t B = pick(Size - 1, Rng);
  return {A, B >= A ? B + 1 : B};
}

/// Index of the smallest cost; the first of equals after a random rotation, so
/// that ties spread.
template <class Cost>
size_t smallest(std::span<const Candidate> List, Random &Rng, Cost CostOf) {
  size_t Start = pick(List.size(), Rng);
  size_t Best = Start;
  double BestCost = CostOf(List[Start]);
  for (size_t I = 1; I < List.size(); ++I) {
    size_t Index = (Start + I) % List.size();
    double Here = CostOf(List[Index]);
    if (Here < BestCost) {
      Best = Index;
      BestCost = Here;
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
  return pick(List.size(), Rng);
}

size_t RoundRobinChooser::choose(std::span<const Candidate> List,
                                 const RequestTraits &, Random &) {
  return Next++ % List.size();
}

size_t LeastOutstandingChooser::choose(std::span<const Candidate> List,
                                       const RequestTraits &, Random &Rng) {
  return smallest(List, Rng, [](const Candidate &C) { return C.Outstanding; });
}

size_t TwoChoicesChooser::choose(std::span<const Candidate> List,
                                 const RequestTraits &, Random &Rng) {
  auto [A, B] = pickTwo(List.size(), Rng);
  auto Load = [](const Candidate &C) {
    return (C.Active + C.Queued) / std::max(C.Capacity, 1.0);
  };
  return Load(List[B]) < Load(List[A]) ? B : A;
}

size_t ExpectedWaitChooser::choose(std::span<const Candidate> List,
                                   const RequestTraits &, Random &Rng) {
  auto [A, B] = pickTwo(List.size(), Rng);
  return expectedWait(List[B]) < expectedWait(List[A]) ? B : A;
}

size_t PrefixAffinityChooser::choose(std::span<const Candidate> List,
                                     const RequestTraits &Traits, Random &Rng) {
  auto Cost = [&](const Candidate &C) {
    return expectedWait(C) + (1 - C.Affinity) * Traits.PrefillSeconds;
  };
  auto [A, B] = pickTwo(List.size(), Rng);
  size_t Best = Cost(List[B]) < Cost(List[A]) ? B : A;
  for (size_t I = 0; I < List.size(); ++I)
    if (List[I].Affinity >= LeastAffinity && Cost(List[I]) < Cost(List[Best]))
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
  return smallest(List, Rng, [&](const Candidate &C) {
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
      smallest(List, Rng, [&](const Candidate &C) { return -Score(C); });
  if (Score(List[Best]) > Margin)
    return Best;
  return pick(List.size(), Rng);
}

size_t choose(AnyChooser &Any, std::span<const Candidate> List,
              const RequestTraits &Traits, Random &Rng) {
  return std::visit([&](auto &C) { return C.choose(List, Traits, Rng); }, Any);
}

} // namespace ragwort::routing
