//===- Subset.h - Deterministic subsetting of backend servers -------------===//
//
// Each entry node uses a subset of the backend servers, so that its state and
// its messages do not grow with the fleet. Subsets are assigned in rounds, each
// of which is a shuffled list of all backend servers. Within a round every
// backend server is assigned to exactly one entry node, so the numbers of entry
// nodes for any two backend servers differ by at most one, except where a
// subset that spans two rounds skips a duplicate.
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

/// Returns the indices of the \p Size elements of \p Servers that entry node
/// \p Self uses, or of all elements if there are fewer. \p Entries are the
/// configured entry nodes that share these servers; each of them computes the
/// same assignment. An entry node that is not in \p Entries gets its subset by
/// rendezvous hashing.
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
