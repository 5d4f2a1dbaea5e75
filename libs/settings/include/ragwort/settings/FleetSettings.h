//===- FleetSettings.h - Merged settings of a site ------------------------===//
//
// Operators write one base document for all sites and one overlay document per
// site. Both have the same keys. Scalar values of the overlay replace those of
// the base, entries of the same name in lists of named entries are merged key
// by key, and other lists are replaced as a whole.
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

/// What a service runs: a model, or a plain HTTP application.
enum class ServiceKind : uint8_t { Model, Plain };

/// One routing rule of a service; see matchRoute() for the precedence.
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
  /// Agreed share of the fleet's capacity, in percent.
  double SharePercent = 0;
  /// Maximum number of requests in progress at one entry node.
  uint32_t MaxConcurrent = 0;
  Origin Location;
};

struct ServiceSettings {
  std::string Name;
  ServiceKind Kind = ServiceKind::Plain;
  std::vector<RouteSettings> Routes;
  /// Default deadline, relative to the arrival of the request.
  Duration Deadline{};
  /// Data centres where the service runs; all of them if empty.
  std::vector<std::string> DataCentres;
  /// Organisations that may call the service; all of them if empty.
  std::vector<std::string> Organisations;
  Origin Location;
};

enum class InstanceRole : uint8_t { Entry, Agent };

struct InstanceSettings {
  std::string Name;
  InstanceRole Role = InstanceRole::Entry;
  std::string DataCentre;
  /// Address for both TCP frames and UDP heartbeats.
  Address Peer;
  /// Address of the admin endpoints, for ragwortctl; port 0 if not set.
  Address Admin;
  /// Agents only: the service that the agent's backend server runs.
  std::string Service;
  /// Rank group of that backend server, empty if none, and its rank in it.
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
  /// Maximum number of requests in one agent's queue.
  uint32_t AgentQueue = 256;
  /// Maximum attempts per idempotent request, including the first.
  uint32_t Attempts = 3;
  /// Maximum retries, as a percentage of first attempts.
  double RetryBudgetPercent = 10;
  /// Maximum number of backend servers per service that an entry node uses.
  uint32_t Subset = 16;
};

struct TimingSettings {
  Duration HeartbeatInterval = std::chrono::milliseconds(500);
  /// Time without a heartbeat after which an agent gets no new requests.
  Duration SuspectAfter = std::chrono::milliseconds(2000);
  Duration ConfigPollInterval = std::chrono::milliseconds(1000);
  Duration ListPollInterval = std::chrono::seconds(5);
};

struct JournalSettings {
  /// Shards of the idempotency-key journal.
  uint32_t Shards = 8;
  /// Minimum time between two appends of one shard.
  Duration CommitInterval = std::chrono::milliseconds(2);
  /// Time within which an owner must acknowledge a forwarded request; after
  /// that its shard is taken over.
  Duration OwnerTimeout = std::chrono::seconds(1);
  /// Time after which the requests of an unfinished append are refused.
  Duration AppendTimeout = std::chrono::seconds(2);
};

struct ObjectiveSettings {
  /// Weights in the objective of the placement; only their ratio matters.
  double SkewWeight = 0.5;
  double RebalancingWeight = 0.5;
};

/// The settings of one site.
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

/// The service of a request and the properties of the matching rule.
struct RouteMatch {
  const ServiceSettings *Service = nullptr;
  bool NonIdempotent = false;
};

/// Finds the rule for a request: longest prefix, then exact method before `*`.
/// A prefix matches whole path segments; the query string is ignored.
std::optional<RouteMatch> matchRoute(const FleetSettings &Fleet,
                                     std::string_view Method,
                                     std::string_view Target);

/// A document's name, as used in error messages, and its text.
struct DocumentText {
  std::string_view Name;
  std::string_view Text;
};

/// Parses both documents, merges them and checks the result. The error lists
/// every problem with file, line, key and reason.
absl::StatusOr<FleetSettings> loadFleetSettings(const DocumentText &Base,
                                                const DocumentText &Overlay);

} // namespace ragwort::settings

#endif
