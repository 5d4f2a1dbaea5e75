//===- SelfReports.cpp - What backend servers said of themselves ----------===//
#include "ragwort/dispatch/SelfReports.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace ragwort::dispatch {

SelfReports::Report *SelfReports::reportOf(const ServerRun &Run,
                                           TimePoint Now) {
  auto Found = Reports.find(Run.InstanceKey);
  if (Found == Reports.end()) {
    if (Reports.size() >= MaxRuns)
      dropOldest();
    Found = Reports.emplace(Run.InstanceKey, Report()).first;
    Found->second.BornMillis = Run.BornMillis;
  }
  Report &R = Found->second;
  if (Run.BornMillis < R.BornMillis)
    return nullptr;
  if (Run.BornMillis > R.BornMillis) {
    R = Report();
    R.BornMillis = Run.BornMillis;
  }
  R.ReportedAt = Now;
  return &R;
}

void SelfReports::dropOldest() {
  auto Oldest = std::min_element(
      Reports.begin(), Reports.end(), [](const auto &A, const auto &B) {
        return A.second.ReportedAt < B.second.ReportedAt;
      });
  logEvent(LogLevel::Warning, "self-report-dropped",
           {{"reports", Reports.size()},
            {"leaving", int(Oldest->second.IsLeaving)}});
  Reports.erase(Oldest);
}

const SelfReports::Report *SelfReports::find(const ServerRun &Run) const {
  auto Found = Reports.find(Run.InstanceKey);
  return Found != Reports.end() && Found->second.BornMillis == Run.BornMillis
             ? &Found->second
             : nullptr;
}

bool SelfReports::setLeaving(const ServerRun &Run, TimePoint Now, bool IsOwn) {
  Report *R = reportOf(Run, Now);
  if (!R)
    return false;
  if (IsOwn && R->ForwardUntil == TimePoint())
    R->ForwardUntil = Now + ForwardTime;
  return !std::exchange(R->IsLeaving, true);
}

void SelfReports::setPaused(const ServerRun &Run, TimePoint Until,
                            TimePoint Now) {
  if (Report *R = reportOf(Run, Now))
    R->PausedUntil = std::max(R->PausedUntil, Until);
}

bool SelfReports::isLeaving(const ServerRun &Run) const {
  const Report *R = find(Run);
  return R && R->IsLeaving;
}

TimePoint SelfReports::pausedUntil(const ServerRun &Run) const {
  const Report *R = find(Run);
  return R ? R->PausedUntil : TimePoint();
}

std::vector<ServerRun> SelfReports::toForward(TimePoint Now) const {
  std::vector<ServerRun> Result;
  for (const auto &[Key, R] : Reports)
    if (R.IsLeaving && Now < R.ForwardUntil)
      Result.push_back({Key, R.BornMillis});
  return Result;
}

std::optional<double> parseDecimal(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || !std::isfinite(Value) ||
      std::signbit(Value))
    return std::nullopt;
  return Value;
}

std::optional<Duration> parsePause(std::string_view Seconds) {
  std::optional<double> Value = parseDecimal(Seconds);
  if (!Value)
    return std::nullopt;
  using FractionalSeconds = std::chrono::duration<double>;
  if (*Value >= FractionalSeconds(MaxPause).count())
    return MaxPause;
  return std::chrono::duration_cast<Duration>(FractionalSeconds(*Value));
}

} // namespace ragwort::dispatch
