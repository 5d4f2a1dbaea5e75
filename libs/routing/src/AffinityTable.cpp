//===- AffinityTable.cpp - Estimates where a prompt prefix is cached ------===//
#include "ragwort/routing/AffinityTable.h"
#include "ragwort/base/Hash.h"
#include <cmath>

namespace ragwort::routing {

namespace {

constexpr size_t PrefixBytes = 256;

} // namespace

PrefixKey prefixKey(std::string_view Organisation, std::string_view Prompt) {
  return hash64(Prompt.substr(0, PrefixBytes), hash64(Organisation));
}

AffinityTable::AffinityTable(Duration HalfLife, size_t MaxEntries)
    : HalfLife(HalfLife), MaxEntries(MaxEntries) {}

void AffinityTable::onSent(PrefixKey Key, std::string_view BackendServer,
                           TimePoint Now) {
  auto [It, IsNew] = Entries.try_emplace(Key);
  It->second = {std::string(BackendServer), Now};
  if (!IsNew)
    return;
  InsertionOrder.push_back(Key);
  if (InsertionOrder.size() > MaxEntries) {
    Entries.erase(InsertionOrder.front());
    InsertionOrder.pop_front();
  }
}

void AffinityTable::onEvicted(PrefixKey Key, std::string_view BackendServer) {
  auto It = Entries.find(Key);
  if (It != Entries.end() && It->second.BackendServer == BackendServer)
    It->second.LastUsed = TimePoint::min();
}

void AffinityTable::onRestart(std::string_view BackendServer) {
  for (auto &[Key, Cached] : Entries)
    if (Cached.BackendServer == BackendServer)
      Cached.LastUsed = TimePoint::min();
}

double AffinityTable::likelihood(PrefixKey Key, std::string_view BackendServer,
                                 TimePoint Now) const {
  auto It = Entries.find(Key);
  if (It == Entries.end() || It->second.BackendServer != BackendServer ||
      It->second.LastUsed == TimePoint::min())
    return 0;
  std::chrono::duration<double> Age = Now - It->second.LastUsed;
  return std::exp2(-Age / std::chrono::duration<double>(HalfLife));
}

} // namespace ragwort::routing
