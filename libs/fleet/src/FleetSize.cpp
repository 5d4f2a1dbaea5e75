//===- FleetSize.cpp - Number of nodes that share an allowance ------------===//
#include "ragwort/fleet/FleetSize.h"
#include <algorithm>

namespace ragwort::fleet {

void FleetSize::onNamed(std::string_view Peer, TimePoint Now) {
  if (!CountsUntil.contains(Peer))
    CountsUntil.emplace(Peer, Now + SilentAfter);
}

void FleetSize::onHeard(std::string_view Peer, TimePoint Now) {
  auto Found = CountsUntil.find(Peer);
  if (Found == CountsUntil.end())
    CountsUntil.emplace(Peer, Now + SilentAfter);
  else
    Found->second = Now + SilentAfter;
}

void FleetSize::onLeaving(std::string_view Peer, TimePoint Now) {
  auto Found = CountsUntil.find(Peer);
  if (Found != CountsUntil.end())
    Found->second = std::min(Found->second, Now + Window);
}

std::optional<size_t> FleetSize::nodes(TimePoint Now) {
  auto Silent = static_cast<size_t>(
      std::count_if(CountsUntil.begin(), CountsUntil.end(),
                    [Now](const auto &Item) { return Now >= Item.second; }));
  size_t Known = CountsUntil.size() + 1;
  size_t Heard = Known - Silent;
  if (Silent > 0 && 2 * Heard > Known) {
    std::erase_if(CountsUntil,
                  [Now](const auto &Item) { return Now >= Item.second; });
    Known = Heard;
  }
  if (Now < KnownFrom)
    return std::nullopt;
  return Known;
}

} // namespace ragwort::fleet
