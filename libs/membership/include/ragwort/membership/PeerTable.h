//===- PeerTable.h - Liveness and last reported state of peers ------------===//
//
// The set of peers comes from the settings and from the platform's list, which
// lags behind. Liveness, which decides whether a peer gets work, comes only
// from what the peers themselves send.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_MEMBERSHIP_PEERTABLE_H
#define RAGWORT_MEMBERSHIP_PEERTABLE_H

#include "ragwort/base/Address.h"
#include "ragwort/base/Ids.h"
#include "ragwort/base/Time.h"
#include "ragwort/wire/Messages.h"
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwort::membership {

/// A peer that is named in the settings or in the platform's list.
struct PeerIdentity {
  std::string Name;
  Address PeerAddress;
  std::string DataCentre;
  std::string Service;
  bool IsAgent = false;
};

/// Liveness of a peer, derived from its heartbeats and load reports only.
enum class Liveness : uint8_t {
  /// No heartbeat or load report received since the peer was listed.
  Unheard,
  Alive,
  /// Nothing received for longer than the suspicion timeout.
  Suspect,
  /// Alive, and completing its current work before it stops.
  Leaving,
};

std::string_view toString(Liveness Value);

/// The last known state of a peer.
struct PeerView {
  PeerIdentity Identity;
  Incarnation CurrentIncarnation;
  Liveness State = Liveness::Unheard;
  wire::LoadReport Load;
  TimePoint LastHeard{};
  uint64_t ConfigVersion = 0;
};

/// \code
///   PeerTable Peers("entry-1", std::chrono::seconds(2));
///   Peers.setPeers(Identities);
///   Peers.onHeartbeat(Heartbeat, Now);
///   for (const PeerView &P : Peers.views(Now)) ...
/// \endcode
class PeerTable {
public:
  PeerTable(std::string Self, Duration SuspectAfter);

  /// Replaces the set of known peers. The state of peers that remain is kept,
  /// except for a peer whose address changed, whose state is reset.
  void setPeers(std::span<const PeerIdentity> Peers);
  void setSuspectAfter(Duration Limit) { SuspectAfter = Limit; }

  /// Records a heartbeat. \returns false if it was dropped because it is
  /// addressed to another node, comes from an unknown peer or a replaced
  /// incarnation, or is duplicated or out of order.
  bool onHeartbeat(const wire::Heartbeat &Heartbeat, TimePoint Now);

  /// Records a load report that arrived with an answer.
  void onLoadReport(std::string_view Name, const wire::LoadReport &Load,
                    TimePoint Now);

  /// Records the incarnation from the hello message of a new connection. It
  /// overrides the one in any datagram: a hello comes from the running process,
  /// a datagram may have been sent by an earlier one.
  void onHello(std::string_view Name, Incarnation Current);

  std::vector<PeerView> views(TimePoint Now) const;
  /// The alive or leaving peer with the highest configuration version, or null
  /// if there is no such peer.
  const PeerView *newestConfig(TimePoint Now) const;
  size_t size() const { return Peers.size(); }

private:
  struct Peer {
    PeerView View;
    uint64_t LastSequence = 0;
    bool IsHeard = false;
    // Earlier incarnations of the peer; datagrams from them are dropped.
    std::vector<Incarnation> Retired;
  };

  void replaceIncarnation(Peer &P, Incarnation New);
  Liveness livenessOf(const Peer &P, TimePoint Now) const;

  const std::string Self;
  Duration SuspectAfter;
  std::map<std::string, Peer, std::less<>> Peers;
};

} // namespace ragwort::membership

#endif
