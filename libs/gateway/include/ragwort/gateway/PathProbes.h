//===- PathProbes.h - Tries paths to data centres that are not good -------===//
//
// Opens a connection to one server behind each path that is not good, when
// PathHealth says so, and closes idle connections behind lost paths. A
// connection that opens is kept for requests.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_PATHPROBES_H
#define RAGWORT_GATEWAY_PATHPROBES_H

#include "ragwort/dispatch/LoadTracker.h"
#include "ragwort/dispatch/MemoryBudget.h"
#include "ragwort/gateway/BackendPool.h"

namespace ragwort::gateway {

/// \code
///   Probes.update(Directory, Now); // A few times a second.
/// \endcode
class PathProbes {
public:
  PathProbes(asio::io_context &Io, dispatch::LoadTracker &Tracker,
             BackendPool &Pool, std::shared_ptr<dispatch::MemoryBudget> Memory);
  ~PathProbes();

  void update(const dispatch::BackendDirectory &Directory, TimePoint Now);

private:
  class Probe;

  asio::io_context &Io;
  dispatch::LoadTracker &Tracker;
  BackendPool &Pool;
  std::shared_ptr<dispatch::MemoryBudget> Memory;
  std::vector<std::unique_ptr<Probe>> Running;
};

} // namespace ragwort::gateway

#endif
