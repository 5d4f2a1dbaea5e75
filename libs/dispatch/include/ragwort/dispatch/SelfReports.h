//===- SelfReports.h - What backend servers said of themselves ------------===//
//
// Servers state in their answers that they are leaving, or that a node shall
// send them nothing for some time. Both hold for one run of a server. They are
// kept apart from the directory, because a server's entry may lapse and return
// while the server is running.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_SELFREPORTS_H
#define RAGWORT_DISPATCH_SELFREPORTS_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwort::dispatch {

/// One run of a backend server, as nodes name it to each other.
struct ServerRun {
  /// Hash of the server's id.
  uint64_t InstanceKey = 0;
  /// Unix time of the run's start in milliseconds.
  uint64_t BornMillis = 0;

  friend bool operator==(const ServerRun &, const ServerRun &) = default;
};

/// \code
///   Reports.setLeaving(Run, Now, /*IsOwn=*/true);
///   if (Reports.isLeaving(Run)) ...
/// \endcode
class SelfReports {
public:
  /// Maximum number of runs that are remembered; the least recent report is
  /// dropped for a further one.
  static constexpr size_t MaxRuns = 1024;
  /// Time for which this node tells its peers about a leaving server: several
  /// heartbeats, as datagrams may be lost.
  static constexpr Duration ForwardTime = std::chrono::milliseconds(2000);

  /// \p IsOwn: the server told this node, which therefore tells its peers.
  /// \returns whether this is news.
  bool setLeaving(const ServerRun &Run, TimePoint Now, bool IsOwn);
  /// The server accepts nothing from this node before \p Until. An earlier end
  /// than already known changes nothing.
  void setPaused(const ServerRun &Run, TimePoint Until, TimePoint Now);

  bool isLeaving(const ServerRun &Run) const;
  /// End of the pause, or the epoch if there was none.
  TimePoint pausedUntil(const ServerRun &Run) const;
  /// The leaving servers that peers are to be told about.
  std::vector<ServerRun> toForward(TimePoint Now) const;
  size_t size() const { return Reports.size(); }

private:
  struct Report {
    uint64_t BornMillis = 0;
    bool IsLeaving = false;
    TimePoint PausedUntil{};
    TimePoint ForwardUntil{};
    TimePoint ReportedAt{};
  };
  /// The report on \p Run, which replaces one on an earlier run; null if a
  /// later run is known.
  Report *reportOf(const ServerRun &Run, TimePoint Now);
  const Report *find(const ServerRun &Run) const;
  void dropOldest();

  // By instance key.
  std::unordered_map<uint64_t, Report> Reports;
};

/// A finite decimal number of at least zero; nothing for any other text.
std::optional<double> parseDecimal(std::string_view Text);
/// The pause in a `Retry-After` header field in seconds, which may have a
/// fraction; at most MaxPause. Nothing for dates and for numbers below zero.
std::optional<Duration> parsePause(std::string_view Seconds);
inline constexpr Duration MaxPause = std::chrono::hours(24);

} // namespace ragwort::dispatch

#endif
