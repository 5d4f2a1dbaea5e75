//===- LinkLoad.h - Whether the node's own link is full -------------------===//
//
// Tells a full link from slow callers: on a full link most of the callers that
// are being answered wait at the same time.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_LINKLOAD_H
#define RAGWORT_DISPATCH_LINKLOAD_H

#include "ragwort/base/Time.h"
#include <cstddef>

namespace ragwort::dispatch {

/// The callers that are being answered, at one moment.
struct LinkBacklog {
  size_t Answering = 0;
  /// Those of them for whom the node holds bytes that it cannot pass on.
  size_t Waiting = 0;
  /// These bytes.
  size_t Bytes = 0;
};

/// \code
///   LinkLoad Link(LinkMbps);
///   Link.update(Backlog); // A few times a second.
///   if (Link.isFull()) refuse();
/// \endcode
class LinkLoad {
public:
  /// Backlog from which new requests are refused, and to which they are
  /// accepted again.
  static constexpr Duration FullFrom = std::chrono::milliseconds(350);
  static constexpr Duration FullUntil = FullFrom / 2;
  /// Fewer waiting callers than this never make a link full.
  static constexpr size_t MinWaiting = 4;

  /// \p Mbps is the bandwidth in Mbit/s; 0 if unknown.
  explicit LinkLoad(double Mbps) : Mbps(Mbps) {}

  void update(const LinkBacklog &Backlog);
  /// The time that the link needs to pass on the backlog.
  Duration queued() const { return Queued; }
  bool isFull() const { return IsFull; }

private:
  const double Mbps;
  Duration Queued{0};
  bool IsFull = false;
};

} // namespace ragwort::dispatch

#endif
