//===- RouteDurations.h - How long the requests of a route usually take ---===//
#ifndef RAGWORT_GATEWAY_ROUTEDURATIONS_H
#define RAGWORT_GATEWAY_ROUTEDURATIONS_H

#include "ragwort/base/Time.h"
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// Moving average of the time that completed requests of a route have taken,
/// in proportion to the answer tokens that they asked for; a request without
/// token counts counts as one token.
class RouteDurations {
public:
  /// Nothing is known of a route before this many requests.
  static constexpr uint32_t MinRequests = 8;
  /// With more routes than this, all are forgotten.
  static constexpr size_t MaxRoutes = 1024;

  void add(std::string_view Route, double AnswerTokens, Duration Time) {
    auto Found = Averages.find(Route);
    if (Found == Averages.end()) {
      if (Averages.size() >= MaxRoutes)
        Averages.clear();
      Found = Averages.emplace(std::string(Route), Average()).first;
    }
    Average &A = Found->second;
    double PerToken = toMicros(Time) / std::max(1.0, AnswerTokens);
    // The plain mean at first.
    double Weight = std::max(NewestWeight, 1.0 / ++A.Requests);
    A.MicrosPerToken += Weight * (PerToken - A.MicrosPerToken);
  }

  /// Nothing if unknown.
  std::optional<Duration> usual(std::string_view Route,
                                double AnswerTokens) const {
    auto Found = Averages.find(Route);
    if (Found == Averages.end() || Found->second.Requests < MinRequests)
      return std::nullopt;
    return Duration(static_cast<int64_t>(Found->second.MicrosPerToken *
                                         std::max(1.0, AnswerTokens)));
  }

private:
  static constexpr double NewestWeight = 0.05;

  struct Average {
    double MicrosPerToken = 0;
    uint32_t Requests = 0;
  };

  static double toMicros(Duration Time) {
    return std::chrono::duration<double, std::micro>(Time).count();
  }

  // By the route's name.
  std::map<std::string, Average, std::less<>> Averages;
};

} // namespace ragwort::gateway

#endif
