//===- RouteDurations.h - How long the requests of a route take -----------===//
#ifndef RAGWORT_GATEWAY_ROUTEDURATIONS_H
#define RAGWORT_GATEWAY_ROUTEDURATIONS_H

#include "ragwort/base/Time.h"
#include "ragwort/observe/Metrics.h"
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// Distribution of the time that requests of a route have taken from their send
/// to their end, in proportion to the answer tokens that they asked for; a
/// request without token counts counts as one token. Older requests are
/// forgotten.
///
/// \code
///   Known.add(Route, Tokens, Taken);
///   if (std::optional<Duration> Bound = Known.ofNearlyAll(Route, Tokens)) ...
/// \endcode
class RouteDurations {
public:
  /// Nothing is known of a route before this many requests.
  static constexpr uint64_t MinRequests = 8;
  /// The same for the time of nearly all requests.
  static constexpr uint64_t MinRequestsOfNearlyAll = 64;
  /// Requests of a route that are counted together.
  static constexpr uint64_t MaxCounted = 2048;
  /// With more routes than this, all are forgotten.
  static constexpr size_t MaxRoutes = 1024;

  void add(std::string_view Route, double AnswerTokens, Duration Time) {
    auto Found = Routes.find(Route);
    if (Found == Routes.end()) {
      if (Routes.size() >= MaxRoutes)
        Routes.clear();
      Found = Routes.emplace(std::string(Route), Counts()).first;
    }
    Counts &C = Found->second;
    if (C.Current->count() >= MaxCounted) {
      C.Previous = std::move(C.Current);
      C.Current = std::make_unique<DurationHistogram>();
    }
    C.Current->record(scaled(Time, 1 / atLeastOne(AnswerTokens)));
  }

  /// Time within which most requests end. Nothing if unknown.
  std::optional<Duration> ofMost(std::string_view Route,
                                 double AnswerTokens) const {
    return quantile(Route, AnswerTokens, 0.95, MinRequests);
  }

  /// Time beyond which hardly any request lasts. Nothing if unknown.
  std::optional<Duration> ofNearlyAll(std::string_view Route,
                                      double AnswerTokens) const {
    // No request that is still to come need be as short as those before it.
    constexpr double Margin = 1.25;
    std::optional<Duration> Result =
        quantile(Route, AnswerTokens, 0.999, MinRequestsOfNearlyAll);
    if (Result)
      Result = scaled(*Result, Margin);
    return Result;
  }

private:
  struct Counts {
    std::unique_ptr<DurationHistogram> Current =
        std::make_unique<DurationHistogram>();
    // The MaxCounted requests before those of Current, or null.
    std::unique_ptr<DurationHistogram> Previous;
  };

  static double atLeastOne(double AnswerTokens) {
    return std::max(1.0, AnswerTokens);
  }

  static Duration scaled(Duration Time, double Factor) {
    return Duration(
        static_cast<int64_t>(static_cast<double>(Time.count()) * Factor));
  }

  /// The longer of the quantiles of both histograms.
  std::optional<Duration> quantile(std::string_view Route, double AnswerTokens,
                                   double Q, uint64_t MinCount) const {
    auto Found = Routes.find(Route);
    if (Found == Routes.end())
      return std::nullopt;
    const Counts &C = Found->second;
    uint64_t Total =
        C.Current->count() + (C.Previous ? C.Previous->count() : 0);
    if (Total < MinCount)
      return std::nullopt;
    Duration PerToken = C.Current->quantile(Q);
    if (C.Previous)
      PerToken = std::max(PerToken, C.Previous->quantile(Q));
    return scaled(PerToken, atLeastOne(AnswerTokens));
  }

  // By the route's name.
  std::map<std::string, Counts, std::less<>> Routes;
};

} // namespace ragwort::gateway

#endif
