//===- GapWindow.cpp - The longest usual gaps between stream events -------===//
#include "ragwort/dispatch/GapWindow.h"
#include <algorithm>
#include <vector>

namespace ragwort::dispatch {

namespace {

constexpr size_t LongPercent = 98;

} // namespace

void GapWindow::add(Duration Gap, TimePoint Now) {
  if (Samples.size() >= MaxSamples)
    Samples.pop_front();
  Samples.push_back({Now, Gap});
}

double GapWindow::longMillis(TimePoint Now) {
  while (!Samples.empty() && Now - Samples.front().At > Window)
    Samples.pop_front();
  if (Samples.size() < MinSamples)
    return 0;
  std::vector<Duration> Gaps;
  Gaps.reserve(Samples.size());
  for (const Sample &S : Samples)
    Gaps.push_back(S.Gap);
  auto At =
      Gaps.begin() + static_cast<ptrdiff_t>(Gaps.size() * LongPercent / 100);
  std::nth_element(Gaps.begin(), At, Gaps.end());
  return std::chrono::duration<double, std::milli>(*At).count();
}

} // namespace ragwort::dispatch
