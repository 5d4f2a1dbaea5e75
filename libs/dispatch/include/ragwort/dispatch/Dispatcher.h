//===- Dispatcher.h - Send, wait or refuse --------------------------------===//
//
// Decides for each request whether it is sent now and to which server, waits
// for room, or is refused with a Retry-After time. The decision compares the
// fleet's requests in flight with the slots of the usable servers. While all
// are full, Admission.h decides. While all servers
// have asked this node to pause, it compares the end of the first pause with
// the time for which the caller can wait; likewise this node's next turn while
// all servers have stated rate limits. When a closed group opens, requests
// leave the queue at the pace of OpeningRamp.h.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_DISPATCHER_H
#define RAGWORT_DISPATCH_DISPATCHER_H

#include "ragwort/dispatch/Admission.h"
#include "ragwort/dispatch/EngineSpeed.h"
#include "ragwort/dispatch/LoadTracker.h"
#include "ragwort/dispatch/OpeningRamp.h"
#include "ragwort/dispatch/RefusedRequests.h"
#include "ragwort/dispatch/RetryBudget.h"
#include <random>

namespace ragwort::dispatch {

/// The properties of a request that decide about its placement.
struct PlacementRequest {
  std::string_view Service;
  /// Instances that have already failed or declined this request.
  std::span<const std::string> Excluded;
  /// The regions that it is confined to; null if it is not. Copied if it waits.
  const RegionSet *Regions = nullptr;
  uint32_t Priority = 0;
  TimePoint Arrived;
  Duration TargetLatency{0};
  /// From this time on the caller has left or has no use for the answer.
  TimePoint ExpiresAt;
  /// The service batches requests: one beyond the slots delays all others.
  bool IsBatched = false;
  /// Published speed of the service's engines, if known.
  EngineSpeed Speed;
  /// Tokens to read and to write; 0 if unknown.
  double PromptTokens = 0;
  double AnswerTokens = 0;
  /// The caller was refused before and has come back.
  bool HasComeBack = false;
  /// A server has been sent this request.
  bool HasBeenSent = false;

  Selection among() const { return {Service, Excluded, Regions}; }
};

/// Why a request is refused.
enum class PlacementRefusal : uint8_t {
  NoServer,
  Recovering,
  /// All servers have asked this node to pause.
  Paused,
  /// All servers have stated rate limits that leave this node no turn in time.
  RateLimited,
  Overloaded,
  /// All servers that it may be sent to are in evacuated data centres.
  Evacuated,
  /// No server is in the regions that it is confined to.
  OutsideRegions,
  /// It waited, and a request that goes before it has taken its place.
  Displaced,
  /// It waited until its answer would come too late.
  Expired,
};

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
  /// The work that the request needs, as a multiple of the usual request's.
  double Work = 1;
  /// Why it does not start now, if all servers are full.
  Forecast Expected;
  /// Requests that wait at this node.
  size_t Waiting = 0;
};

/// A request taken from the queue, either to be sent to a server now or to be
/// refused.
struct DequeuedRequest {
  uint64_t Ticket = 0;
  /// Empty if the request is refused.
  std::optional<BackendInstance> Server;
  /// For a refused request.
  PlacementRefusal Refusal = PlacementRefusal::Expired;
  Duration RetryAfter{0};
};

/// \code
///   Placement P = Dispatch.place(Request, Now);
///   if (P.Result == Placement::Decision::Send)
///     Dispatch.onStarted(P.Server.Id, Now);
/// \endcode
class Dispatcher {
public:
  /// Retry-After time if a service has no usable server: a replacement usually
  /// registers within a second.
  static constexpr Duration NoServerRetryAfter =
      std::chrono::milliseconds(1000);
  /// Retry-After time while all servers of a service are unavailable. A group
  /// takes about four seconds to form again after it has lost ranks. Part of
  /// that has passed when a request is refused, and before a retry, callers
  /// wait at most a third of the time that they have.
  static constexpr Duration RecoveringRetryAfter =
      std::chrono::milliseconds(2000);
  /// Requests do not wait for a service whose servers have all been unavailable
  /// for longer than this, over twice the time that a group takes to form: the
  /// cause is another one, such as missing ranks, and may last.
  static constexpr Duration MaxRecovery = std::chrono::seconds(9);
  /// Maximum number of waiting requests per service at one node.
  static constexpr size_t MaxWaiting = Admission::MaxWaiting;

  Dispatcher(std::string LocalDataCentre, RetryBudgetLimits Budget,
             uint64_t Seed);

  LoadTracker &loadTracker() { return Tracker; }
  const LoadTracker &loadTracker() const { return Tracker; }
  RefusedRequests &refused() { return Refused; }

