//===- EngineNotifier.cpp - Reports an engine's condition to entry nodes --===//
#include "ragwort/fleet/EngineNotifier.h"
#include "ragwort/fleet/PeerHeartbeat.h"
#include "ragwort/observe/Log.h"
#include <cmath>

namespace ragwort::fleet {

std::optional<dispatch::EngineCondition>
EngineConditionTracker::onReport(const rankgroup::EngineReport &Report) {
  // An engine without a group delays no other rank. The entry nodes judge it by
  // its load and responses.
  bool IsInGroup = !Report.Group.empty() && Report.GroupSize > 1;
  IsStraggler =
      IsInGroup &&
      Report.Slowdown >= (IsStraggler ? RecoveredSlowdown : StragglerSlowdown);
  if (IsInGroup && !Report.IsOpen) {
    OpenedRepeatsLeft = OpenedRepeats;
    return dispatch::EngineCondition::Closed;
  }
  if (OpenedRepeatsLeft > 0) {
    --OpenedRepeatsLeft;
    return dispatch::EngineCondition::Opened;
  }
  if (IsStraggler)
    return dispatch::EngineCondition::Straggles;
  return std::nullopt;
}

EngineNotifier::EngineNotifier(asio::io_context &Io, std::string EngineAddress,
                               uint16_t EntryPort)
    : EngineAddress(std::move(EngineAddress)), EntryPort(EntryPort),
      Socket(Io.get_executor(), MaxPeerDatagramBytes,
             [](std::string_view, const Address &) {}) {
  absl::Status Opened = Socket.openForSending();
  if (!Opened.ok())
    logEvent(LogLevel::Error, "notice-socket-failed",
             {{"reason", std::string(Opened.message())}});
}

void EngineNotifier::onReport(const rankgroup::EngineReport &Report) {
  std::optional<dispatch::EngineCondition> Condition = Tracker.onReport(Report);
  if (Condition != LastCondition)
    logEvent(LogLevel::Warning, "engine-condition",
             {{"condition", Condition ? toString(*Condition) : "normal"},
              {"group", Report.Group},
              {"rank", Report.Rank},
              {"epoch", Report.Epoch},
              {"pace_percent", std::lround(Report.Slowdown * 100)},
              {"entry_nodes", EntryIps.size()}});
  LastCondition = Condition;
  if (Condition)
    send(*Condition);
}

void EngineNotifier::send(dispatch::EngineCondition Condition) {
  std::string Bytes = encodeNotice({EngineAddress, Condition});
  // Lost notices are not resent; the next report sends another one.
  for (const std::string &Ip : EntryIps)
    Socket.send(Bytes, {Ip, EntryPort});
}

} // namespace ragwort::fleet
