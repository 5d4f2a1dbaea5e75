//===- FleetSettings.h - The shared base merged with a site's overlay -----===//
//
// Operators write one base for all sites and one overlay a site. Both have the
// same keys. Merge rules: single values of the overlay replace those of the
// base; lists of named entries merge by name, key by key; other lists are
// replaced as a whole.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SETTINGS_FLEETSETTINGS_H
#define RAGWORT_SETTINGS_FLEETSETTINGS_H

#include "ragwort/base/Address.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/base/Time.h"
#include "ragwort/settings/Problem.h"
#include "ragwort/settings/Units.h"
#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::settings {

/// What stands behind a service.
enum class ServiceKind : uint8_t { Model, Plain };

/// One rule of a service; the longest matching prefix wins.
struct RouteSettings {
  /// HTTP method, or `*` for any.
  std::string Method = "*";
  std::string Prefix;
  bool NonIdempotent = false;
};

struct DataCentreSettings {
  std::string Name;
  std::string Region;
  Origin Location;
};

struct OrganisationSettings {
  std::string Name;
  /// Agreed share of the fleet's capacity in percent.
  double SharePercent = 0;
  /// Requests in progress at one entry node.
  uint32_t MaxConcurrent = 0;
  Origin Location;
};

struct ServiceSettings {
  std::string Name;
  ServiceKind Kind = ServiceKind::Plain;
  std::vector<RouteSettings> Routes;
  /// Deadline of a request that names none.
  Duration Deadline{};
  /// Data centres where the service runs; empty means all.
  std::vector<std::string> DataCentres;
  /// Organisations that may call it; empty means all.
  std::vector<std::string> Organisations;
  Origin Location;
};

enum class InstanceRole : uint8_t { Entry, Agent };

struct InstanceSettings {
  std::string Name;
  InstanceRole Role = InstanceRole::Entry;
  std::string DataCentre;
  /// TCP frames and UDP heartbeats share this address.
  Address Peer;
  /// Admin endpoints, for ragwortctl; port 0 when not given.
  Address Admin;
  /// Service of the backend server beside an agent.
  std::string Service;
  /// Rank group of that backend server, or empty, and its rank there.
  std::string Group;
  uint32_t Rank = 0;
  Origin Location;
};

/// How an entry node chooses a backend server.
enum class RoutingPolicy : uint8_t {
  Random,
  RoundRobin,
  LeastOutstanding,
  TwoChoices,
  ExpectedWait,
  PrefixAffinity,
  Backpressure,
  OwnLoad,
};

struct LimitSettings {
  uint64_t MaxBodyBytes = MiB;
  uint64_t MaxHeaderBytes = 16 * KiB;
  uint32_t MaxConnections = 4096;
  /// Requests that may wait in one agent's queue.
  uint32_t AgentQueue = 256;
  /// Tries of one idempotent request.
  uint32_t Attempts = 3;
  /// Retries as a percentage of first tries.
  double RetryBudgetPercent = 10;
  /// Backend servers that one entry node knows of each service.
  uint32_t Subset = 16;
};

struct TimingSettings {
  Duration HeartbeatInterval = std::chrono::milliseconds(500);
  /// Silence after which an agent gets no new work.
  Duration SuspectAfter = std::chrono::milliseconds(2000);
  Duration ConfigPollInterval = std::chrono::milliseconds(1000);
  Duration ListPollInterval = std::chrono::seconds(5);
};

struct JournalSettings {
  /// Shards of the idempotency-key journal.
  uint32_t Shards = 8;
  /// Least time between two appends of one shard.
  Duration CommitInterval = std::chrono::milliseconds(2);
  /// Time that an owner has to acknowledge a forwarded request before its
  /// shard is taken over.
  Duration OwnerTimeout = std::chrono::seconds(1);
  /// Time that an append may take before its requests are refused.
  Duration AppendTimeout = std::chrono::seconds(2);
};

struct ObjectiveSettings {
  /// Weights of the expert placement; only their ratio counts.
  double SkewWeight = 0.5;
  double RebalancingWeight = 0.5;
};

/// What is in force at one site.
///
/// \code
///   absl::StatusOr<FleetSettings> Fleet =
///       loadFleetSettings({"base.yaml", BaseText}, {"site.yaml", SiteText});
/// \endcode
struct FleetSettings {
  std::string Site;
  std::vector<DataCentreSettings> DataCentres;
  std::vector<OrganisationSettings> Organisations;
  std::vector<ServiceSettings> Services;
  std::vector<InstanceSettings> Instances;
  LimitSettings Limits;
  TimingSettings Timing;
  JournalSettings Journal;
  ObjectiveSettings Objective;
  RoutingPolicy Routing = RoutingPolicy::OwnLoad;

  const OrganisationSettings *organisation(std::string_view Name) const;
  const ServiceSettings *service(std::string_view Name) const;
  const InstanceSettings *instance(std::string_view Name) const;
  const DataCentreSettings *dataCentre(std::string_view Name) const;
};

/// A service and the rule that matched a request.
struct RouteMatch {
  const ServiceSettings *Service = nullptr;
  bool NonIdempotent = false;
};

/// Finds the rule for a request: longest prefix, then exact method before `*`.
/// A prefix matches whole path segments; the query string is ignored.
std::optional<RouteMatch> matchRoute(const FleetSettings &Fleet,
                                     std::string_view Method,
                                     std::string_view Target);

/// Name and text of one document.
struct DocumentText {
  std::string_view Name;
  std::string_view Text;
};

/// Parses, merges and checks. The error lists every problem with file, line,
/// key and reason.
absl::StatusOr<FleetSettings> loadFleetSettings(const DocumentText &Base,
                                                const DocumentText &Overlay);

} // namespace ragwort::settings

#endif
