//===- TableFollower.h - Keeps a view of one table of the store -----------===//
//
// Lists a table once and then follows its changes. After an outage it goes on
// where it was, or lists anew where the history is lost, and tells its sink
// that the store has just returned.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_TABLEFOLLOWER_H
#define RAGWORT_GATEWAY_TABLEFOLLOWER_H

#include "ragwort/gateway/RowStore.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <functional>
#include <optional>
#include <random>

namespace ragwort::gateway {

/// Takes what a follower reads. \p GraceUntil is set while the store has just
/// come back into reach: until then entries that have lapsed may return.
template <class T>
concept TableSink = requires(T &Sink, RowList List, RowChanges Changes,
                             std::optional<TimePoint> GraceUntil) {
  Sink.onList(std::move(List), GraceUntil);
  Sink.onChanges(std::move(Changes), GraceUntil);
};

/// How a follower asks.
struct FollowerTiming {
  /// How long the store may hold an answer while nothing changes. Bounds the
  /// time for which a connection that fell silent goes unnoticed.
  Duration PollTimeout = std::chrono::milliseconds(2000);
  /// The same while IsRelaxed: other nodes watch with Wait and tell this one
  /// what it has missed.
  Duration RelaxedPollTimeout = std::chrono::milliseconds(10'000);
  std::function<bool()> IsRelaxed = [] { return false; };
  /// Least time between two calls.
  Duration MinInterval = std::chrono::milliseconds(0);
  /// First pause after a failed call; doubles up to MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::milliseconds(800);
};

/// \code
///   TableFollower Follower(Io, Store, "servers", Sink, Timing, Seed);
///   asio::co_spawn(Io, Follower.run(), asio::detached);
/// \endcode
template <RowStore Store, TableSink Sink> class TableFollower {
public:
  /// How long after the store's return entries may still be missing. The
  /// users' letter says about two seconds; a server that leaves just then must
  /// be left alone within the same two seconds, for which a tenth is kept.
  static constexpr Duration RecoveryGrace = std::chrono::milliseconds(1800);

  TableFollower(asio::io_context &Io, Store &From, std::string Table, Sink &To,
                FollowerTiming Timing, uint64_t Seed)
      : Io(Io), From(From), Table(std::move(Table)), To(To), Timing(Timing),
        Random(Seed) {}

  asio::awaitable<void> run() {
    while (!IsStopped) {
      TimePoint Begun = Clock.now();
      absl::Status Result = co_await step();
      if (IsStopped)
        co_return;
      if (Result.ok())
        onReached();
      else
        onFailed(Result);
      Duration Spent = Clock.now() - Begun;
      Duration Rest = Result.ok() ? Timing.MinInterval - Spent : nextBackoff();
      if (Rest.count() > 0)
        co_await sleepFor(Rest);
    }
  }
  void stop() { IsStopped = true; }

private:
  asio::awaitable<absl::Status> step() {
    if (Version == 0) {
      absl::StatusOr<RowList> List = co_await From.list(Table);
      if (!List.ok())
        co_return List.status();
      onAnswer();
      Version = List->Version;
      To.onList(std::move(*List), graceUntil());
      co_return absl::OkStatus();
    }
    absl::StatusOr<RowChanges> Changes =
        co_await From.follow(Table, Version, pollTimeout());
    if (!Changes.ok())
      co_return Changes.status();
    onAnswer();
    if (Changes->IsHistoryLost) {
      logEvent(LogLevel::Info, "store-history-lost",
               {{"table", Table}, {"version", Version}});
      Version = 0;
      co_return absl::OkStatus();
    }
    Version = std::max(Version, Changes->Version);
    To.onChanges(std::move(*Changes), graceUntil());
    co_return absl::OkStatus();
  }

  Duration pollTimeout() const {
    return Timing.IsRelaxed() ? Timing.RelaxedPollTimeout : Timing.PollTimeout;
  }

  // The first answer after an outage opens the time of recovery.
  void onAnswer() {
    if (!IsReached && WasReached)
      RecoveredAt = Clock.now();
  }

  std::optional<TimePoint> graceUntil() const {
    TimePoint Until = RecoveredAt + RecoveryGrace;
    bool IsRecovering = RecoveredAt != TimePoint() && Clock.now() < Until;
    return IsRecovering ? std::optional(Until) : std::nullopt;
  }

  void onReached() {
    Backoff = Timing.InitialBackoff;
    if (!IsReached)
      logEvent(LogLevel::Info, "store-reached",
               {{"table", Table}, {"version", Version}});
    IsReached = true;
    WasReached = true;
  }

  void onFailed(const absl::Status &Reason) {
    if (IsReached || !WasTried)
      logEvent(LogLevel::Warning, "store-lost",
               {{"table", Table},
                {"version", Version},
                {"reason", std::string(Reason.message())}});
    IsReached = false;
    WasTried = true;
  }

  Duration nextBackoff() {
    std::uniform_real_distribution<double> Spread(0.7, 1.3);
    auto Result = Duration(static_cast<int64_t>(
        static_cast<double>(Backoff.count()) * Spread(Random)));
    Backoff = std::min(2 * Backoff, Timing.MaxBackoff);
    return Result;
  }

  asio::io_context &Io;
  Store &From;
  const std::string Table;
  Sink &To;
  const FollowerTiming Timing;
  std::mt19937_64 Random;
  SteadyClock Clock;
  // Zero: the table has to be listed.
  uint64_t Version = 0;
  Duration Backoff = Timing.InitialBackoff;
  TimePoint RecoveredAt{};
  bool IsReached = false;
  bool WasReached = false;
  bool WasTried = false;
  bool IsStopped = false;
};

} // namespace ragwort::gateway

#endif
