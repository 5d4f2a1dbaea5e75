//===- TrafficConfig.h - Routes, services and organisations in force ------===//
//
// One version of the operators' configuration, as a plain value. It is built
// once and then shared read-only by the requests that were accepted under it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_TRAFFICCONFIG_H
#define RAGWORT_GATEWAY_TRAFFICCONFIG_H

#include "ragwort/base/Time.h"
#include "ragwort/dispatch/ColdServers.h"
#include "ragwort/dispatch/EngineSpeed.h"
#include "ragwort/dispatch/RegionSet.h"
#include "ragwort/rankgroup/GroupShape.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwort::gateway {

/// Whether a route's requests may be sent again after a send with an unknown
/// outcome.
enum class Repeatability : uint8_t {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// A stream that another run may resume after its last event.
  Resumable,
};

/// A service and its share of a route's traffic.
struct WeightedService {
  std::string Service;
  uint32_t Weight = 1;
};

/// How requests for one host and path prefix are forwarded.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  Repeatability Repeat = Repeatability::AtMostOnce;
  bool IsStream = false;
  /// Callers need no API key.
  bool IsPublic = false;
  uint32_t MaxAttempts = 1;
  Duration Timeout = std::chrono::seconds(10);
  /// Target time from arrival to the answer or to a stream's first event.
  Duration TargetLatency = std::chrono::milliseconds(500);
  /// Target for the longest pause between two events of a stream.
  Duration TargetGap{0};
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  /// Never empty.
  std::vector<WeightedService> Split;
  /// The regions whose servers may be used; empty if all may.
  dispatch::RegionSet AllowedRegions = {};
};

/// Properties of a service's model engines, as published by the operators.
struct EngineSpec {
  /// How the experts of a group of ranks are arranged.
  rankgroup::GroupShape Experts;
  dispatch::EngineSpeed Speed;
};

/// A service, provided by backend servers of the same kind.
struct Service {
  std::string Name;
  /// Set for services whose servers batch requests.
  std::optional<EngineSpec> Engine;
  /// Set for services whose servers start cold.
  std::optional<dispatch::WarmUp> WarmUp;
};

/// Limits on callers' requests. HeaderTimeout covers reading the body as well.
struct CallerLimits {
  uint32_t MaxHeaderBytes = 16384;
  uint64_t MaxBodyBytes = 4194304;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// A partner organisation whose callers share its API keys.
struct Organisation {
  std::string Name;
  std::optional<uint32_t> Priority;
  /// The regions whose servers may be used; empty if all may.
  dispatch::RegionSet AllowedRegions = {};
};

/// One version of the configuration.
///
/// \code
///   if (const Route *R = Config.findRoute(Host, Path))
///     forward(R->Split);
/// \endcode
class TrafficConfig {
public:
  uint64_t Version = 0;
  CallerLimits Limits;

  void addRoute(Route R);
  void addService(Service S);
  /// Requires an API key on routes that are not public.
  void requireKeys() { AreKeysRequired = true; }
  void addOrganisation(Organisation O, std::vector<std::string> ApiKeys);

  /// The route of \p Host with the longest prefix of \p Path, or null.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Service *findService(std::string_view Name) const;
  /// The services whose servers start cold.
  std::map<std::string, dispatch::WarmUp, std::less<>> warmUps() const;
  /// The shortest target gap of the routes to \p Service, or zero.
  Duration targetGapOf(std::string_view Service) const;
  const Organisation *findByKey(std::string_view ApiKey) const;
  bool areKeysRequired() const { return AreKeysRequired; }
  size_t routeCount() const { return Routes.size(); }

private:
  struct ViewHash {
    using is_transparent = void;
    size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  template <class T>
  using ByName = std::unordered_map<std::string, T, ViewHash, std::equal_to<>>;

  std::vector<Route> Routes;
  std::vector<Organisation> Organisations;
  ByName<Service> Services;
  // Host -> path prefix -> index into Routes. Hosts are lower case, prefixes
  // end with a slash.
  ByName<ByName<size_t>> RouteIndex;
  // API key -> index into Organisations.
  ByName<size_t> KeyIndex;
  bool AreKeysRequired = false;
};

/// The regions that requests of \p Caller on route \p R are confined to, which
/// may be none; nothing if they are not confined. \p Caller is null on public
/// routes.
std::optional<dispatch::RegionSet> allowedRegions(const Route &R,
                                                  const Organisation *Caller);

/// The service to which the request \p RequestId on route \p R is sent. All
/// nodes choose the same service for the same id.
std::string_view chooseService(const Route &R, std::string_view RequestId);

} // namespace ragwort::gateway

#endif
