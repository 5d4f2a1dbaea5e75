//===- TraitHistory.cpp - What happened to requests with a part
//------------===//
#include "ragwort/quarantine/TraitHistory.h"
#include <utility>

namespace ragwort::quarantine {

TraitCounts &TraitHistory::entry(PartKey Part, TimePoint Now) {
  bool IsFull = Current.size() >= MaxGenerationParts && !Current.contains(Part);
  if (IsFull || Now - CurrentSince >= GenerationTime) {
    Previous = std::exchange(Current, Generation());
    CurrentSince = Now;
  }
  return Current[Part];
}

void TraitHistory::addRequest(PartKeys Parts, TimePoint Now) {
  for (PartKey Part : Parts)
    ++entry(Part, Now).Requests;
}

void TraitHistory::addSurvival(PartKeys Parts, TimePoint Now) {
  for (PartKey Part : Parts)
    ++entry(Part, Now).Survivals;
}

TraitCounts TraitHistory::counts(PartKey Part) const {
  TraitCounts Result;
  for (const Generation *G : {&Current, &Previous})
    if (auto Found = G->find(Part); Found != G->end()) {
      Result.Requests += Found->second.Requests;
      Result.Survivals += Found->second.Survivals;
    }
  return Result;
}

} // namespace ragwort::quarantine
