//===- StoreVersion.h - Version of the persistent store -------------------===//
//
// The store numbers its transactions. After it has been restored from a backup
// it gives out the numbers since that backup again, for other contents. Its era
// rises with each restore, so that versions are compared by era first.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_STOREVERSION_H
#define RAGWORT_DISPATCH_STOREVERSION_H

#include "ragwort/base/Time.h"
#include <compare>
#include <cstdint>
#include <string>

namespace ragwort::dispatch {

/// \code
///   if (Listed.Version < Known.Version)
///     return; // Older, or from before a restore.
/// \endcode
struct StoreVersion {
  /// Number of restores. Zero for stores that do not report it.
  uint64_t Era = 0;
  /// Number of the transaction within the era. Zero is before all of them.
  uint64_t Number = 0;

  friend auto operator<=>(const StoreVersion &, const StoreVersion &) = default;
};

/// `number`, or `era/number` after a restore.
std::string toString(const StoreVersion &Value);

/// How long entries may still be missing after the store has recovered or has
/// been restored. The users' requirement is about two seconds. A server that
/// leaves in that time must also receive no more requests once the two seconds
/// are over, so a tenth of them is reserved for its removal.
inline constexpr Duration StoreRecoveryGrace = std::chrono::milliseconds(1800);

} // namespace ragwort::dispatch

#endif
