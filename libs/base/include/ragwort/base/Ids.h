//===- Ids.h - Identifiers shared by all libraries ------------------------===//
//
// Each identifier is a type of its own, so that an epoch cannot be passed
// where an incarnation is expected.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_BASE_IDS_H
#define RAGWORT_BASE_IDS_H

#include <compare>
#include <cstdint>

namespace ragwort {

/// One run of a process. A restarted process gets a new random incarnation, and
/// messages addressed to an earlier one are not valid. Zero means "unknown".
struct Incarnation {
  uint64_t Value = 0;
  friend auto operator<=>(Incarnation, Incarnation) = default;
};

/// Fencing token of a role that moves between processes, such as the
/// ownership of a journal shard. A higher epoch supersedes a lower one.
struct Epoch {
  uint64_t Value = 0;
  friend auto operator<=>(Epoch, Epoch) = default;
};

/// One attempt to run a request on one backend server. Unique in the fleet: the
/// upper half is the incarnation of the issuing process, the lower a counter.
struct AttemptId {
  uint64_t Issuer = 0;
  uint64_t Number = 0;
  friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

} // namespace ragwort

#endif
