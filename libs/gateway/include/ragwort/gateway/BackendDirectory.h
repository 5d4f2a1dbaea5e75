//===- BackendDirectory.h - The known backend servers ---------------------===//
//
// The last known list of backend servers and its version. Lists and changes
// with an older version are ignored, whatever their source.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_BACKENDDIRECTORY_H
#define RAGWORT_GATEWAY_BACKENDDIRECTORY_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::gateway {

/// One run of a backend server, as registered in the store.
struct BackendInstance {
  std::string Id;
  std::string Service;
  /// `ip:port`. Another instance may use it after this one has ended.
  std::string Address;
  std::string DataCentre;
  uint32_t Slots = 1;
  /// It completes its current requests and is sent no new ones.
  bool IsDraining = false;
  /// Unix time of its start in milliseconds; distinguishes two runs with the
  /// same id.
  uint64_t BornMillis = 0;

  friend bool operator==(const BackendInstance &,
                         const BackendInstance &) = default;
};

/// A change of one entry; an empty Entry means that it was removed.
struct DirectoryChange {
  std::string Id;
  std::optional<BackendInstance> Entry;
};

/// \code
///   Directory.replaceAll(Listed, Version, std::nullopt);
///   for (const BackendInstance &B : Directory.instances()) ...
/// \endcode
class BackendDirectory {
public:
  /// Replaces the list unless \p NewVersion is older. \returns whether it was
  /// replaced. \p GraceUntil is set when the store has just recovered from an
  /// outage: missing entries may have expired during it, and are kept until
  /// then.
  bool replaceAll(std::vector<BackendInstance> Listed, uint64_t NewVersion,
                  std::optional<TimePoint> GraceUntil);
  /// Applies the changes that lead to \p NewVersion. Removed entries are kept
  /// until \p GraceUntil in the same way.
  void apply(std::vector<DirectoryChange> Changes, uint64_t NewVersion,
             std::optional<TimePoint> GraceUntil);
  /// Removes entries whose grace period has ended. \returns their number.
  size_t expire(TimePoint Now);

  uint64_t version() const { return Version; }
  bool isKnown() const { return Version > 0; }
  const std::map<std::string, BackendInstance, std::less<>> &instances() const {
    return Entries;
  }
  /// The entries without those that are only kept for the grace period.
  std::vector<BackendInstance> snapshot() const;

private:
  uint64_t Version = 0;
  std::map<std::string, BackendInstance, std::less<>> Entries;
  // Id of a missing entry -> end of its grace period. Invariant: each id is a
  // key of Entries.
  std::map<std::string, TimePoint, std::less<>> DropAt;
};

} // namespace ragwort::gateway

#endif
