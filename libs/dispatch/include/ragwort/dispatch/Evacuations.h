//===- Evacuations.h - Data centres that are sent no requests -------------===//
//
// The data centres whose servers the operators asked to send nothing more to,
// as of one version of the store. A table of a lower version is ignored,
// whatever its source, so that an old word never undoes a newer one.
//
// A restored store lists what it knew some seconds earlier. Where that differs
// from what was in force, it counts only once the operators have had time to
// write again what was lost.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_EVACUATIONS_H
#define RAGWORT_DISPATCH_EVACUATIONS_H

#include "ragwort/dispatch/StoreVersion.h"
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace ragwort::dispatch {

using DataCentreSet = std::set<std::string, std::less<>>;

/// All evacuated data centres at one version of the store.
struct EvacuationTable {
  /// Zero if the table is not known.
  StoreVersion Version;
  DataCentreSet DataCentres;

  friend bool operator==(const EvacuationTable &,
                         const EvacuationTable &) = default;
};

/// An evacuation that was set or removed.
struct EvacuationChange {
  std::string DataCentre;
  bool IsEvacuated = false;
};

/// \code
///   if (Evacuated.replaceAll({Version, {"north"}}, std::nullopt, "store",
///   Now))
///     Tracker.setEvacuated(Evacuated.inForce());
/// \endcode
class Evacuations {
public:
  /// Bounds that let the whole table fit into one datagram.
  static constexpr size_t MaxDataCentres = 16;
  static constexpr size_t MaxNameBytes = 64;
  /// A node that has had no table for this long asks its peers for it.
  static constexpr Duration AskAfter = std::chrono::milliseconds(1000);
  /// Time for which peers are told with each heartbeat after a change: several
  /// heartbeats, as datagrams may be lost.
  static constexpr Duration ForwardTime = std::chrono::milliseconds(2000);
  /// Interval at which they are told otherwise.
  static constexpr Duration RepeatInterval = std::chrono::milliseconds(1000);

  /// \p Existing are the data centres that there are; if it is empty, any name
  /// counts as one.
  Evacuations(DataCentreSet Existing, TimePoint Now)
      : Existing(std::move(Existing)), NextTell(Now + AskAfter) {}

  /// Whether a table has been received.
  bool isKnown() const { return Version > StoreVersion(); }
  StoreVersion version() const { return Version; }
  const DataCentreSet &inForce() const { return Evacuated; }
  /// Whether \p Name may be evacuated: it names an existing data centre and is
  /// not too long.
  bool isDataCentre(std::string_view Name) const;

  /// Adopts a complete table unless its version is lower. \p GraceUntil is set
  /// when the store has just recovered or was restored. \returns whether
  /// inForce() has changed.
  bool replaceAll(EvacuationTable Table, std::optional<TimePoint> GraceUntil,
                  std::string_view Source, TimePoint Now);
  /// Applies the changes that lead to \p NewVersion, in order. \returns whether
  /// inForce() has changed.
  bool apply(std::span<const EvacuationChange> Changes, StoreVersion NewVersion,
             std::string_view Source, TimePoint Now);
  /// A peer told its table, or asked for this node's one. \returns whether
  /// inForce() has changed.
  bool onPeerTable(EvacuationTable Table, TimePoint Now);
  /// Lets a restored table count whose grace period has ended. \returns whether
  /// inForce() has changed.
  bool expire(TimePoint Now);

  /// What to tell the peers with this heartbeat: the table, or one of version
  /// zero to ask for theirs.
  std::optional<EvacuationTable> takeNews(TimePoint Now);

private:
  struct RestoredTable {
    DataCentreSet DataCentres;
    TimePoint CountsAt;
  };
  bool setInForce(DataCentreSet Names, std::string_view Source, TimePoint Now);
  /// Adds \p Name to \p Names, unless it is too long or they are too many.
  void add(DataCentreSet &Names, const std::string &Name) const;

  const DataCentreSet Existing;
  // Zero until a table is known.
  StoreVersion Version;
  // As in the store, with names that are unknown here: peers that have newer
  // settings must not take them for removed. Invariant: at most MaxDataCentres.
  DataCentreSet Listed;
  // Invariant: the existing data centres in Listed.
  DataCentreSet Evacuated;
  // The contents of the restored store while they do not count yet.
  std::optional<RestoredTable> Restored;
  TimePoint TellUntil{};
  TimePoint NextTell;
};

} // namespace ragwort::dispatch

#endif
