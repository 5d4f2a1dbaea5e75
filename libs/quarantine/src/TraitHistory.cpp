//===- TraitHistory.cpp - What happened to requests with a trait ----------===//
#include "ragwort/quarantine/TraitHistory.h"
#include <utility>

namespace ragwort::quarantine {

TraitCounts &TraitHistory::entry(const Trait &T, TimePoint Now) {
  Generations &G = Kinds[static_cast<size_t>(T.Kind)];
  bool IsFull =
      G.Current.size() >= MaxGenerationTraits && !G.Current.contains(T.Key);
  if (IsFull || Now - G.CurrentSince >= GenerationTime) {
    G.Previous = std::exchange(G.Current, Generation());
    G.CurrentSince = Now;
  }
  return G.Current[T.Key];
}

void TraitHistory::addRequest(const RequestTraits &Traits, TimePoint Now) {
  for (const Trait &T : Traits.all())
    ++entry(T, Now).Requests;
}

void TraitHistory::addSurvival(const RequestTraits &Traits, TimePoint Now) {
  for (const Trait &T : Traits.all())
    ++entry(T, Now).Survivals;
}

TraitCounts TraitHistory::counts(const Trait &T) const {
  const Generations &Kind = Kinds[static_cast<size_t>(T.Kind)];
  TraitCounts Result;
  for (const Generation *G : {&Kind.Current, &Kind.Previous})
    if (auto Found = G->find(T.Key); Found != G->end()) {
      Result.Requests += Found->second.Requests;
      Result.Survivals += Found->second.Survivals;
    }
  return Result;
}

} // namespace ragwort::quarantine
