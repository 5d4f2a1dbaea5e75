//===- StragglerNotifier.h - Tells entry nodes of a slow engine -----------===//
//
// Runs in the process beside an engine. The ranks of a group wait for the
// slowest in every pass, so the entry nodes leave a slow one alone.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_STRAGGLERNOTIFIER_H
#define RAGWORT_GATEWAY_STRAGGLERNOTIFIER_H

#include "ragwort/rankgroup/EngineTypes.h"
#include "ragwort/transport/DatagramSocket.h"
#include <set>
#include <string>

namespace ragwort::gateway {

/// Whether an engine holds its group back, with hysteresis.
class StragglerWatch {
public:
  /// Factor of slowness from which an engine is a straggler. At twice the usual
  /// time its own part alone fills a pass that others share.
  static constexpr double SlowPace = 2.0;
  /// Factor below which it no longer is one.
  static constexpr double RecoveredPace = 1.5;

  /// \returns whether the engine is a straggler after \p Report.
  bool onReport(const rankgroup::EngineReport &Report);
  bool isStraggler() const { return IsStraggler; }

private:
  bool IsStraggler = false;
};

/// \code
///   StragglerNotifier Notifier(Io, "10.0.0.1:8405", Port);
///   Notifier.setEntryNodes({"10.0.1.1"});
///   Notifier.onReport(Report);
/// \endcode
class StragglerNotifier {
public:
  /// Entry nodes listen on \p EntryPort.
  StragglerNotifier(asio::io_context &Io, std::string EngineAddress,
                    uint16_t EntryPort);

  void setEntryNodes(std::set<std::string> Ips) { EntryIps = std::move(Ips); }
  /// Tells all entry nodes while the engine is a straggler. Call it more often
  /// than LoadBoard::StragglerLife.
  void onReport(const rankgroup::EngineReport &Report);

private:
  void send(double Pace);

  const std::string EngineAddress;
  const uint16_t EntryPort;
  DatagramSocket Socket;
  std::set<std::string> EntryIps;
  StragglerWatch Watch;
};

} // namespace ragwort::gateway

#endif
