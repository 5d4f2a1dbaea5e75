//===- BackendDirectory.h - Which backend servers there are ---------------===//
//
// The last known list of backend servers and its version. The list only goes
// forward: an older one, whoever sends it, changes nothing.
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

/// One run of a backend server, as registered.
struct BackendInstance {
  std::string Id;
  std::string Service;
  /// `ip:port`. Another instance may have it after this one has ended.
  std::string Address;
  std::string DataCentre;
  uint32_t Slots = 1;
  /// It finishes what it has and is sent nothing new.
  bool IsDraining = false;
  /// Unix time of its start; tells two runs under one id apart.
  uint64_t BornMillis = 0;

  friend bool operator==(const BackendInstance &,
                         const BackendInstance &) = default;
};

/// A change of one entry; no value means that it was removed.
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
  /// Takes a full list unless it is older. \returns whether it was taken.
  /// \p GraceUntil is set while the store has just returned: entries that are
  /// missing may have lapsed while it was away, and are kept until then.
  bool replaceAll(std::vector<BackendInstance> Listed, uint64_t NewVersion,
                  std::optional<TimePoint> GraceUntil);
  /// Takes changes that lead to \p NewVersion. Removals have the same grace.
  void apply(std::vector<DirectoryChange> Changes, uint64_t NewVersion,
             std::optional<TimePoint> GraceUntil);
  /// Drops entries whose grace has ended. \returns how many.
  size_t expire(TimePoint Now);

  uint64_t version() const { return Version; }
  bool isKnown() const { return Version > 0; }
  const std::map<std::string, BackendInstance, std::less<>> &instances() const {
    return Entries;
  }
  std::vector<BackendInstance> snapshot() const;

private:
  uint64_t Version = 0;
  std::map<std::string, BackendInstance, std::less<>> Entries;
  // Ids that went missing while the store recovered, and until when they stay.
  // Invariant: each is a key of Entries.
  std::map<std::string, TimePoint, std::less<>> DropAt;
};

} // namespace ragwort::gateway

#endif
