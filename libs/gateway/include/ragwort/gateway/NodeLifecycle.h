//===- NodeLifecycle.h - Leaving in order, and standing still -------------===//
#ifndef RAGWORT_GATEWAY_NODELIFECYCLE_H
#define RAGWORT_GATEWAY_NODELIFECYCLE_H

#include "ragwort/gateway/PeerExchange.h"

namespace ragwort::gateway {

/// Leaves without cutting a request: is not ready any more, waits until the
/// balancer has noticed, closes what is idle and ends when no request is left,
/// or shortly before \p Grace is over.
asio::awaitable<void> shutDownGracefully(Gateway &Node, PeerExchange &Peers,
                                         Duration Grace);

/// Tells \p Node whenever the process has stood still, until \p IsStopping.
asio::awaitable<void> watchForSuspension(Gateway &Node, const bool &IsStopping);

} // namespace ragwort::gateway

#endif
