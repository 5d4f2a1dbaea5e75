//===- WorkRate.cpp - Work a second over the last two seconds -------------===//
#include "ragwort/dispatch/WorkRate.h"
#include <algorithm>

namespace ragwort::dispatch {

namespace {

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

void WorkRate::record(double Work, TimePoint Now) {
  Parts.push_back({Now, Work});
  Sum += Work;
}

std::optional<double> WorkRate::perSecond(TimePoint Now) {
  while (!Parts.empty() && Now - Parts.front().At > Window) {
    Sum -= Parts.front().Work;
    Parts.pop_front();
  }
  if (Parts.empty()) {
    Sum = 0; // Ends the accumulation of rounding errors.
    return std::nullopt;
  }
  double OverWindow = Sum / seconds(Window);
  // Work that began within the window, for example after an outage, is not
  // spread over time before it.
  double Since = seconds(Now - Parts.front().At);
  double SinceFirst = Since > 0 ? (Sum - Parts.front().Work) / Since : 0;
  return std::max(OverWindow, SinceFirst);
}

} // namespace ragwort::dispatch
