//===- InstanceList.h - The platform's list of instances ------------------===//
//
// Lists the instances that exist. Changes appear in the list with a delay, so
// it only serves to find the instances to contact.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_PLATFORM_INSTANCELIST_H
#define RAGWORT_PLATFORM_INSTANCELIST_H

#include "ragwort/http/HttpClient.h"
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace ragwort::platform {

/// An instance as the platform lists it.
struct ListedInstance {
  std::string Name;
  std::string Role;
  std::string DataCentre;
  std::string Service;
  /// Address on which the instance listens for its peers.
  Address Peer;
  bool IsLeaving = false;
};

/// Reads the list of one data centre, or of all if \p DataCentre is empty.
asio::awaitable<absl::StatusOr<std::vector<ListedInstance>>>
fetchInstances(Address Platform, std::string DataCentre, Duration Timeout);

} // namespace ragwort::platform

#endif
