//===- ServerSpeed.cpp - How fast a server has been lately ----------------===//
#include "ragwort/dispatch/ServerSpeed.h"
#include <algorithm>
#include <vector>

namespace ragwort::dispatch {

namespace {

// A pause between events enters the moving average as at most this multiple of
// the average.
constexpr double MaxGapGrowth = 2.0;
// The usual time of a service is the lower quartile (the value at 1/4 of the
// sorted times), since a whole group of its servers can be slow at once.
constexpr size_t UsualTimeDivisor = 4;

double inMillis(Duration Length) {
  return static_cast<double>(Length.count()) / 1000.0;
}

double average(double Before, double Newest) {
  return (1 - AverageWeight) * Before + AverageWeight * Newest;
}

double lowerQuartile(std::vector<double> &Values) {
  if (Values.empty())
    return 0.0;
  auto At =
      Values.begin() + static_cast<ptrdiff_t>(Values.size() / UsualTimeDivisor);
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

} // namespace

void ServerSpeed::addLatency(Duration Latency) {
  double Millis = inMillis(Latency);
  LatencyMillis = LatencyMillis == 0 ? Millis : average(LatencyMillis, Millis);
}

void ServerSpeed::addGap(Duration Gap, TimePoint Now) {
  double Millis = inMillis(Gap);
  // A single long pause, for example while a group waits for a slow rank, must
  // not shift load to the other servers; several long pauses do.
  if (double Before = ownGapMillis(Now); Before > 0)
    Millis = average(Before, std::min(Millis, MaxGapGrowth * Before));
  OwnGapMillis = Millis;
  GapSeenAt = Now;
}

void ServerSpeed::clearPeerGaps() {
  PeerGapMillis = 0;
  PeerRequests = 0;
}

void ServerSpeed::addPeerGap(uint32_t GapMillis, uint32_t Requests) {
  if (GapMillis == 0 || Requests == 0)
    return;
  PeerRequests += Requests;
  PeerGapMillis += (GapMillis - PeerGapMillis) * Requests / PeerRequests;
}

double ServerSpeed::ownGapMillis(TimePoint Now) const {
  return Now - GapSeenAt <= GapLifetime ? OwnGapMillis : 0;
}

double ServerSpeed::gapMillis(TimePoint Now) const {
  return std::max(ownGapMillis(Now), PeerGapMillis);
}

double ServerSpeed::slowness(const UsualTimes &Usual, TimePoint Now) const {
  double Gap = gapMillis(Now);
  double Factor = 1;
  if (Gap > 0 && Usual.GapMillis > 0)
    Factor = Gap / Usual.GapMillis;
  else if (LatencyMillis > 0 && Usual.LatencyMillis > 0)
    Factor = LatencyMillis / Usual.LatencyMillis;
  return std::clamp(Factor, 1.0, MaxSlowness);
}

UsualTimes usualTimes(std::span<const ServerSpeed *const> Speeds,
                      TimePoint Now) {
  std::vector<double> Latencies;
  std::vector<double> Gaps;
  for (const ServerSpeed *Speed : Speeds) {
    if (Speed->latencyMillis() > 0)
      Latencies.push_back(Speed->latencyMillis());
    if (double Gap = Speed->gapMillis(Now); Gap > 0)
      Gaps.push_back(Gap);
  }
  return {lowerQuartile(Latencies), lowerQuartile(Gaps)};
}

} // namespace ragwort::dispatch
