//===- Rendezvous.h - Which nodes own a part of a server's allowance ------===//
//
// All nodes that know of each other rank the nodes for a server alike, without
// a message. See docs/design/rate-limits.md.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_RENDEZVOUS_H
#define RAGWORT_DISPATCH_RENDEZVOUS_H

#include "ragwort/base/Hash.h"
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>

namespace ragwort::dispatch {

/// The rank of \p Node for the server \p InstanceKey.
inline uint64_t rendezvousRank(uint64_t Node, uint64_t InstanceKey) {
  return hash64({reinterpret_cast<const char *>(&Node), sizeof(Node)},
                InstanceKey);
}

/// How many of \p Peers rank higher than \p Self.
///
/// \code
///   bool IsOwner = nodesBefore(Self, Peers, Key) < Owners;
/// \endcode
inline size_t nodesBefore(uint64_t Self, std::span<const uint64_t> Peers,
                          uint64_t InstanceKey) {
  uint64_t Own = rendezvousRank(Self, InstanceKey);
  return static_cast<size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](uint64_t Peer) {
        return rendezvousRank(Peer, InstanceKey) > Own;
      }));
}

} // namespace ragwort::dispatch

#endif
