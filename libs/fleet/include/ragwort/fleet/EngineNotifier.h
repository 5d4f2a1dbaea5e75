//===- EngineNotifier.h - Reports an engine's condition to entry nodes ----===//
//
// Runs in the agent process next to an engine. The ranks of a group wait for
// the slowest one in every pass, so the entry nodes send nothing to a
// straggler. While a group is broken or being formed, requests should wait at
// the entry nodes, since being declined would use up their attempts.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_ENGINENOTIFIER_H
#define RAGWORT_FLEET_ENGINENOTIFIER_H

#include "ragwort/dispatch/LoadTracker.h"
#include "ragwort/rankgroup/EngineTypes.h"
#include "ragwort/transport/DatagramSocket.h"
#include <optional>
#include <set>
#include <string>

namespace ragwort::fleet {

/// Derives the condition to report to the entry nodes, with hysteresis.
class EngineConditionTracker {
public:
  /// Slowdown factor from which an engine is a straggler. At twice the usual
  /// time its own part alone takes up a whole pass that other ranks share.
  static constexpr double StragglerSlowdown = 2.0;
  /// Slowdown factor below which it is no longer a straggler.
  static constexpr double RecoveredSlowdown = 1.5;

  /// Number of reports after the opening of a group that return Opened. More
  /// than one, since a notice may be lost.
  static constexpr uint32_t OpenedRepeats = 3;

  /// \returns the condition to send after \p Report; no value while the engine
  /// runs normally.
  std::optional<dispatch::EngineCondition>
  onReport(const rankgroup::EngineReport &Report);

private:
  bool IsStraggler = false;
  uint32_t OpenedRepeatsLeft = 0;
};

/// Sends the condition of one engine to the entry nodes over UDP.
///
/// \code
///   EngineNotifier Notifier(Io, "10.0.0.1:8405", Port);
///   Notifier.setEntryNodes({"10.0.1.1"});
///   Notifier.onReport(Report);
/// \endcode
class EngineNotifier {
public:
  /// \p EntryPort is the UDP port on which the entry nodes listen.
  EngineNotifier(asio::io_context &Io, std::string EngineAddress,
                 uint16_t EntryPort);

  void setEntryNodes(std::set<std::string> Ips) { EntryIps = std::move(Ips); }
  /// Sends a notice to all entry nodes while there is a condition to report.
  /// Must be called more often than once per ServerHealth::NoticeLifetime.
  void onReport(const rankgroup::EngineReport &Report);

private:
  void send(dispatch::EngineCondition Condition);

  const std::string EngineAddress;
  const uint16_t EntryPort;
  DatagramSocket Socket;
  std::set<std::string> EntryIps;
  EngineConditionTracker Tracker;
  // The condition after the last report.
  std::optional<dispatch::EngineCondition> LastCondition;
};

} // namespace ragwort::fleet

#endif
