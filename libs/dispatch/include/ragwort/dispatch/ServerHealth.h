//===- ServerHealth.h - Whether a server answers as it should -------------===//
//
// Judges one run of a server by its answers and faults and by what its agent
// reports. A failing server is ejected for a limited time and then tried again.
// One that is reported unavailable stays so until its agent reports it open or
// a trial request succeeds. One to which no connection can be made is down
// until its agent reports it open or a connection is made.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_SERVERHEALTH_H
#define RAGWORT_DISPATCH_SERVERHEALTH_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <optional>
#include <string_view>

namespace ragwort::dispatch {

/// How a send failed, from which the health of its server is judged.
enum class ServerFault : uint8_t {
  /// No connection could be made.
  NotConnected,
  /// The connection broke.
  Unreachable,
  /// No complete answer, or no further stream event, within the time limit.
  TimedOut,
  /// The received bytes are not a valid response to the request.
  Malformed,
  /// A response with a server error status.
  Failure,
  /// The server did not run the request because its group is broken or it is
  /// shutting down.
  Unavailable,
  /// The server did not run the request because its queue is full.
  Full,
};

/// The condition of an engine as reported by its agent.
enum class EngineCondition : uint8_t {
  /// The engine is so slow that its group waits for it in every pass.
  Straggles,
  /// Its group is broken or not formed yet; the engine declines all requests.
  Closed,
  /// Its group has just started to accept requests.
  Opened,
};

std::string_view toString(EngineCondition Value);

/// \code
///   Health.onFault(ServerFault::Unreachable, Now);
///   if (Health.isEjected(Now)) ...
/// \endcode
class ServerHealth {
public:
  /// An agent's notice counts for this time; agents repeat it several times
  /// within it.
  static constexpr Duration NoticeLifetime = std::chrono::milliseconds(700);
  /// Time for which an Opened notice is forwarded to peers: longer than the
  /// interval between two heartbeats.
  static constexpr Duration OpenedLifetime = std::chrono::milliseconds(300);
  /// First time for which a failing server is excluded; doubles up to
  /// MaxEjection.
  static constexpr Duration FirstEjection = std::chrono::milliseconds(1000);
  static constexpr Duration MaxEjection = std::chrono::milliseconds(8000);
  /// Time between two trial requests to an unavailable server. Groups form
  /// within seconds, and a declined trial costs only a few milliseconds.
  static constexpr Duration TrialInterval = std::chrono::milliseconds(300);

  /// The server answered successfully a request that was sent at \p SentAt.
  void onAnswered(TimePoint SentAt);
  void onFault(ServerFault Fault, TimePoint Now);
  /// Its faults were those of the path to it.
  void onFaultsExplained();
  /// A request was sent to it.
  void onSent(TimePoint Now);
  /// A connection to it was made.
  void onConnected() { DownSince.reset(); }
  /// The run begins in a group that has been closed since \p Since.
  void beginInClosedGroup(TimePoint Since);
  /// Its agent or a peer reported \p Condition. \returns whether that is news.
  bool onCondition(EngineCondition Condition, TimePoint Now);
  /// Its agent reported \p Condition to this node, which tells its peers.
  void onOwnNotice(EngineCondition Condition, TimePoint Now);

  /// Moving average of failures among recent answers, between 0 and 1.
  double failureRate() const { return FailureRate; }
  bool isEjected(TimePoint Now) const { return Now < EjectedUntil; }
  bool isStraggler(TimePoint Now) const { return Now < StragglerUntil; }
  /// Down, or reported unavailable; since then neither reported open nor
  /// successful.
  bool isUnavailable() const { return UnavailableSince || DownSince; }
  /// The first of the signs that it is unavailable.
  std::optional<TimePoint> unavailableSince() const {
    return UnavailableSince ? UnavailableSince : DownSince;
  }
  /// No connection could be made, and nothing else has been heard since.
  bool isDown() const { return DownSince.has_value(); }
  /// By the word of its agent, its group is closed.
  bool isGroupClosed() const { return UnavailableSince && IsGroupClosed; }
  /// Its agent has reported the group closed within the last NoticeLifetime.
  bool hasClosedNotice(TimePoint Now) const {
    return isGroupClosed() && Now < ClosedNoticeUntil;
  }
  /// This run began while its group was closed, and its own agent has not
  /// reported it yet.
  bool awaitsGroup() const { return isGroupClosed() && IsAwaitingGroup; }
  /// Whether it is unavailable and it is not yet time for a trial request.
  bool awaitsTrial(TimePoint Now) const {
    return isUnavailable() && Now < NextTrial;
  }
  /// The condition that peers are to be told.
  std::optional<EngineCondition> toForward(TimePoint Now) const;

private:
  void eject(TimePoint Now);
  void setUnavailable(TimePoint Now);

  double FailureRate = 0;
  TimePoint EjectedUntil{};
  Duration NextEjection = FirstEjection;
  std::optional<TimePoint> DownSince;
  std::optional<TimePoint> UnavailableSince;
  // The following two hold only while UnavailableSince is set.
  bool IsGroupClosed = false;
  bool IsAwaitingGroup = false;
  TimePoint ClosedNoticeUntil{};
  // The most recent report that it is unavailable.
  TimePoint ReportedUnavailableAt{};
  TimePoint NextTrial{};
  EngineCondition OwnNotice = EngineCondition::Straggles;
  TimePoint ForwardUntil{};
  TimePoint StragglerUntil{};
};

} // namespace ragwort::dispatch

#endif
