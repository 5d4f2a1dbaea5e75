//===- PromptParts.h - The parts of a request's prompt --------------------===//
//
// Callers list the parts of a prompt in order. Requests share parts; only the
// last one belongs to a single request or session.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_QUARANTINE_PROMPTPARTS_H
#define RAGWORT_QUARANTINE_PROMPTPARTS_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::quarantine {

/// Identifies a part: its id if that is a hexadecimal number of at most 64
/// bits, otherwise the id's hash.
using PartKey = uint64_t;
using PartKeys = std::span<const PartKey>;

/// Further parts of a prompt are ignored.
inline constexpr size_t MaxPromptParts = 32;

/// The parts in \p List, `ID:TOKENS` separated by commas, without the last one
/// and without repetitions.
///
/// \code
///   sharedPartsOf("5c1e:800,91bd:410,e440:250"); // {0x5c1e, 0x91bd}
/// \endcode
std::vector<PartKey> sharedPartsOf(std::string_view List);

/// The key in hexadecimal, as callers write numeric ids.
std::string toString(PartKey Part);

} // namespace ragwort::quarantine

#endif
