//===- KnownMaps.cpp - Expert maps sent as differences --------------------===//
#include "ragwort/rankgroup/KnownMaps.h"
#include "ragwort/base/Hash.h"
#include "ragwort/rankgroup/SetPlanner.h"
#include <algorithm>
#include <iterator>

namespace ragwort::rankgroup {

namespace {

std::vector<ExpertId> sorted(std::vector<ExpertId> List) {
  std::sort(List.begin(), List.end());
  return List;
}

/// The sorted experts of a rank; empty if the map has no such rank.
std::vector<ExpertId> listAt(const ExpertMap &Map, size_t Set, size_t Rank) {
  if (Set >= Map.At.size() || Rank >= Map.At[Set].size())
    return {};
  return sorted(Map.At[Set][Rank]);
}

size_t ranksAt(const ExpertMap &Map, size_t Set) {
  return Set < Map.At.size() ? Map.At[Set].size() : 0;
}

void appendNumber(std::string &Bytes, size_t Number) {
  Bytes += std::to_string(Number);
  Bytes += ' ';
}

} // namespace

ExpertMap differenceOf(const ExpertMap &A, const ExpertMap &B) {
  ExpertMap Result;
  Result.At.resize(std::max(A.At.size(), B.At.size()));
  for (size_t Set = 0; Set < Result.At.size(); ++Set) {
    Result.At[Set].resize(std::max(ranksAt(A, Set), ranksAt(B, Set)));
    for (size_t Rank = 0; Rank < Result.At[Set].size(); ++Rank) {
      std::vector<ExpertId> InA = listAt(A, Set, Rank);
      std::vector<ExpertId> InB = listAt(B, Set, Rank);
      std::set_symmetric_difference(InA.begin(), InA.end(), InB.begin(),
                                    InB.end(),
                                    std::back_inserter(Result.At[Set][Rank]));
    }
  }
  return Result;
}

uint64_t digestOf(const ExpertMap &Map) {
  std::string Bytes;
  for (const auto &Set : Map.At) {
    appendNumber(Bytes, Set.size());
    for (const auto &Rank : Set) {
      appendNumber(Bytes, Rank.size());
      for (ExpertId E : sorted(Rank))
        appendNumber(Bytes, E);
    }
  }
  return hash64(Bytes);
}

void KnownMaps::setInitialMap(uint32_t Sets, uint32_t Experts, uint32_t Ranks) {
  if (Ranks > 0)
    InitialMap.At.assign(Sets, roundRobinMap(Experts, Ranks));
}

void KnownMaps::add(uint64_t Version, ExpertMap Map) {
  Maps.insert_or_assign(Version, std::move(Map));
  if (Maps.size() > MaxMaps)
    Maps.erase(Maps.begin());
}

std::optional<ExpertMap> KnownMaps::resolve(const MapReference &From,
                                            const ExpertMap &Difference) const {
  auto Found = Maps.find(From.BaseVersion);
  if (Found == Maps.end() && From.BaseVersion != 0)
    return std::nullopt;
  ExpertMap Result = differenceOf(
      From.BaseVersion == 0 ? InitialMap : Found->second, Difference);
  if (digestOf(Result) != From.TargetDigest)
    return std::nullopt;
  return Result;
}

} // namespace ragwort::rankgroup
