//===- LoadTracker.h - Load and health of backend servers -----------------===//
//
// Chooses the backend server for a request.
//
// Load is the number of the fleet's requests in flight at each server: this
// node's own count is exact, the other nodes' counts come from their
// heartbeats. Speed is estimated from the pauses between stream events; nodes
// share these estimates because each sees only a few streams.
//
// Stragglers (slow ranks that delay their whole group) are excluded only while
// they make up at most half of a service, and so are servers that fail. A
// failing server is excluded for a limited time and then tried again. Servers
// that report themselves unavailable, or whose agents do, are excluded even if
// that leaves none; they return when their agent reports them open or, without
// a report, when one of the trial requests, sent one at a time, succeeds. So
// are servers to which no connection can be made. A server that starts while
// its group is closed is unavailable from the beginning.
//
// Servers that have said that they are leaving receive nothing more in that
// run. Servers that asked this node to pause receive nothing until the pause is
// over, then one trial request at a time until one succeeds. Other nodes are
// not told of a pause: servers ask each node by itself, and may have room for
// the others.
//
// Servers that have stated a rate limit receive requests only when it is this
// node's turn, see RateLimits.h. Likewise cold ones, see ColdServers.h.
//
// Servers in evacuated data centres receive no requests, nor do those outside
// the regions that a request is confined to.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_LOADTRACKER_H
#define RAGWORT_DISPATCH_LOADTRACKER_H

#include "ragwort/dispatch/BackendDirectory.h"
#include "ragwort/dispatch/ColdServers.h"
#include "ragwort/dispatch/Evacuations.h"
#include "ragwort/dispatch/PathHealth.h"
#include "ragwort/dispatch/RateLimits.h"
#include "ragwort/dispatch/Selection.h"
#include "ragwort/dispatch/SelfReports.h"
#include "ragwort/dispatch/ServerHealth.h"
#include "ragwort/dispatch/ServerSpeed.h"
#include <algorithm>
#include <random>
#include <span>
#include <unordered_map>

namespace ragwort::dispatch {

/// An engine's condition as nodes forward it to each other.
struct EngineConditionReport {
  uint64_t InstanceKey = 0;
  EngineCondition Condition = EngineCondition::Straggles;

  friend bool operator==(const EngineConditionReport &,
                         const EngineConditionReport &) = default;
};

/// A peer's load and speed figures for a server at which it has requests in
/// flight.
struct InFlightReport {
  uint64_t InstanceKey = 0;
  uint32_t Count = 0;
  /// Average pause between two events of the peer's streams at that server, in
  /// milliseconds; 0 if unknown.
  uint32_t GapMillis = 0;
};

/// Why a request may be sent to none of a service's servers, although there are
/// some.
enum class SelectionBar : uint8_t {
  /// All that it may be sent to are in evacuated data centres.
  Evacuated,
  /// None is in the regions that it is confined to.
  OutsideRegions,
};

/// The server chosen for a request. Valid until the next change of the
/// LoadTracker.
struct Choice {
  const BackendInstance *Server = nullptr;
  /// The fleet's known requests in flight at the server, without this one.
  uint32_t InFlight = 0;
  /// Whether InFlight leaves a free slot.
  bool HasFreeSlot = false;
};

/// Number of listed servers in each condition; a server may be in several.
struct ServerCounts {
  size_t Listed = 0;
  size_t Draining = 0;
  size_t Leaving = 0;
  size_t Paused = 0;
  size_t RateLimited = 0;
  size_t Cold = 0;
  size_t Unavailable = 0;
  size_t Ejected = 0;
  size_t Stragglers = 0;
  size_t Evacuated = 0;
};

class LoadTracker {
public:
  /// Load reports of peers are ignored after this time.
  static constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);
  LoadTracker(std::string LocalDataCentre, uint64_t Seed)
      : LocalDataCentre(std::move(LocalDataCentre)), Random(Seed) {}

