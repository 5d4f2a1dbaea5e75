//===- LoadTracker.h - Load and health of backend servers -----------------===//
//-------------------===//
//
// Chooses the backend server for a request. The load it answers to is what the
// fleet has in flight at each server: this node's requests exactly, the other
// nodes' from their heartbeats. Streams show how fast a server works: pauses
// between events are shared by the nodes, since each sees only a few of them. A
// straggler, a slow rank that holds a whole group back, is left out while most
// servers of its service are none. Servers that fail are left out for a while
// and come back by trial; at most half of a service is left out at a time.
// Servers that say that they cannot work, or whose agents say so, are left
// alone even if all do. The agents' word, or else one trial at a time, shows
// when they are back.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_LOADTRACKER_H
#define RAGWORT_GATEWAY_LOADTRACKER_H

#include "ragwort/gateway/BackendDirectory.h"
#include <random>
#include <span>
#include <unordered_map>

namespace ragwort::gateway {

/// How a send failed, as evidence about its server.
enum class ServerFault : uint8_t {
  /// No connection, or the connection broke.
  Unreachable,
  /// No byte within the time that the service usually takes.
  TimedOut,
  /// Bytes that are no answer to the request.
  Malformed,
  /// An answer that reports a failure.
  Failure,
  /// It has not run the request since its group is broken or it is leaving.
  Unavailable,
  /// It has not run the request since its queue is full.
  Full,
};

/// What the agent beside an engine says of it.
enum class EngineCondition : uint8_t {
  /// It is so slow that its group waits for it in every pass.
  Straggles,
  /// Its group is broken or not formed yet: it declines what it is sent.
  Closed,
  /// Its group has just opened.
  Opened,
};

std::string_view toString(EngineCondition Value);

/// The same, as nodes pass it on to each other.
struct EngineConditionReport {
  uint64_t InstanceKey = 0;
  EngineCondition Condition = EngineCondition::Straggles;

  friend bool operator==(const EngineConditionReport &,
                         const EngineConditionReport &) = default;
};

/// What a peer sees of one server at which it has requests in flight.
struct InFlightReport {
  uint64_t InstanceKey = 0;
  uint32_t Count = 0;
  /// Usual pause between two events of the peer's streams there, 0 while
  /// unknown.
  uint32_t GapMillis = 0;
};

/// A server to send to. Valid until the load tracker next changes.
struct Choice {
  const BackendInstance *Server = nullptr;
  /// Requests in flight there by the fleet's view, without this one.
  uint32_t InFlight = 0;
  /// It has a free slot by that view.
  bool HasFreeSlot = false;
};

class LoadTracker {
public:
  /// Heartbeats older than this no longer count.
  static constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);
  /// Pauses between events seen longer ago than this no longer count.
  static constexpr Duration GapLifetime = std::chrono::milliseconds(1500);
  /// An agent repeats its notice several times within this time.
  static constexpr Duration NoticeLifetime = std::chrono::milliseconds(700);
  /// That a group has opened is passed on for this long, which is longer than
  /// nodes take from one heartbeat to the next.
  static constexpr Duration OpenedLifetime = std::chrono::milliseconds(300);
  /// First time that a failing server is left out; doubles up to MaxEjection.
  static constexpr Duration FirstEjection = std::chrono::milliseconds(1000);
  static constexpr Duration MaxEjection = std::chrono::milliseconds(8000);
  /// A server that waits for its group is tried again after this time. Groups
  /// form in seconds, and a declined trial costs a few milliseconds.
  static constexpr Duration TrialInterval = std::chrono::milliseconds(300);

  LoadTracker(std::string LocalDataCentre, uint64_t Seed)
      : LocalDataCentre(std::move(LocalDataCentre)), Random(Seed) {}

  /// Takes the directory's entries; what is known of servers that stay is kept.
  void sync(const BackendDirectory &Directory);

  /// The least loaded usable server of \p Service that is not in \p Excluded.
  std::optional<Choice> choose(std::string_view Service,
                               std::span<const std::string> Excluded,
                               TimePoint Now);
  /// Whether the service has servers, none of which works at the moment.
  bool isRecovering(std::string_view Service) const;

