//===- AffinityTable.cpp - Where a prompt prefix is probably cached -------===//
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
  auto [Place, IsNew] = Entries.try_emplace(Key);
  Place->second = {std::string(BackendServer), Now};
  if (!IsNew)
    return;
  Order.push_back(Key);
  if (Order.size() > MaxEntries) {
    Entries.erase(Order.front());
    Order.pop_front();
  }
}

void AffinityTable::onEvicted(PrefixKey Key, std::string_view BackendServer) {
  auto Place = Entries.find(Key);
  if (Place != Entries.end() && Place->second.BackendServer == BackendServer)
    Place->second.LastUsed = TimePoint::min();
}

void AffinityTable::onRestart(std::string_view BackendServer) {
  for (auto &[Key, Belief] : Entries)
    if (Belief.BackendServer == BackendServer)
      Belief.LastUsed = TimePoint::min();
}

double AffinityTable::likelihood(PrefixKey Key, std::string_view BackendServer,
                                 TimePoint Now) const {
  auto Place = Entries.find(Key);
  if (Place == Entries.end() || Place->second.BackendServer != BackendServer ||
      Place->second.LastUsed == TimePoint::min())
    return 0;
  std::chrono::duration<double> Age = Now - Place->second.LastUsed;
  return std::exp2(-Age / std::chrono::duration<double>(HalfLife));
}

} // namespace ragwort::routing
