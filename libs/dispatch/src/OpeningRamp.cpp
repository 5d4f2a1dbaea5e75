//===- OpeningRamp.cpp - Lets waiting requests into a group that opens ----===//
#include "ragwort/dispatch/OpeningRamp.h"
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <cmath>

namespace ragwort::dispatch {

// With first turns spread evenly between 0 and 1, the fleet's sends begin at
// the rate that they keep.
OpeningRamp::OpeningRamp(uint64_t Seed)
    : FirstTurns(std::ldexp(
          static_cast<double>(
              hash64({reinterpret_cast<const char *>(&Seed), sizeof(Seed)})),
          -64)) {}

void OpeningRamp::onClosed() {
  IsClosed = true;
  Began.reset();
}

bool OpeningRamp::onAvailable(uint32_t Slots, size_t Nodes, TimePoint Now) {
  if (IsClosed) {
    IsClosed = false;
    Began = Now;
    CountedUntil = Now;
    // A single node has no others to leave room for.
    Turns = Nodes > 1 ? FirstTurns : 1;
    return true;
  }
  if (!Began)
    return false;
  if (Now - *Began >= Length) {
    Began.reset();
    return false;
  }
  constexpr double MaxTurns = 1.999;
  double Part = std::chrono::duration<double>(Now - CountedUntil) /
                std::chrono::duration<double>(Length);
  double OwnSlots = Slots / static_cast<double>(std::max<size_t>(Nodes, 1));
  Turns = std::min(MaxTurns, Turns + Part * OwnSlots);
  CountedUntil = Now;
  return false;
}

void OpeningRamp::onSent() {
  if (Began)
    Turns = std::max(0.0, Turns - 1);
}

} // namespace ragwort::dispatch
