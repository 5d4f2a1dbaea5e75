//===- ForwardingContext.h - Objects that all requests of a node share ----===//
#ifndef RAGWORT_GATEWAY_FORWARDINGCONTEXT_H
#define RAGWORT_GATEWAY_FORWARDINGCONTEXT_H

#include "ragwort/dispatch/Dispatcher.h"
#include "ragwort/dispatch/MemoryBudget.h"
#include "ragwort/gateway/BackendPool.h"
#include "ragwort/gateway/CrashDetector.h"
#include "ragwort/gateway/ProtocolNames.h"
#include "ragwort/gateway/RouteDurations.h"
#include "ragwort/gateway/StopSchedule.h"
#include "ragwort/gateway/StreamStarts.h"
#include "ragwort/observe/Metrics.h"
#include "ragwort/quarantine/RequestQuarantine.h"
#include <functional>

namespace ragwort::gateway {

class Forwarding;

/// Objects that all requests of one node share.
struct ForwardingContext {
  asio::io_context &Io;
  const ProtocolNames &Names;
  dispatch::Dispatcher &Dispatch;
  BackendPool &Pool;
  quarantine::RequestQuarantine &Quarantine;
  CrashDetector &Crashes;
  RouteDurations &Durations;
  StreamStarts &Starts;
  /// Has a value while the node stops.
  const std::optional<StopSchedule> &Stop;
  MetricsRegistry &Metrics;
  std::shared_ptr<dispatch::MemoryBudget> Memory;
  /// Registers a waiting request by its ticket, until it is dequeued.
  std::function<void(uint64_t, std::weak_ptr<Forwarding>)> OnQueued;
  /// Called when a slot may have become free.
  std::function<void()> OnSlotFree;
  /// Returns the version of the backend directory, for the log.
  std::function<std::string()> DirectoryVersion;
};

} // namespace ragwort::gateway

#endif