  Placement place(const PlacementRequest &R, TimePoint Now);
  /// Whether a server of \p Among has a free slot now.
  bool hasFreeServer(const Selection &Among, TimePoint Now);
  void cancelWait(std::string_view Service, uint64_t Ticket);
  /// Removes the waiting requests that can be sent now, at most one for each
  /// service, and those that are refused. onStarted() must be called for the
  /// former before the next call.
  std::vector<DequeuedRequest> takeReady(TimePoint Now);
  size_t waiting() const;
  /// A random time from \p RetryAfter to half as long again, so that callers
  /// that were refused together do not retry together.
  Duration spread(Duration RetryAfter);

  void onStarted(std::string_view Id, TimePoint Now) {
    Tracker.onStarted(Id, Now);
  }
  /// A request to \p Id has ended, whatever its outcome. \p Work is that of
  /// its Placement, or 0 if the server has not run it.
  void onEnded(std::string_view Service, std::string_view Id, TimePoint Now,
               double Work = 1);

  /// Counts a new request for \p Service, which increases its retry budget.
  void onRequest(std::string_view Service, TimePoint Now);
  bool hasRetryBudget(std::string_view Service, TimePoint Now);
  void onRetry(std::string_view Service, TimePoint Now);
  /// Number of nodes that share the fleet's retry allowance, if known.
  void setNodes(std::optional<size_t> Count) { Nodes = Count; }

private:
  struct ServiceState {
    ServiceState(RetryBudgetLimits Limits, uint64_t Seed)
        : Budget(Limits), Ramp(Seed) {}
    RetryBudget Budget;
    OpeningRamp Ramp;
    Admission Waiting;
    // Requests that have left the queue for others and are not told yet.
    std::vector<Waiter> Displaced;
    // Whether the service batches requests, as stated by its last request.
    bool IsBatched = false;
    // LoadTracker::placesVersion() for which no barred request waits.
    uint64_t CheckedPlaces = 0;
  };
  ServiceState &stateOf(std::string_view Service);
  /// Tells the ramp of \p State whether the service's group is closed.
  void updateRamp(std::string_view Service, ServiceState &State, TimePoint Now);
  static bool hasRoom(const Choice &C, bool IsBatched);
  /// The server of \p Best if it has room.
  static std::optional<BackendInstance>
  withRoom(const std::optional<Choice> &Best, const ServiceState &State);
  /// Why no server of \p Among may be used, if that will not pass by waiting.
  std::optional<PlacementRefusal> barOf(const Selection &Among) const;
  /// Removes the waiting requests that barOf() holds for.
  void takeBarred(std::string_view Service, ServiceState &State,
                  std::vector<DequeuedRequest> &Taken);
  /// Retry-After time for a request that no server has room for.
  Duration retryAfter(std::string_view Service, ServiceState &State,
                      const Waiter &W, TimePoint Now);
  static TimePoint giveUpAt(const PlacementRequest &R, bool IsRecovering);
  Waiter waiterOf(const ServiceState &State, const PlacementRequest &R,
                  TimePoint GiveUpAt, TimePoint Now);
  Placement refuse(PlacementRefusal Refusal, Duration RetryAfter) const;
  DequeuedRequest refuseWaiting(std::string_view Service, ServiceState &State,
                                const Waiter &W, PlacementRefusal Refusal,
                                TimePoint Now);
  /// Waits, or refuses for \p Refusal, as \p A says.
  Placement carryOut(const Admission::Answer &A, PlacementRefusal Refusal,
                     ServiceState &State, const PlacementRequest &R,
                     const Waiter &W, TimePoint Now);
  /// Waits for something else than room, or refuses for \p Refusal if
  /// \p IsRefused, if the queue is full or if \p GiveUpAt has passed.
  Placement waitUnless(bool IsRefused, PlacementRefusal Refusal,
                       ServiceState &State, const PlacementRequest &R,
                       TimePoint GiveUpAt, TimePoint Now);
  /// All usable servers are full.
  Placement waitForSlot(ServiceState &State, const PlacementRequest &R,
                        TimePoint Now);
  /// The service's group has just opened, and it is not this request's turn.
  Placement waitForOpening(ServiceState &State, const PlacementRequest &R,
                           TimePoint Now);
  /// All usable servers have been unavailable since \p Since.
  Placement waitForRecovery(ServiceState &State, const PlacementRequest &R,
                            TimePoint Since, TimePoint Now);
  /// No server may be sent a request now: all are paused or rate-limited, or
  /// there is none.
  Placement waitForTurn(ServiceState &State, const PlacementRequest &R,
                        TimePoint Now);
  /// The earliest time at which a paused or rate-limited server may be sent a
  /// further request, after those that wait.
  std::optional<TimePoint> nextTurn(const Selection &Among,
                                    const ServiceState &State,
                                    TimePoint Now) const;

  LoadTracker Tracker;
  RefusedRequests Refused;
  const RetryBudgetLimits Budget;
  const uint64_t Seed;
  std::map<std::string, ServiceState, std::less<>> ServiceStates;
  std::mt19937_64 Random;
  uint64_t NextTicket = 1;
  std::optional<size_t> Nodes = 1;
};

} // namespace ragwort::dispatch

#endif
