//===- PartHistory.cpp - What happened to requests with a part ------------===//
#include "ragwort/gateway/PartHistory.h"
#include <utility>

namespace ragwort::gateway {

PartCounts &PartHistory::entry(PartKey Part, TimePoint Now) {
  bool IsFull = Current.size() >= MaxGenerationParts && !Current.contains(Part);
  if (IsFull || Now - CurrentSince >= GenerationTime) {
    Previous = std::exchange(Current, Generation());
    CurrentSince = Now;
  }
  return Current[Part];
}

void PartHistory::addRequest(PartKeys Parts, TimePoint Now) {
  for (PartKey Part : Parts)
    ++entry(Part, Now).Requests;
}

void PartHistory::addSurvival(PartKeys Parts, TimePoint Now) {
  for (PartKey Part : Parts)
    ++entry(Part, Now).Survivals;
}

PartCounts PartHistory::counts(PartKey Part) const {
  PartCounts Result;
  for (const Generation *G : {&Current, &Previous})
    if (auto Found = G->find(Part); Found != G->end()) {
      Result.Requests += Found->second.Requests;
      Result.Survivals += Found->second.Survivals;
    }
  return Result;
}

} // namespace ragwort::gateway
