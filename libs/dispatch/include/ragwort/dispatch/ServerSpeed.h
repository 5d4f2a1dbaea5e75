//===- ServerSpeed.h - How fast a server has been lately ------------------===//
//
// Moving averages of a server's latency and of the pauses between the events of
// its streams. Nodes share the pauses, because each sees only a few streams.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_SERVERSPEED_H
#define RAGWORT_DISPATCH_SERVERSPEED_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <span>

namespace ragwort::dispatch {

/// Latency and pause of the faster servers of a service; 0 if unknown.
struct UsualTimes {
  double LatencyMillis = 0;
  double GapMillis = 0;
};

/// \code
///   Speed.addGap(Gap, Now);
///   if (Speed.slowness(usualTimes(AllSpeeds, Now), Now) > 2) ...
/// \endcode
class ServerSpeed {
public:
  /// Pauses between events are ignored after this time.
  static constexpr Duration GapLifetime = std::chrono::milliseconds(1500);
  /// Upper bound of slowness().
  static constexpr double MaxSlowness = 4.0;

  void addLatency(Duration Latency);
  /// An event came \p Gap after the previous one.
  void addGap(Duration Gap, TimePoint Now);
  void clearPeerGaps();
  /// A peer with \p Requests at the server reported its average pause.
  void addPeerGap(uint32_t GapMillis, uint32_t Requests);

  /// 0 before the first answer.
  double latencyMillis() const { return LatencyMillis; }
  /// The average pause of this node's streams; 0 if unknown.
  double ownGapMillis(TimePoint Now) const;
  /// The longer of this node's and the peers' average pause; 0 if unknown.
  double gapMillis(TimePoint Now) const;
  /// How many times longer than usual the server takes, at least 1.
  double slowness(const UsualTimes &Usual, TimePoint Now) const;

private:
  double LatencyMillis = 0;
  double OwnGapMillis = 0;
  TimePoint GapSeenAt{};
  // Mean of the peers' pauses, weighted by their requests.
  double PeerGapMillis = 0;
  uint32_t PeerRequests = 0;
};

UsualTimes usualTimes(std::span<const ServerSpeed *const> Speeds,
                      TimePoint Now);

/// Weight of the newest value in the moving averages of a server.
inline constexpr double AverageWeight = 0.2;

} // namespace ragwort::dispatch

#endif
