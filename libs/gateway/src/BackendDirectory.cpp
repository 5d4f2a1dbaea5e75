//===- BackendDirectory.cpp - The known backend servers -------------------===//
#include "ragwort/gateway/BackendDirectory.h"
#include <set>

namespace ragwort::gateway {

bool BackendDirectory::replaceAll(std::vector<BackendInstance> Listed,
                                  uint64_t NewVersion,
                                  std::optional<TimePoint> GraceUntil) {
  if (NewVersion < Version)
    return false;
  Version = NewVersion;
  std::set<std::string, std::less<>> Present;
  for (BackendInstance &B : Listed) {
    Present.insert(B.Id);
    DropAt.erase(B.Id);
    std::string Id = B.Id;
    Entries.insert_or_assign(std::move(Id), std::move(B));
  }
  for (auto It = Entries.begin(); It != Entries.end();) {
    if (Present.count(It->first)) {
      ++It;
    } else if (GraceUntil) {
      DropAt.try_emplace(It->first, *GraceUntil);
      ++It;
    } else {
      DropAt.erase(It->first);
      It = Entries.erase(It);
    }
  }
  return true;
}

void BackendDirectory::apply(std::vector<DirectoryChange> Changes,
                             uint64_t NewVersion,
                             std::optional<TimePoint> GraceUntil) {
  if (NewVersion < Version)
    return;
  Version = NewVersion;
  for (DirectoryChange &Change : Changes) {
    if (!Change.Entry && GraceUntil) {
      if (Entries.count(Change.Id))
        DropAt.try_emplace(Change.Id, *GraceUntil);
      continue;
    }
    DropAt.erase(Change.Id);
    if (Change.Entry)
      Entries.insert_or_assign(Change.Id, std::move(*Change.Entry));
    else
      Entries.erase(Change.Id);
  }
}

size_t BackendDirectory::expire(TimePoint Now) {
  size_t Dropped = 0;
  for (auto It = DropAt.begin(); It != DropAt.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    Entries.erase(It->first);
    It = DropAt.erase(It);
    ++Dropped;
  }
  return Dropped;
}

std::vector<BackendInstance> BackendDirectory::snapshot() const {
  std::vector<BackendInstance> Result;
  for (const auto &[Id, Entry] : Entries)
    if (!DropAt.count(Id))
      Result.push_back(Entry);
  return Result;
}

} // namespace ragwort::gateway
