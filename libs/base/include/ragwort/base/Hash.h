//===- Hash.h - Stable hashes and rendezvous ranking ----------------------===//
//
// Thin wrappers over xxHash. The values are the same on every machine, so
// processes agree on them without exchanging messages.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_BASE_HASH_H
#define RAGWORT_BASE_HASH_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// A 64-bit hash of \p Bytes.
uint64_t hash64(std::string_view Bytes, uint64_t Seed = 0);

/// A 128-bit hash of \p Bytes as 32 hexadecimal digits.
std::string hash128Hex(std::string_view Bytes);

/// The indices of the \p Count names that rank highest for \p Key. Removing a
/// name changes the result only for the keys that had selected it.
///
/// \code
///   std::vector<std::string> Names = {"a", "b", "c"};
///   std::vector<size_t> Two = rendezvousPick("entry-1", Names, 2);
/// \endcode
std::vector<size_t> rendezvousPick(std::string_view Key,
                                   std::span<const std::string> Names,
                                   size_t Count);

} // namespace ragwort

#endif
