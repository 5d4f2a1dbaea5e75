//===- MemoryBudget.cpp - What a node holds for others, and its bound -----===//
#include "ragwort/dispatch/MemoryBudget.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <utility>

namespace ragwort::dispatch {

namespace {

// Parts of the budget, in tenths, at which the levels Tight, Full and Exhausted
// begin.
constexpr std::array<size_t, 3> LevelBegins = {5, 8, 10};
// A level ends this many tenths of the budget below where it begins.
constexpr size_t LevelMargin = 1;
constexpr size_t Tenths = 10;

constexpr size_t UsualUnreadLimit = 256 * KiB;
constexpr size_t TightUnreadLimit = 16 * KiB;

} // namespace

std::string_view toString(Held Value) {
  switch (Value) {
  case Held::CallerRequests:
    return "caller-requests";
  case Held::CallerAnswers:
    return "caller-answers";
  case Held::Servers:
    return "servers";
  }
  return "invalid";
}

std::string_view toString(MemoryLevel Value) {
  switch (Value) {
  case MemoryLevel::Normal:
    return "normal";
  case MemoryLevel::Tight:
    return "tight";
  case MemoryLevel::Full:
    return "full";
  case MemoryLevel::Exhausted:
    return "exhausted";
  }
  return "invalid";
}

bool MemoryBudget::admits(size_t Bytes) const {
  if (Budget == 0)
    return true;
  constexpr auto Full = static_cast<size_t>(MemoryLevel::Full);
  return Level < MemoryLevel::Full &&
         (Total + Bytes) * Tenths < Budget * LevelBegins[Full - 1];
}

size_t MemoryBudget::unreadLimit() const {
  return Level == MemoryLevel::Normal ? UsualUnreadLimit : TightUnreadLimit;
}

void MemoryBudget::change(Held Kind, size_t Before, size_t After) {
  ByKind[static_cast<size_t>(Kind)] += After - Before;
  Total += After - Before;
  Peak = std::max(Peak, Total);
  if (Budget > 0)
    updateLevel();
}

void MemoryBudget::updateLevel() {
  size_t New = 0;
  for (size_t I = 0; I < LevelBegins.size(); ++I) {
    bool IsEntered = static_cast<size_t>(Level) > I;
    size_t From = LevelBegins[I] - (IsEntered ? LevelMargin : 0);
    if (Total * Tenths >= Budget * From)
      New = I + 1;
  }
  auto NewLevel = static_cast<MemoryLevel>(New);
  if (NewLevel == Level)
    return;
  MemoryLevel Before = std::exchange(Level, NewLevel);
  logEvent(Level > Before ? LogLevel::Warning : LogLevel::Info, "memory-level",
           {{"level", toString(Level)},
            {"before", toString(Before)},
            {"budget", Budget},
            {"caller_requests", held(Held::CallerRequests)},
            {"caller_answers", held(Held::CallerAnswers)},
            {"servers", held(Held::Servers)}});
}

MemoryCharge::MemoryCharge(MemoryCharge &&Other) noexcept
    : Budget(std::move(Other.Budget)), Kind(Other.Kind),
      Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&Other) noexcept {
  if (this == &Other)
    return *this;
  set(0);
  Budget = std::move(Other.Budget);
  Kind = Other.Kind;
  Bytes = std::exchange(Other.Bytes, 0);
  return *this;
}

void MemoryCharge::set(size_t NewBytes) {
  if (Budget && NewBytes != Bytes)
    Budget->change(Kind, Bytes, NewBytes);
  Bytes = Budget ? NewBytes : 0;
}

} // namespace ragwort::dispatch
