//===- EngineNotifier.h - Tells entry nodes of an engine's condition ------===//
//
// Runs in the process beside an engine. The ranks of a group wait for the
// slowest in every pass, so the entry nodes leave a slow one alone. While a
// group is broken or is being formed, requests had better wait at the entry
// nodes than be declined and use up their attempts.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_ENGINENOTIFIER_H
#define RAGWORT_GATEWAY_ENGINENOTIFIER_H

#include "ragwort/gateway/LoadBoard.h"
#include "ragwort/rankgroup/EngineTypes.h"
#include "ragwort/transport/DatagramSocket.h"
#include <optional>
#include <set>
#include <string>

namespace ragwort::gateway {

/// What the entry nodes should know of an engine, with hysteresis.
class EngineConditionTracker {
public:
  /// Factor of slowness from which an engine is a straggler. At twice the usual
  /// time its own part alone fills a pass that others share.
  static constexpr double StragglerPace = 2.0;
  /// Factor below which it no longer is one.
  static constexpr double RecoveredPace = 1.5;

  /// Reports after the opening of a group with which it is told: a notice may
  /// be lost.
  static constexpr uint32_t OpenedRepeats = 3;

  /// \returns what is to be told after \p Report, nothing while the engine
  /// does as usual.
  std::optional<EngineCondition>
  onReport(const rankgroup::EngineReport &Report);

private:
  bool IsStraggler = false;
  uint32_t OpenedRepeatsLeft = 0;
};

/// \code
///   EngineNotifier Notifier(Io, "10.0.0.1:8405", Port);
///   Notifier.setEntryNodes({"10.0.1.1"});
///   Notifier.onReport(Report);
/// \endcode
class EngineNotifier {
public:
  /// Entry nodes listen on \p EntryPort.
  EngineNotifier(asio::io_context &Io, std::string EngineAddress,
                 uint16_t EntryPort);

  void setEntryNodes(std::set<std::string> Ips) { EntryIps = std::move(Ips); }
  /// Tells all entry nodes while there is something to tell. Call it more often
  /// than LoadBoard::NoticeLife.
  void onReport(const rankgroup::EngineReport &Report);

private:
  void send(EngineCondition Condition);

  const std::string EngineAddress;
  const uint16_t EntryPort;
  DatagramSocket Socket;
  std::set<std::string> EntryIps;
  EngineConditionTracker Tracker;
  // What was told with the last report.
  std::optional<EngineCondition> LastReported;
};

} // namespace ragwort::gateway

#endif
