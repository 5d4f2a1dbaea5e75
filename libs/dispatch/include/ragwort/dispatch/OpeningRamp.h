//===- OpeningRamp.h - Lets waiting requests into a group that opens ------===//
//
// When a group of ranks opens, requests wait for it at every node, and no node
// sees yet what the others send. From the first available server on, each node
// sends at the rate of its part of the slots of the available servers. So the
// fleet takes one Length to fill them, in which loads become known.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_OPENINGRAMP_H
#define RAGWORT_DISPATCH_OPENINGRAMP_H

#include "ragwort/base/Time.h"
#include <cstddef>
#include <cstdint>
#include <optional>

namespace ragwort::dispatch {

/// \code
///   Ramp.onClosed();
///   ...
///   if (Ramp.isPending() && Ramp.onAvailable(Slots, Nodes, Now))
///     log();
///   if (Ramp.maySend())
///     Ramp.onSent();
/// \endcode
class OpeningRamp {
public:
  /// Time in which the fleet sends as many requests as there are slots; several
  /// heartbeats.
  static constexpr Duration Length = std::chrono::milliseconds(1000);

  /// \p Seed differs between nodes, so that they do not begin together.
  explicit OpeningRamp(uint64_t Seed);

  /// All servers are unavailable, by the word of agents.
  void onClosed();
  /// Servers with \p Slots slots in all are available to \p Nodes nodes.
  /// \returns whether the ramp begins.
  bool onAvailable(uint32_t Slots, size_t Nodes, TimePoint Now);
  /// Whether onAvailable() has to be called.
  bool isPending() const { return IsClosed || Began; }
  /// Whether sends are limited.
  bool isActive() const { return Began.has_value(); }
  bool maySend() const { return !Began || Turns >= 1; }
  void onSent();

private:
  const double FirstTurns;
  bool IsClosed = false;
  std::optional<TimePoint> Began;
  TimePoint CountedUntil{};
  // Requests that may be sent now. Invariant: below 2, so that nothing is saved
  // up.
  double Turns = 0;
};

} // namespace ragwort::dispatch

#endif
