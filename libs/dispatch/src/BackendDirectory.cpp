//===- BackendDirectory.cpp - The known backend servers -------------------===//
#include "ragwort/dispatch/BackendDirectory.h"
#include <algorithm>
#include <set>

namespace ragwort::dispatch {

void BackendDirectory::remove(std::string_view Id) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  std::string Key(Id);
  if (!RemovedRuns.contains(Key))
    RemovedOrder.push_back(Key);
  RemovedRuns[Key] = Found->second.BornMillis;
  if (RemovedOrder.size() > MaxRemembered) {
    RemovedRuns.erase(RemovedOrder.front());
    RemovedOrder.pop_front();
  }
  Entries.erase(Found);
}

bool BackendDirectory::wasRemoved(const BackendInstance &B) const {
  auto Found = RemovedRuns.find(B.Id);
  return Found != RemovedRuns.end() && Found->second == B.BornMillis &&
         !Entries.contains(B.Id);
}

bool BackendDirectory::replaceAll(std::vector<BackendInstance> Listed,
                                  StoreVersion NewVersion,
                                  std::optional<TimePoint> GraceUntil,
                                  const IdSet &UnusableIds) {
  if (NewVersion < Version)
    return false;
  bool IsRestored =
      isKnown() && NewVersion.Era > Version.Era && GraceUntil.has_value();
  Version = NewVersion;
  Doubted.clear();
  std::set<std::string, std::less<>> Present;
  for (BackendInstance &B : Listed) {
    if (IsRestored && wasRemoved(B)) {
      std::string Id = B.Id;
      Doubted.insert_or_assign(
          std::move(Id),
          DoubtedEntry{std::move(B), *GraceUntil + RestoredEntryDoubt});
      continue;
    }
    Present.insert(B.Id);
    DropAt.erase(B.Id);
    auto Known = Entries.find(B.Id);
    if (IsRestored && Known != Entries.end() &&
        Known->second.BornMillis == B.BornMillis)
      B.IsDraining |= Known->second.IsDraining;
    std::string Id = B.Id;
    Entries.insert_or_assign(std::move(Id), std::move(B));
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Entry] : Entries)
    if (!Present.contains(Id) && !UnusableIds.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing) {
    if (GraceUntil) {
      DropAt.try_emplace(Id, *GraceUntil);
    } else {
      DropAt.erase(Id);
      remove(Id);
    }
  }
  return true;
}

void BackendDirectory::apply(std::vector<DirectoryChange> Changes,
                             StoreVersion NewVersion,
                             std::optional<TimePoint> GraceUntil) {
  if (NewVersion < Version)
    return;
  Version = NewVersion;
  for (DirectoryChange &Change : Changes) {
    Doubted.erase(Change.Id);
    if (!Change.Entry && GraceUntil) {
      if (Entries.contains(Change.Id))
        DropAt.try_emplace(Change.Id, *GraceUntil);
      continue;
    }
    DropAt.erase(Change.Id);
    if (Change.Entry)
      Entries.insert_or_assign(Change.Id, std::move(*Change.Entry));
    else
      remove(Change.Id);
  }
}

size_t BackendDirectory::expire(TimePoint Now) {
  size_t Changed = 0;
  for (auto It = DropAt.begin(); It != DropAt.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    remove(It->first);
    It = DropAt.erase(It);
    ++Changed;
  }
  for (auto It = Doubted.begin(); It != Doubted.end();) {
    if (Now < It->second.AddAt) {
      ++It;
      continue;
    }
    Entries.insert_or_assign(It->first, std::move(It->second.Entry));
    It = Doubted.erase(It);
    ++Changed;
  }
  return Changed;
}

std::vector<BackendInstance> BackendDirectory::snapshot() const {
  std::vector<BackendInstance> Result;
  for (const auto &[Id, Entry] : Entries)
    if (!DropAt.count(Id))
      Result.push_back(Entry);
  return Result;
}

} // namespace ragwort::dispatch
