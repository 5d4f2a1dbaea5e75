//===- PeerTable.h - Which peers live and what they last said -------------===//
//
// Fed by heartbeats and by the platform's lagging list. Heartbeats decide who
// gets work; the list only says whom to ask.
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

/// A peer that the settings or the platform's list name.
struct PeerIdentity {
  std::string Name;
  Address PeerAddress;
  std::string DataCentre;
  std::string Service;
  bool IsAgent = false;
};

/// Liveness of a peer, by heartbeats alone.
enum class Liveness : uint8_t {
  /// Never heard since it was listed.
  Unheard,
  Alive,
  /// Silent for longer than the limit.
  Suspect,
  /// Alive and finishing its work before it stops.
  Leaving,
};

std::string_view toString(Liveness Value);

/// What is known of one peer.
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
///   Peers.onHeartbeat(Beat, Now);
///   for (const PeerView &P : Peers.views(Now)) ...
/// \endcode
class PeerTable {
public:
  PeerTable(std::string Self, Duration SuspectAfter);

  /// Replaces the set of known peers; what is known of those that stay is
  /// kept. A peer whose address changed starts anew.
  void setPeers(std::span<const PeerIdentity> Peers);
  void setSuspectAfter(Duration Limit) { SuspectAfter = Limit; }

  /// Takes a heartbeat. \returns false when it is for another node, from an
  /// unknown one, out of order, or from an incarnation that was replaced.
  bool onHeartbeat(const wire::Heartbeat &Beat, TimePoint Now);

  /// Takes the load that came with an answer.
  void onLoadReport(std::string_view Name, const wire::LoadReport &Load,
                    TimePoint Now);

  /// The current incarnation as a fresh connection's hello says it. A hello
  /// comes from the live process, so it outranks any datagram.
  void onHello(std::string_view Name, Incarnation Current);

  std::vector<PeerView> views(TimePoint Now) const;
  /// The highest configuration version heard and a live peer that has it.
  const PeerView *newestConfig(TimePoint Now) const;
  size_t size() const { return Peers.size(); }

private:
  struct Peer {
    PeerView View;
    uint64_t LastSequence = 0;
    bool IsHeard = false;
    // Incarnations that were replaced; their late datagrams are dropped.
    std::vector<Incarnation> Retired;
  };

  void replaceIncarnation(Peer &P, Incarnation Fresh);
  Liveness livenessOf(const Peer &P, TimePoint Now) const;

  const std::string Self;
  Duration SuspectAfter;
  std::map<std::string, Peer, std::less<>> Peers;
};

} // namespace ragwort::membership

#endif
