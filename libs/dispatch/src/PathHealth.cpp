//===- PathHealth.cpp - A node's paths to the data centres ----------------===//
#include "ragwort/dispatch/PathHealth.h"
#include "ragwort/observe/Log.h"
#include <algorithm>

namespace ragwort::dispatch {

std::string_view toString(PathState Value) {
  switch (Value) {
  case PathState::Good:
    return "good";
  case PathState::Doubtful:
    return "doubtful";
  case PathState::Lost:
    return "lost";
  }
  return "invalid";
}

std::vector<std::string> PathHealth::onReached(std::string_view DataCentre,
                                               TimePoint Begun, TimePoint Now) {
  auto Found = Paths.find(DataCentre);
  // Only the paths on which something was silent are kept.
  if (Found == Paths.end())
    return {};
  Path &P = Found->second;
  P.ReachedBegun = std::max(P.ReachedBegun, Begun);
  PathState Before = P.State;
  std::vector<std::string> Explained;
  for (auto It = P.Silent.begin(); It != P.Silent.end();) {
    if (It->second.Begun > P.ReachedBegun) {
      ++It;
      continue;
    }
    Explained.push_back(It->first);
    It = P.Silent.erase(It);
  }
  update(DataCentre, P, Now);
  if (Before != PathState::Lost || P.State != PathState::Good)
    Explained.clear();
  return Explained;
}

void PathHealth::onSilence(std::string_view DataCentre, std::string_view Server,
                           Silence Kind, TimePoint Begun, TimePoint Now) {
  Path &P = Paths.try_emplace(std::string(DataCentre)).first->second;
  if (Begun <= P.ReachedBegun)
    return;
  auto Known = P.Silent.find(Server);
  if (Known == P.Silent.end()) {
    if (P.Silent.size() >= MaxSilent)
      return;
    Known =
        P.Silent.emplace(std::string(Server), SilentServer{Kind, Begun}).first;
  }
  SilentServer &S = Known->second;
  S.Kind = std::min(S.Kind, Kind);
  S.Begun = std::max(S.Begun, Begun);
  update(DataCentre, P, Now);
}

void PathHealth::update(std::string_view DataCentre, Path &P, TimePoint Now) {
  // A slow server is silent as well, but answers connections.
  bool IsConnectSilent =
      std::any_of(P.Silent.begin(), P.Silent.end(), [](const auto &Item) {
        return Item.second.Kind == Silence::Connect;
      });
  PathState New = P.Silent.empty() ? PathState::Good : PathState::Doubtful;
  if (IsConnectSilent && P.Silent.size() >= LostFrom)
    New = PathState::Lost;
  if (New == P.State)
    return;
  if (P.State == PathState::Good)
    P.NextProbe = Now;
  NotGood += New != PathState::Good;
  NotGood -= P.State != PathState::Good;
  bool IsLost = New == PathState::Lost;
  if (IsLost || P.State == PathState::Lost)
    logEvent(IsLost ? LogLevel::Warning : LogLevel::Info, "path-changed",
             {{"data_centre", DataCentre},
              {"state", toString(New)},
              {"before", toString(P.State)},
              {"silent", P.Silent.size()},
              {"after_ms", (Now - P.Since).count() / 1000}});
  P.State = New;
  P.Since = Now;
}

PathState PathHealth::state(std::string_view DataCentre) const {
  auto Found = Paths.find(DataCentre);
  return Found == Paths.end() ? PathState::Good : Found->second.State;
}

std::vector<std::string> PathHealth::takeProbes(TimePoint Now) {
  std::vector<std::string> Due;
  for (auto &[DataCentre, P] : Paths) {
    if (P.State == PathState::Good || Now < P.NextProbe)
      continue;
    P.NextProbe = Now + ProbeInterval;
    Due.push_back(DataCentre);
  }
  return Due;
}

size_t PathHealth::count(PathState State) const {
  return static_cast<size_t>(
      std::count_if(Paths.begin(), Paths.end(), [State](const auto &Item) {
        return Item.second.State == State;
      }));
}

} // namespace ragwort::dispatch
