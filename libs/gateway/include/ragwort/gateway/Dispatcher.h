//===- Dispatcher.h - Send, wait or refuse --------------------------------===//
//
// Decides for each request whether it is sent now and where, waits for a slot,
// or is refused with the time at which a return is worthwhile. The load it
// answers to: the fleet's requests in flight against the slots of the servers
// in use, and, while all are taken, this node's own queue against the rate at
// which its requests have been leaving.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_DISPATCHER_H
#define RAGWORT_GATEWAY_DISPATCHER_H

#include "ragwort/gateway/LoadTracker.h"
#include "ragwort/gateway/RetryBudget.h"
#include "ragwort/gateway/WaitQueue.h"
#include <random>

namespace ragwort::gateway {

/// What the dispatcher needs to know of a request.
struct PlacementRequest {
  std::string_view Service;
  /// Instances that have failed or declined it.
  std::span<const std::string> Excluded;
  uint32_t Priority = 0;
  TimePoint Arrived;
  Duration TargetLatency{0};
  /// The caller leaves, or its answer is worthless, from here on.
  TimePoint ExpiresAt;
  /// The service batches: a request beyond the slots delays all others.
  bool IsBatched = false;
};

/// Why a request is not sent now.
enum class PlacementRefusal : uint8_t { NoServer, Recovering, Overloaded };

std::string_view toString(PlacementRefusal Value);

struct Placement {
  enum class Decision : uint8_t { Send, Wait, Refuse };
  Decision Result = Decision::Refuse;
  /// For Send.
  BackendInstance Server;
  uint32_t InFlight = 0;
  /// For Wait.
  uint64_t Ticket = 0;
  /// For Refuse.
  PlacementRefusal Refusal = PlacementRefusal::NoServer;
  Duration RetryAfter{0};
};

/// A waiting request whose turn or time has come.
struct DequeuedRequest {
  uint64_t Ticket = 0;
  bool IsExpired = false;
  Duration RetryAfter{0};
};

/// \code
///   Placement P = Dispatch.place(Request, Now);
///   if (P.Result == Placement::Decision::Send)
///     Dispatch.onStarted(P.Server.Id, Now);
/// \endcode
class Dispatcher {
public:
  /// Return time told when no server is in use: a replacement of a server
  /// usually registers within a second.
  static constexpr Duration NoServerRetryAfter =
      std::chrono::milliseconds(1000);
  /// Return time told while no server of a service works. A group is formed
  /// anew in some four seconds after its ranks were lost; part of them has
  /// passed, and callers wait at most a third of the time that they have.
  static constexpr Duration RecoveringRetryAfter =
      std::chrono::milliseconds(2000);
  /// Waiting requests a service may have at one node.
  static constexpr size_t MaxWaiting = 64;

  Dispatcher(std::string LocalDataCentre, RetryBudgetLimits Budget,
             uint64_t Seed);

  LoadTracker &loadTracker() { return Tracker; }
  const LoadTracker &loadTracker() const { return Tracker; }

  Placement place(const PlacementRequest &R, TimePoint Now);
  /// Whether a server outside \p Excluded has a free slot now.
  bool hasFreeServer(std::string_view Service,
                     std::span<const std::string> Excluded, TimePoint Now);
  void cancelWait(std::string_view Service, uint64_t Ticket);
  /// Waiting requests to start or to refuse now. Each started one is placed
  /// again by its owner.
  std::vector<DequeuedRequest> takeReady(TimePoint Now);
  size_t waiting() const;

  void onStarted(std::string_view Id, TimePoint Now) {
    Tracker.onStarted(Id, Now);
  }
  /// A request left \p Id, by whatever end.
  void onEnded(std::string_view Service, std::string_view Id, TimePoint Now);

  /// A new request for \p Service, from which the budget for repeats grows.
  void onRequest(std::string_view Service, TimePoint Now);
  bool hasRetryBudget(std::string_view Service, TimePoint Now);
  void onRetry(std::string_view Service, TimePoint Now);
  /// Nodes that share the fleet's allowance of repeats.
  void setNodes(size_t Count) { Nodes = Count; }

private:
  struct Desk {
    explicit Desk(RetryBudgetLimits Limits) : Budget(Limits) {}
    RetryBudget Budget;
    WaitQueue Queue;
    DrainRate Drain;
    // Whether the service batches, from its last request.
    bool IsBatched = false;
  };
  Desk &desk(std::string_view Service);
  bool hasRoom(const Choice &C, bool IsBatched) const;
  Duration retryAfter(Desk &D, bool IsRecovering, TimePoint Now);
  static TimePoint giveUpAt(const PlacementRequest &R, bool IsRecovering);
  Placement wait(Desk &D, const PlacementRequest &R, TimePoint GiveUpAt,
                 TimePoint Now);
  Placement refuse(PlacementRefusal Refusal, Duration RetryAfter) const;

  LoadTracker Tracker;
  const RetryBudgetLimits Budget;
  std::map<std::string, Desk, std::less<>> Desks;
  std::mt19937_64 Random;
  uint64_t NextTicket = 1;
  size_t Nodes = 1;
};

} // namespace ragwort::gateway

#endif
