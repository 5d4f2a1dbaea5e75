//===- BackendDirectory.h - The known backend servers ---------------------===//
//
// The last known list of backend servers and its version. Lists and changes
// with an older version are ignored, whatever their source.
//
// A restored store lists what it knew some seconds earlier: servers that have
// left since then, or that have begun to drain. Neither is believed until the
// server writes its entry again.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_BACKENDDIRECTORY_H
#define RAGWORT_DISPATCH_BACKENDDIRECTORY_H

#include "ragwort/dispatch/StoreVersion.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::dispatch {

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
  /// Time for which it remains cold, as of its entry; nothing if the entry does
  /// not say so, or in a list from a peer.
  std::optional<uint32_t> ColdMillis;

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
  using IdSet = std::set<std::string, std::less<>>;

  /// Time after the grace period of a restored list for which an entry is
  /// doubted that was known to be removed. The platform removes the entries of
  /// servers that have been silent for less than this.
  static constexpr Duration RestoredEntryDoubt =
      std::chrono::milliseconds(5000);
  /// Maximum number of removed entries that are remembered.
  static constexpr size_t MaxRemembered = 1024;

  /// Replaces the list unless \p NewVersion is older. \returns whether it was
  /// replaced. \p GraceUntil is set when the store has just recovered from an
  /// outage or a restore: missing entries may have expired during it or have
  /// been lost with it, and are kept until then. Entries of \p UnusableIds,
  /// whose rows are listed but name no usable server, stay as they are.
  bool replaceAll(std::vector<BackendInstance> Listed, StoreVersion NewVersion,
                  std::optional<TimePoint> GraceUntil,
                  const IdSet &UnusableIds = {});
  /// Applies the changes that lead to \p NewVersion. Removed entries are kept
  /// until \p GraceUntil in the same way.
  void apply(std::vector<DirectoryChange> Changes, StoreVersion NewVersion,
             std::optional<TimePoint> GraceUntil);
  /// Removes entries whose grace period has ended and adds those that are no
  /// longer doubted. \returns their number.
  size_t expire(TimePoint Now);

  StoreVersion version() const { return Version; }
  bool isKnown() const { return Version > StoreVersion(); }
  const std::map<std::string, BackendInstance, std::less<>> &instances() const {
    return Entries;
  }
  /// The entries without those that are only kept for the grace period.
  std::vector<BackendInstance> snapshot() const;

private:
  struct DoubtedEntry {
    BackendInstance Entry;
    TimePoint AddAt;
  };
  void remove(std::string_view Id);
  /// Whether the entry in a restored list of this run is not to be used yet.
  bool wasRemoved(const BackendInstance &B) const;

  StoreVersion Version;
  std::map<std::string, BackendInstance, std::less<>> Entries;
  // Id of a removed entry -> start of the run that it named. Invariant: the ids
  // are those in RemovedOrder, oldest first.
  std::map<std::string, uint64_t, std::less<>> RemovedRuns;
  std::deque<std::string> RemovedOrder;
  // Entries of a restored list that were known to be removed. Invariant: no id
  // is a key of Entries.
  std::map<std::string, DoubtedEntry, std::less<>> Doubted;
  // Id of a missing entry -> end of its grace period. Invariant: each id is a
  // key of Entries.
  std::map<std::string, TimePoint, std::less<>> DropAt;
};

} // namespace ragwort::dispatch

#endif
