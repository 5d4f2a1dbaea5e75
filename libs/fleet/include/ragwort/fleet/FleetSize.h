//===- FleetSize.h - Number of nodes that share an allowance --------------===//
//
// Each node uses an equal share of what the whole fleet may do, without asking
// the others. So a node must not count too few of them: not after its own
// start, when it has not heard the others yet and its previous run may have
// used its share already, and not while it is cut off from them.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_FLEETSIZE_H
#define RAGWORT_FLEET_FLEETSIZE_H

#include "ragwort/base/Time.h"
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::fleet {

/// \code
///   FleetSize Fleet(std::chrono::seconds(10), Now);
///   Fleet.onHeard("10.0.0.2", Now);
///   if (auto Nodes = Fleet.nodes(Now)) Share = Allowance / *Nodes;
/// \endcode
class FleetSize {
public:
  /// A peer without a heartbeat for this long counts as silent. Longer than the
  /// usual cuts in a network: nodes that are cut off still use their shares,
  /// while the shares of nodes that are gone are only missing for a time.
  static constexpr Duration SilentAfter = std::chrono::minutes(10);

  /// \p Window is the time over which the fleet's allowance is measured.
  FleetSize(Duration Window, TimePoint Start)
      : Window(Window), KnownFrom(Start + Window) {}

  /// A peer whose address became known, for example from another peer.
  void onNamed(std::string_view Peer, TimePoint Now);
  void onHeard(std::string_view Peer, TimePoint Now);
  /// The peer has announced that it stops. It counts for one more window, as it
  /// may have used its share until now.
  void onLeaving(std::string_view Peer, TimePoint Now);
  /// Number of nodes, including this one; nothing within the first window.
  /// Silent peers do not count while this node hears most of the others: of two
  /// parts of a divided fleet, only the larger one may take over the shares of
  /// the other.
  std::optional<size_t> nodes(TimePoint Now);

private:
  const Duration Window;
  const TimePoint KnownFrom;
  // By peer: until when it counts without doubt.
  std::map<std::string, TimePoint, std::less<>> CountsUntil;
};

} // namespace ragwort::fleet

#endif
