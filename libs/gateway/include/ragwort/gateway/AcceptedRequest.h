//===- AcceptedRequest.h - A caller's request under one configuration -----===//
#ifndef RAGWORT_GATEWAY_ACCEPTEDREQUEST_H
#define RAGWORT_GATEWAY_ACCEPTEDREQUEST_H

#include "ragwort/dispatch/Selection.h"
#include "ragwort/gateway/TrafficConfig.h"
#include "ragwort/http/HttpTypes.h"
#include "ragwort/quarantine/RequestQuarantine.h"
#include <memory>
#include <optional>
#include <string>

namespace ragwort::gateway {

/// A request that has been accepted under one configuration.
struct AcceptedRequest {
  http::Request Message;
  std::string RequestId;
  /// The organisation of the caller's API key; empty on public routes.
  std::string Organisation;
  quarantine::RequestTraits Traits;
  uint32_t Priority = 0;
  TimePoint Arrived;
  /// The earlier of the caller's and the route's deadline.
  TimePoint Deadline;
  /// As far as can be told, the caller was refused before and has come back.
  bool HasComeBack = false;
  std::shared_ptr<const TrafficConfig> Config;
  /// Points into Config.
  const Route *Target = nullptr;
  /// The regions that it is confined to; nothing if it is not.
  std::optional<dispatch::RegionSet> Regions;

  const dispatch::RegionSet *regions() const {
    return Regions ? &*Regions : nullptr;
  }
};

} // namespace ragwort::gateway

#endif
