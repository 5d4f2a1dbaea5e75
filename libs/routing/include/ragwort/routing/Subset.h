//===- Subset.h - Which backend servers an entry node uses ----------------===//
//
// Each entry node uses a part of the fleet, so that its state and messages do
// not grow with the fleet. Subsets are dealt out in rounds: within a round
// every backend server belongs to exactly one entry node, so coverage differs
// by at most one.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_SUBSET_H
#define RAGWORT_ROUTING_SUBSET_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::routing {

/// The indices of \p Servers that entry node \p Self uses, \p Size of them.
/// \p Entries are the planned entry nodes that share these servers; all of
/// them compute the same deal. An entry node that is not among them gets a
/// subset by rendezvous hashing.
///
/// \code
///   std::vector<size_t> Mine = deterministicSubset("entry-2", Entries,
///   Servers, 16);
/// \endcode
std::vector<size_t> deterministicSubset(std::string_view Self,
                                        std::span<const std::string> Entries,
                                        std::span<const std::string> Servers,
                                        size_t Size);

} // namespace ragwort::routing

#endif