  void onStarted(std::string_view Id, TimePoint Now);
  void onEnded(std::string_view Id);
  /// The server answered with success after \p Latency.
  void onAnswered(std::string_view Id, Duration Latency, TimePoint Now);
  /// A stream's event came from the server \p Gap after the one before it.
  void onEvent(std::string_view Id, Duration Gap, TimePoint Now);
  void onFault(std::string_view Id, ServerFault Fault, TimePoint Now);
  /// Another instance answered at the server's address: it is gone, whatever
  /// the list of servers still says.
  void onReplaced(std::string_view Id);
  /// What the agent beside the server at \p Address says.
  void onEngineNotice(std::string_view Address, EngineCondition Condition,
                      TimePoint Now);
  /// What agents have told a peer.
  void onPeerConditions(std::span<const EngineConditionReport> Words,
                        TimePoint Now);
  /// A peer's whole report.
  void onPeerReport(std::string_view Peer, std::vector<InFlightReport> Report,
                    TimePoint Now);

  /// This node's report for its peers.
  std::vector<InFlightReport> ownReport(TimePoint Now) const;
  /// What agents have told this node, for its peers.
  std::vector<EngineConditionReport> ownConditions(TimePoint Now) const;
  bool isStraggler(std::string_view Id, TimePoint Now) const;
  uint32_t inFlight(std::string_view Id) const;
  /// One line a server, for the state dump.
  std::string describe(TimePoint Now) const;

private:
  struct Server {
    BackendInstance Entry;
    uint64_t Key = 0;
    uint32_t Own = 0;
    uint32_t OfPeers = 0;
    // Share of failures among recent answers, between 0 and 1.
    double FailureRate = 0;
    // Recent answers' latency in milliseconds, 0 before the first.
    double LatencyMillis = 0;
    // Recent pauses between events of this node's streams, 0 before the first.
    double OwnGapMillis = 0;
    TimePoint GapSeenAt{};
    // Peers' mean pause, weighted by their requests; 0 while unknown.
    double PeerGapMillis = 0;
    TimePoint EjectedUntil{};
    Duration NextEjection = FirstEjection;
    // It has said that it cannot work, and has not answered since.
    bool IsUnavailable = false;
    TimePoint UnavailableSince{};
    TimePoint NextTrial{};
    // What its agent has told this node; passed on until then.
    EngineCondition Told = EngineCondition::Straggles;
    TimePoint ToldUntil{};
    // Its agent's word to be a straggler, from whomever, counts until then.
    TimePoint StragglerUntil{};
    // Seen gone at its address.
    bool IsReplaced = false;
    // A newer instance is registered at the same address.
    bool IsSuperseded = false;

    bool isUsable() const {
      return !Entry.IsDraining && !IsReplaced && !IsSuperseded;
    }
  };
  struct PeerReport {
    std::vector<InFlightReport> Counts;
    TimePoint At;
  };

  Server *find(std::string_view Id);
  static void take(Server &S, EngineCondition Condition,
                   std::string_view Source, TimePoint Now);
  static void markStraggler(Server &S, std::string_view Source, TimePoint Now);
  static void markClosed(Server &S, std::string_view Source, TimePoint Now);
  static void markOpened(Server &S, std::string_view Source);
  void markSuperseded();
  void eject(Server &S, TimePoint Now);
  /// What servers of a service that work well take, 0 while unknown.
  struct UsualTimes {
    double LatencyMillis = 0;
    double GapMillis = 0;
  };

  void recountPeers(TimePoint Now);
  UsualTimes usualTimes(std::string_view Service, TimePoint Now) const;
  static double ownGapMillis(const Server &S, TimePoint Now);
  static double gapMillis(const Server &S, TimePoint Now);
  static double slowness(const Server &S, const UsualTimes &Usual,
                         TimePoint Now);
  const Server *bestOfFew(std::vector<const Server *> &Candidates,
                          const UsualTimes &Usual, TimePoint Now);
  const Server *bestOf(std::span<const Server *const> Candidates,
                       const UsualTimes &Usual, TimePoint Now);
  double score(const Server &S, const UsualTimes &Usual, TimePoint Now);

  const std::string LocalDataCentre;
  std::mt19937_64 Random;
  std::map<std::string, Server, std::less<>> Servers;
  std::unordered_map<uint64_t, std::string> IdOfKey;
  std::map<std::string, PeerReport, std::less<>> Peers;
  // By service: when the next trial may be made while no server works.
  std::map<std::string, TimePoint, std::less<>> NextTrials;
};

} // namespace ragwort::gateway

#endif
