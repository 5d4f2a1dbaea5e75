//===- StragglerNotifier.cpp - Tells entry nodes of a slow engine ---------===//
#include "ragwort/gateway/StragglerNotifier.h"
#include "ragwort/gateway/PeerBeat.h"
#include "ragwort/observe/Log.h"
#include <cmath>

namespace ragwort::gateway {

bool StragglerWatch::onReport(const rankgroup::EngineReport &Report) {
  // A slow engine without a group holds nobody back; its load shows.
  bool IsInGroup = !Report.Group.empty() && Report.GroupSize > 1;
  IsStraggler =
      IsInGroup && Report.Pace >= (IsStraggler ? RecoveredPace : SlowPace);
  return IsStraggler;
}

StragglerNotifier::StragglerNotifier(asio::io_context &Io,
                                     std::string EngineAddress,
                                     uint16_t EntryPort)
    : EngineAddress(std::move(EngineAddress)), EntryPort(EntryPort),
      Socket(Io.get_executor(), MaxBeatBytes,
             [](std::string_view, const Address &) {}) {
  absl::Status Opened = Socket.openForSending();
  if (!Opened.ok())
    logEvent(LogLevel::Error, "notice-socket-failed",
             {{"reason", std::string(Opened.message())}});
}

void StragglerNotifier::onReport(const rankgroup::EngineReport &Report) {
  bool WasStraggler = Watch.isStraggler();
  bool IsStraggler = Watch.onReport(Report);
  if (IsStraggler != WasStraggler)
    logEvent(LogLevel::Warning,
             IsStraggler ? "engine-straggles" : "engine-keeps-up",
             {{"group", Report.Group},
              {"rank", Report.Rank},
              {"pace_percent", std::lround(Report.Pace * 100)},
              {"entry_nodes", EntryIps.size()}});
  if (IsStraggler)
    send(Report.Pace);
}

void StragglerNotifier::send(double Pace) {
  std::string Bytes = encodeNotice(
      {EngineAddress, static_cast<uint32_t>(std::lround(Pace * 100))});
  // A lost notice is made up for by the next.
  for (const std::string &Ip : EntryIps)
    Socket.send(Bytes, {Ip, EntryPort});
}

} // namespace ragwort::gateway