  /// Adopts the directory's entries. State of servers that remain is kept.
  void sync(const BackendDirectory &Directory, TimePoint Now);
  /// How the servers of services warm up; others have no limit while cold.
  void setWarmUps(std::map<std::string, WarmUp, std::less<>> ByService,
                  TimePoint Now);

  /// Sets the region of each data centre.
  void setRegions(std::map<std::string, std::string, std::less<>> Given);
  /// Sets the data centres whose servers are sent nothing.
  void setEvacuated(DataCentreSet Names);
  /// Whether the server is in an evacuated data centre.
  bool isEvacuated(std::string_view Id) const;
  /// Why no server of \p Among may be used; nothing if one may be, at this time
  /// or later, or if the service has none.
  std::optional<SelectionBar> barOf(const Selection &Among) const;
  /// Changes whenever barOf() may have.
  uint64_t placesVersion() const { return PlacesVersion; }

  /// A usable server of \p Among: the best by load and speed of a few random
  /// ones, or of all if the best of those is full.
  std::optional<Choice> choose(const Selection &Among, TimePoint Now);
  /// Whether the request has usable servers, but all of them are unavailable or
  /// paused, and not all are paused. Those excluded for it count.
  bool isRecovering(const Selection &Among, TimePoint Now) const {
    return recoveringSince(Among, Now).has_value();
  }
  bool isRecovering(std::string_view Service, TimePoint Now) const {
    return isRecovering(Selection{Service, {}}, Now);
  }
  /// Since when isRecovering() has been true; nothing if it is not.
  std::optional<TimePoint> recoveringSince(const Selection &Among,
                                           TimePoint Now) const;
  /// The earliest time at which a paused or rate-limited server of \p Among may
  /// be sent a request; nothing if there is none that this node may send to.
  std::optional<TimePoint> pauseEnd(const Selection &Among,
                                    TimePoint Now) const;

  /// Whether isRecovering() is true and agents say that the group is closed.
  bool isGroupClosed(std::string_view Service, TimePoint Now) const;
  /// Slots of the servers of \p Service that are available.
  uint32_t availableSlots(std::string_view Service, TimePoint Now) const;

  /// Whether a server of \p Among has a rate limit or is cold. Excluded ones
  /// count.
  bool isRateLimited(const Selection &Among, TimePoint Now) const;
  /// Requests per second that this node may send to the rate-limited and cold
  /// servers of \p Among. Excluded ones count.
  double ownRate(const Selection &Among, TimePoint Now) const;

