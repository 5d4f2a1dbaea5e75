//===- Backends.h - The backend servers that an entry node uses -----------===//
//
// Chooses a backend server for each request from liveness, load, recent
// failures and the estimated location of cached prompt prefixes. Does no I/O
// and is not thread-safe; EntryNode guards it with a mutex.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_BACKENDS_H
#define RAGWORT_ENTRY_BACKENDS_H

#include "ragwort/membership/PeerTable.h"
#include "ragwort/routing/AffinityTable.h"
#include "ragwort/routing/Choosers.h"
#include "ragwort/routing/CircuitBreaker.h"
#include "ragwort/routing/Retry.h"
#include "ragwort/settings/FleetSettings.h"
#include <set>

namespace ragwort::entry {

/// A chosen backend server, identified by its agent.
struct Choice {
  std::string Agent;
  Address AgentAddress;
  Incarnation AgentIncarnation;
};

/// Properties of a request that the choice depends on.
struct ChoiceQuery {
  std::string Service;
  /// Zero if prefix affinity does not apply to the request.
  routing::PrefixKey Prefix = 0;
  /// Prefill time that a cached prefix saves, in seconds.
  double PrefillSeconds = 0;
  /// Agents that must not be chosen, such as those already tried.
  std::set<std::string> Excluded;
};

/// How a request to a backend server ended, as far as it matters for routing.
enum class CallEnd : uint8_t { Answered, Refused, Failed };

/// State of a backend server, for the admin interface.
struct BackendRow {
  membership::PeerView Peer;
  uint32_t Outstanding = 0;
  std::string_view Breaker;
};

/// \code
///   Backends Table("entry-1", "dc-a", Seed);
///   Table.configure(Fleet, ListedPeers);
///   std::optional<Choice> C = Table.choose(Query, Now);
///   Table.onSent(*C, Query, Now); ... Table.onEnd(C->Agent, End, Load, Now);
/// \endcode
class Backends {
public:
  Backends(std::string Self, std::string DataCentre, uint64_t Seed);

  /// Recomputes the subset of backend servers that this node uses from the
  /// settings and from the platform's list of instances.
  void configure(const settings::FleetSettings &Fleet,
                 std::span<const membership::PeerIdentity> ListedPeers);

  /// Records a heartbeat. \returns false if it was dropped; see
  /// membership::PeerTable::onHeartbeat().
  bool onHeartbeat(const wire::Heartbeat &Heartbeat, TimePoint Now);
  /// Records the incarnation from the hello message of a new connection.
  void onHello(std::string_view Agent, Incarnation Current);

  /// Chooses a backend server by the configured policy. Empty if none is
  /// available.
  std::optional<Choice> choose(const ChoiceQuery &Query, TimePoint Now);
  /// Records that a request is sent. Call onEnd() when it has ended.
  void onSent(const Choice &C, const ChoiceQuery &Query, TimePoint Now);
  /// Records how a request ended. \p Load is the load report that came with the
  /// answer, or null.
  void onEnd(const std::string &Agent, CallEnd End,
             const wire::LoadReport *Load, TimePoint Now);

  /// Peers to send heartbeats to.
  std::vector<membership::PeerView> peers(TimePoint Now) const {
    return Peers.views(Now);
  }
  std::vector<BackendRow> rows(TimePoint Now) const;
  /// Whether every service that has agents in the subset has a live one.
  bool coversServices(TimePoint Now) const;
  routing::Random &random() { return Rng; }

private:
  /// State that this node keeps for each backend server.
  struct BackendState {
    uint32_t Outstanding = 0;
    uint32_t SentSinceReport = 0;
    double SuccessRate = 1;
    routing::CircuitBreaker Breaker{routing::BreakerLimits()};
    Incarnation LastIncarnation;
  };

  std::vector<membership::PeerIdentity>
  subsetOf(const settings::FleetSettings &Fleet,
           std::span<const membership::PeerIdentity> Agents) const;
  /// Resets what a restart of the agent invalidates.
  void updateIncarnation(const std::string &Agent, Incarnation Current);

  const std::string Self;
  const std::string DataCentre;
  routing::Random Rng;
  membership::PeerTable Peers;
  routing::AffinityTable Affinity;
  routing::AnyChooser Chooser;
  std::map<std::string, BackendState> States;
};

} // namespace ragwort::entry

#endif
