//===- TrafficConfig.cpp - Routes, services and organisations in force ----===//
#include "ragwort/gateway/TrafficConfig.h"
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <cctype>

namespace ragwort::gateway {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::transform(
      Result.begin(), Result.end(), Result.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Result;
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

void TrafficConfig::addRoute(Route R) {
  R.Host = lowerCase(R.Host);
  RouteIndex[R.Host][R.PathPrefix] = Routes.size();
  Routes.push_back(std::move(R));
}

void TrafficConfig::addService(Service S) {
  std::string Name = S.Name;
  Services.insert_or_assign(std::move(Name), std::move(S));
}

void TrafficConfig::addOrganisation(Organisation O,
                                    std::vector<std::string> ApiKeys) {
  for (std::string &Key : ApiKeys)
    KeyIndex.insert_or_assign(std::move(Key), Organisations.size());
  Organisations.push_back(std::move(O));
}

const Route *TrafficConfig::findRoute(std::string_view Host,
                                      std::string_view Path) const {
  auto HostRoutes = RouteIndex.find(lowerCase(withoutPort(Host)));
  if (HostRoutes == RouteIndex.end())
    return nullptr;
  Path = Path.substr(0, Path.find('?'));
  // Every prefix ends with a slash: only parts of the path that end with a
  // slash can match.
  for (size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos
                          : Path.rfind('/', Slash - 1)) {
    auto Found = HostRoutes->second.find(Path.substr(0, Slash + 1));
    if (Found != HostRoutes->second.end())
      return &Routes[Found->second];
  }
  return nullptr;
}

const Service *TrafficConfig::findService(std::string_view Name) const {
  auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

Duration TrafficConfig::targetGapOf(std::string_view Service) const {
  Duration Shortest{0};
  for (const Route &R : Routes)
    for (const WeightedService &Part : R.Split)
      if (Part.Service == Service && R.TargetGap.count() > 0 &&
          (Shortest.count() == 0 || R.TargetGap < Shortest))
        Shortest = R.TargetGap;
  return Shortest;
}

const Organisation *TrafficConfig::findByKey(std::string_view ApiKey) const {
  auto Found = KeyIndex.find(ApiKey);
  return Found == KeyIndex.end() ? nullptr : &Organisations[Found->second];
}

std::string_view chooseService(const Route &R, std::string_view RequestId) {
  uint64_t Total = 0;
  for (const WeightedService &Part : R.Split)
    Total += Part.Weight;
  if (Total == 0)
    return R.Split.front().Service;
  uint64_t Point = hash64(RequestId) % Total;
  for (const WeightedService &Part : R.Split) {
    if (Point < Part.Weight)
      return Part.Service;
    Point -= Part.Weight;
  }
  return R.Split.back().Service;
}

} // namespace ragwort::gateway