  void onStarted(std::string_view Id, TimePoint Now);
  void onEnded(std::string_view Id);
  /// A connection to the server was made.
  void onConnected(std::string_view Id);
  /// The server answered successfully after \p Latency.
  void onAnswered(std::string_view Id, Duration Latency, TimePoint Now);
  /// A stream event arrived from the server \p Gap after the previous one.
  void onEvent(std::string_view Id, Duration Gap, TimePoint Now);
  void onFault(std::string_view Id, ServerFault Fault, TimePoint Now);
  /// The server showed that an attempt begun at \p Begun has reached it.
  void onReached(const BackendInstance &Instance, TimePoint Begun,
                 TimePoint Now);
  /// An attempt begun at \p Begun to reach the server remained without a sign
  /// of life. Counts as a fault of the server unless the path to its data
  /// centre is lost.
  void onSilence(const BackendInstance &Instance, Silence Kind, TimePoint Begun,
                 TimePoint Now);
  /// This node's paths to the data centres.
  const PathHealth &paths() const { return Paths; }
  /// Servers to which a connection is to be tried now, one for each path that
  /// is not good.
  std::vector<BackendInstance> takeProbes(TimePoint Now);
  /// Another instance answered at the server's address: the server no longer
  /// exists, even if the directory still lists it.
  void onReplaced(std::string_view Id);
  /// The run \p Instance of a server said in an answer that it is leaving.
  void onLeaving(const BackendInstance &Instance, TimePoint Now);
  /// The run \p Instance of a server asked this node to send it nothing for
  /// \p Pause.
  void onPaused(const BackendInstance &Instance, Duration Pause, TimePoint Now);
  /// The run \p Instance of a server stated in an answer how many requests a
  /// second it takes from all nodes together, or no longer states a limit.
  void onRateLimit(const BackendInstance &Instance,
                   std::optional<double> PerSecond, TimePoint Now);
  /// A peer forwarded what servers said about their rate limits.
  void onPeerRateLimits(std::span<const RateLimitReport> Reports,
                        TimePoint Now);
  /// A peer forwarded which servers are cold.
  void onPeerCold(std::span<const ColdReport> Reports, TimePoint Now);
  /// The nodes that share what cold servers take, see ColdServers::setNodes().
  void setKnownNodes(uint64_t Self, std::vector<uint64_t> Peers,
                     std::optional<size_t> Count) {
    Cold.setNodes(Self, std::move(Peers), Count);
  }
  /// Whether \p Run is known to be cold.
  bool isCold(const ServerRun &Run, TimePoint Now) const {
    return Cold.isCold(Run, Now);
  }
  /// The nodes that share the rate limits, as hashes of their addresses.
  void setNodes(uint64_t Self, std::vector<uint64_t> Peers, TimePoint Now) {
    Limits.setNodes(Self, std::move(Peers), Now);
  }
  /// Number of nodes that share the rate limits, this one included.
  size_t nodeCount() const { return Limits.nodeCount(); }
  /// A peer forwarded which servers told it that they are leaving.
  void onPeerLeaving(std::span<const ServerRun> Leaving, TimePoint Now);
  /// A server sent a header field that cannot be understood. Logged once for
  /// each run.
  void onMalformedField(std::string_view Id, std::string_view Field,
                        std::string_view Value);
  /// The agent of the server at \p Address reported its condition.
  void onEngineNotice(std::string_view Address, EngineCondition Condition,
                      TimePoint Now);
  /// A peer forwarded the conditions that agents reported to it.
  void onPeerConditions(std::span<const EngineConditionReport> Reports,
                        TimePoint Now);
  /// A peer's complete load report; replaces its previous one.
  void onPeerReport(std::string_view Peer, std::vector<InFlightReport> Report,
                    TimePoint Now);

  /// This node's load report for its peers.
  std::vector<InFlightReport> ownReport(TimePoint Now) const;
  /// The conditions that agents reported to this node, for its peers.
  std::vector<EngineConditionReport> ownConditions(TimePoint Now) const;
  /// The servers that told this node that they are leaving, for its peers.
  std::vector<ServerRun> ownLeaving(TimePoint Now) const {
    return Reports.toForward(Now);
  }
  /// What servers told this node about their rate limits, for its peers.
  std::vector<RateLimitReport> ownRateLimits(TimePoint Now) const {
    return Limits.toForward(Now);
  }
  /// What the store's entries said about cold servers, for its peers.
  std::vector<ColdReport> ownCold(TimePoint Now) const {
    return Cold.toForward(Now);
  }
  bool isStraggler(std::string_view Id, TimePoint Now) const;
  /// Whether the server is expected to end: it drains, has said that it leaves,
  /// or is no longer listed.
  bool isStopping(std::string_view Id) const;
  uint32_t inFlight(std::string_view Id) const;
  ServerCounts counts(TimePoint Now) const;
  /// One line per server, for the state dump.
  std::string describe(TimePoint Now) const;

private:
  struct Server {
    BackendInstance Entry;
    uint64_t Key = 0;
    uint32_t OwnInFlight = 0;
    uint32_t PeerInFlight = 0;
    ServerSpeed Speed;
    ServerHealth Health;
    // Another instance answered at its address.
    bool IsReplaced = false;
    // A newer instance is registered at the same address.
    bool IsSuperseded = false;
    // Copies of what Reports contains for this run.
    bool IsLeaving = false;
    TimePoint PausedUntil{};
    TimePoint NextReturnTrial{};
    // It has been paused and has not answered successfully since.
    bool IsReturning = false;
    bool HasMalformedField = false;
    // Copies of what is known of its data centre.
    bool IsEvacuated = false;
    std::string Region;

