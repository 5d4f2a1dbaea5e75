//===- NodeLifecycle.h - Graceful shutdown and suspension detection -------===//
#ifndef RAGWORT_FLEET_NODELIFECYCLE_H
#define RAGWORT_FLEET_NODELIFECYCLE_H

#include "ragwort/fleet/PeerExchange.h"

namespace ragwort::fleet {

/// Shuts down as gateway::StopSchedule says: stops being ready, closes idle
/// connections, stops accepting, and returns when no request is left. Shortly
/// before \p Grace is over it ends the requests that are left.
asio::awaitable<void> shutDownGracefully(gateway::Gateway &Node,
                                         PeerExchange &Peers, Duration Grace);

/// Calls Gateway::onSuspended() after each time that the process was suspended,
/// until \p IsStopping is true.
asio::awaitable<void> watchForSuspension(gateway::Gateway &Node,
                                         const bool &IsStopping);

} // namespace ragwort::fleet

#endif
