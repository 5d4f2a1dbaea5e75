//===- ColdServers.h - What servers bear that have just started -----------===//
//
// A cold server falls over if all nodes together send it more than a certain
// number of requests in one second. Each node has a whole number of sends in
// any one second; those of all nodes together are within the limit, however
// their moments fall. Afterwards the limit grows until it ends.
//
// Pure: without sockets, clocks and threads. See docs/design/cold-servers.md.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_COLDSERVERS_H
#define RAGWORT_DISPATCH_COLDSERVERS_H

#include "ragwort/base/Time.h"
#include "ragwort/dispatch/SelfReports.h"
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ragwort::dispatch {

/// How the servers of a service warm up.
struct WarmUp {
  /// Time for which a server is cold after its start.
  Duration Length{0};
  /// Requests a second that a cold server takes from all nodes together.
  double PerSecond = 0;

  friend bool operator==(const WarmUp &, const WarmUp &) = default;
};

/// A run that is cold, as nodes tell it to each other.
struct ColdReport {
  ServerRun Run;
  uint32_t RemainingMillis = 0;
};

/// \code
///   Cold.setNodes(Self, Peers, Count);
///   Cold.setCold(Run, PerSecond, Now + Remaining);
///   if (Cold.maySend(Run, Now))
///     Cold.onSent(Run, Now);
/// \endcode
class ColdServers {
public:
  /// The time over which sends are counted. A little longer than the second of
  /// the limit, since a request may take longer to arrive than the next one.
  static constexpr Duration Window = std::chrono::milliseconds(1010);
  /// After the cold time the limit grows by its first value each GrowthStep,
  /// and ends after GrowthTime.
  static constexpr Duration GrowthStep = std::chrono::milliseconds(250);
  static constexpr Duration GrowthTime = std::chrono::milliseconds(2000);
  /// Time for which this node tells its peers what the store's entry said.
  static constexpr Duration ForwardTime = std::chrono::milliseconds(2000);

  /// All nodes that this node knows, except those that said that they leave, as
  /// hashes of their addresses. \p Count is their number with this one, and
  /// with those of which no address is known any more; nothing if this node has
  /// not been there long enough to know.
  void setNodes(uint64_t Self, std::vector<uint64_t> Peers,
                std::optional<size_t> Count);
  /// The store's entry says that \p Run is cold until \p Until, or that it is
  /// not cold if that has passed. \returns whether it becomes cold.
  bool onEntry(const ServerRun &Run, double PerSecond, TimePoint Until,
               TimePoint Now);
  /// The same from a peer, which never shortens the time.
  bool onPeerReport(const ServerRun &Run, double PerSecond, TimePoint Until,
                    TimePoint Now);
  /// The server has gone, or its service no longer has a limit.
  void forget(uint64_t InstanceKey) { Entries.erase(InstanceKey); }

  bool isCold(const ServerRun &Run, TimePoint Now) const;
  /// Sends that this node has in any one second; nothing without a limit.
  std::optional<size_t> ownSends(const ServerRun &Run, TimePoint Now) const;
  /// The earliest time at which this node may send to the server; the epoch
  /// without a limit.
  TimePoint nextSend(const ServerRun &Run, TimePoint Now) const;
  bool maySend(const ServerRun &Run, TimePoint Now) const {
    return Entries.empty() || nextSend(Run, Now) <= Now;
  }
  void onSent(const ServerRun &Run, TimePoint Now);

  /// What this node read about cold servers, for its peers.
  std::vector<ColdReport> toForward(TimePoint Now) const;

private:
  struct Entry {
    uint64_t BornMillis = 0;
    double PerSecond = 0;
    TimePoint ColdUntil{};
    // When this node read it, and what it read.
    std::optional<TimePoint> ReadAt;
    TimePoint ReadUntil{};
    // Times of this node's sends within the last Window, oldest first.
    std::deque<TimePoint> Sends;
  };

  /// The entry for \p Run or a later one; nothing if the run given is earlier
  /// than the one known.
  Entry *entryFor(const ServerRun &Run);
  /// The entry that limits \p Run: a later run known from a peer does too,
  /// since it has the same address.
  const Entry *find(const ServerRun &Run) const;
  size_t part(uint64_t InstanceKey, const Entry &E, TimePoint Now) const;

  uint64_t Self = 0;
  std::vector<uint64_t> Peers;
  std::optional<size_t> Count;
  // By instance key.
  std::unordered_map<uint64_t, Entry> Entries;
};

} // namespace ragwort::dispatch

#endif
