//===- RateLimits.h - Rates that servers take from all nodes together -----===//
//
// A server may state how many requests a second it takes from the whole fleet.
// A few nodes, the same ones from every node's point of view, share the rate in
// equal parts; the others send the server nothing. So the fleet stays within
// the limit without messages between the nodes for each request.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_RATELIMITS_H
#define RAGWORT_DISPATCH_RATELIMITS_H

#include "ragwort/dispatch/SelfReports.h"
#include <optional>
#include <unordered_map>
#include <vector>

namespace ragwort::dispatch {

/// What a server said about its rate limit, as nodes tell it to each other.
struct RateLimitReport {
  ServerRun Run;
  /// Requests per 1,000 seconds; nothing if the server no longer has a limit.
  std::optional<uint32_t> MilliPerSecond;
  /// Time since the server said it.
  uint16_t AgeMillis = 0;
};

/// \code
///   Limits.setNodes(Self, Peers, Now);
///   Limits.onStated(Run, 2.5, Now);
///   if (Limits.maySend(Run, Now))
///     Limits.onSent(Run, Now);
/// \endcode
class RateLimits {
public:
  /// Lower limits are raised to this, since only answers show that a limit has
  /// been lifted.
  static constexpr double MinPerSecond = 0.25;
  /// Higher limits are lowered to this; no fleet sends a server more.
  static constexpr double MaxPerSecond = 1'000'000;
  /// Maximum number of runs of servers that are remembered; the one that was
  /// heard least recently makes room.
  static constexpr size_t MaxRuns = 1024;
  /// Time for which this node tells its peers what a server said.
  static constexpr Duration ForwardTime = std::chrono::milliseconds(2000);

  /// The nodes that share the limits, as hashes of their addresses.
  void setNodes(uint64_t Self, std::vector<uint64_t> Peers, TimePoint Now);
  /// A server told this node its limit, or answered without one. \returns
  /// whether that changes the limit.
  bool onStated(const ServerRun &Run, std::optional<double> PerSecond,
                TimePoint Now);
  /// A peer forwarded what a server said. \returns whether the limit changes.
  bool onPeerReport(const RateLimitReport &Report, TimePoint Now);

  std::optional<double> limit(const ServerRun &Run) const;
  /// The part of the limit that is this node's, in requests per second; nothing
  /// if there is no limit.
  std::optional<double> ownRate(const ServerRun &Run) const;
  /// The earliest time at which this node may send to the server: the epoch
  /// without a limit, TimePoint::max() if the limit is left to other nodes.
  TimePoint nextSend(const ServerRun &Run) const;
  bool maySend(const ServerRun &Run, TimePoint Now) const {
    return Entries.empty() || Now >= nextSend(Run);
  }
  void onSent(const ServerRun &Run, TimePoint Now);

  /// What servers said to this node, for its peers.
  std::vector<RateLimitReport> toForward(TimePoint Now) const;
  size_t size() const { return Entries.size(); }
  size_t nodeCount() const { return Peers.size() + 1; }

private:
  struct Entry {
    uint64_t BornMillis = 0;
    std::optional<double> PerSecond;
    TimePoint StatedAt{};
    // When the server last said so to this node.
    std::optional<TimePoint> HeardAt;
    // 0 if this node is no owner.
    double OwnRate = 0;
    TimePoint NextSend{};
  };

  bool apply(const ServerRun &Run, std::optional<double> PerSecond,
             TimePoint StatedAt, TimePoint Now);
  void updateOwnRate(uint64_t InstanceKey, Entry &E, TimePoint Now) const;
  /// A fraction of an owner's interval that differs between nodes.
  double phase(uint64_t InstanceKey) const;
  const Entry *find(const ServerRun &Run) const;

  uint64_t Self = 0;
  // Sorted.
  std::vector<uint64_t> Peers;
  // By instance key.
  std::unordered_map<uint64_t, Entry> Entries;
};

} // namespace ragwort::dispatch

#endif