    ServerRun run() const { return {Key, Entry.BornMillis}; }
    bool isUsable() const {
      return !Entry.IsDraining && !IsReplaced && !IsSuperseded && !IsLeaving;
    }
    // Earliest time at which it may be sent a request, as far as it has asked
    // this node to pause.
    TimePoint pauseEnd() const {
      return IsReturning ? std::max(PausedUntil, NextReturnTrial) : PausedUntil;
    }
  };
  struct PeerReport {
    std::vector<InFlightReport> Counts;
    TimePoint At;
  };

  Server *find(std::string_view Id);
  void applyReports(Server &S) const;
  /// Adopts what the changed entry of \p S says about its warm-up.
  void applyWarmUp(const Server &S, bool IsNewRun, TimePoint Now);
  void logCold(const Server &S, std::string_view Source, TimePoint Now) const;
  /// Since when the group of the new run \p Entry has been closed by the word
  /// of agents; nothing if it is not.
  std::optional<TimePoint> groupClosedSince(const BackendInstance &Entry) const;
  /// Whether agents say of so many servers of \p Service that they are closed
  /// that the other unavailable ones need no trial: of more than half.
  bool areMostReportedClosed(std::string_view Service, TimePoint Now) const;
  /// Logs that \p S is leaving and excludes it.
  static void markLeaving(Server &S, std::string_view Source);
  static void applyCondition(Server &S, EngineCondition Condition,
                             std::string_view Source, TimePoint Now);
  void markSuperseded();
  std::string describeLimit(const Server &S) const;
  void logRateLimit(const ServerRun &Run, std::string_view Source) const;
  void recountPeers(TimePoint Now);
  void applyPlace(Server &S) const;
  /// Whether \p S belongs to \p Among or is excluded from it only for having
  /// failed the request.
  static bool isEligible(const Server &S, const Selection &Among);
  /// Whether \p S belongs to \p Among and may be sent requests at some time.
  static bool isCandidate(const Server &S, const Selection &Among);
  bool isBehindLostPath(const Server &S) const {
    return Paths.state(S.Entry.DataCentre) == PathState::Lost;
  }
  /// Whether servers behind lost paths are left out: only if \p Among has
  /// others.
  bool skipsLostPaths(const Selection &Among, TimePoint Now) const;
  UsualTimes usualTimesOf(std::string_view Service, TimePoint Now) const;
  const Server *bestOfSample(std::vector<const Server *> &Candidates,
                             const UsualTimes &Usual, TimePoint Now);
  const Server *lowestScore(std::span<const Server *const> Candidates,
                            const UsualTimes &Usual, TimePoint Now);
  double score(const Server &S, const UsualTimes &Usual, TimePoint Now);

  const std::string LocalDataCentre;
  std::mt19937_64 Random;
  std::map<std::string, Server, std::less<>> Servers;
  std::unordered_map<uint64_t, std::string> IdByKey;
  std::map<std::string, PeerReport, std::less<>> Peers;
  SelfReports Reports;
  RateLimits Limits;
  ColdServers Cold;
  std::map<std::string, WarmUp, std::less<>> WarmUps;
  // Data centre -> region.
  std::map<std::string, std::string, std::less<>> Regions;
  DataCentreSet Evacuated;
  uint64_t PlacesVersion = 0;
  PathHealth Paths;
  // Service -> time of the next trial request while no server is available.
  std::map<std::string, TimePoint, std::less<>> NextTrials;
};

} // namespace ragwort::dispatch

#endif
