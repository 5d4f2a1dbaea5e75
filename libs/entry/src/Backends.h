//===- Backends.h - The backend servers that an entry node uses -----------===//
//
// Combines liveness, load, failures and prefix beliefs into a choice. Pure and
// not synchronized; EntryNode guards it.
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

/// A chosen backend server, by its agent.
struct Choice {
  std::string Agent;
  Address AgentAddress;
  Incarnation AgentIncarnation;
};

/// What the choice depends on.
struct ChoiceQuery {
  std::string Service;
  routing::PrefixKey Prefix = 0;
  double PrefillSeconds = 0;
  /// Agents that were tried already.
  std::set<std::string> Excluded;
};

/// How a request at a backend server ended, for routing.
enum class CallEnd : uint8_t { Answered, Refused, Failed };

/// One row of the state dump.
struct BackendRow {
  membership::PeerView Peer;
  uint32_t Outstanding = 0;
  std::string_view Breaker;
};

/// \code
///   Backends Table("entry-1", "dc-a", Rng);
///   Table.configure(Fleet, Listed);
///   std::optional<Choice> C = Table.choose(Query, Now);
///   Table.onSent(*C, Query, Now); ... Table.onEnd(C->Agent, End, Load, Now);
/// \endcode
class Backends {
public:
  Backends(std::string Self, std::string DataCentre, uint64_t Seed);

  /// Recomputes the subset from the settings and the platform's list.
  void configure(const settings::FleetSettings &Fleet,
                 std::span<const membership::PeerIdentity> ListedPeers);

  bool onHeartbeat(const wire::Heartbeat &Heartbeat, TimePoint Now);
  void onHello(std::string_view Agent, Incarnation Current);

  std::optional<Choice> choose(const ChoiceQuery &Query, TimePoint Now);
  void onSent(const Choice &C, const ChoiceQuery &Query, TimePoint Now);
  void onEnd(const std::string &Agent, CallEnd End,
             const wire::LoadReport *Load, TimePoint Now);

  /// Peers to send heartbeats to.
  std::vector<membership::PeerView> peers(TimePoint Now) const {
    return Peers.views(Now);
  }
  std::vector<BackendRow> rows(TimePoint Now) const;
  /// Whether every service that has agents has a live one.
  bool coversServices(TimePoint Now) const;
  routing::Random &random() { return Rng; }

private:
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
