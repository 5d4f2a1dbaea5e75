//===- TableFollower.h - Follows the changes of one table of the store ----===//
//
// Lists a table once and then follows its changes by long polling. After an
// outage it resumes at its last version, or lists the table again if the store
// no longer has the history or was restored from a backup, and tells its sink
// that the store has just recovered.
//
// A connection may fall silent while the store works. So the age of what the
// follower knows is bounded: a poll without an answer in time is repeated at
// once on a new connection, and only if that fails too is it an outage.
//
// While the store is lost, the follower asks for immediate answers. Once it has
// one, the other followers of the process repeat their polls, and it does so
// when one of them has reached the store again.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_FLEET_TABLEFOLLOWER_H
#define RAGWORT_FLEET_TABLEFOLLOWER_H

#include "ragwort/fleet/FollowerGroup.h"
#include "ragwort/fleet/RowStore.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <functional>
#include <optional>
#include <random>

namespace ragwort::fleet {

/// Receives what a follower reads. \p GraceUntil has a value only for a short
/// time after the store has become reachable again or was restored: until then,
/// entries that expired during the outage or were lost may reappear.
template <class T>
concept TableSink = requires(T &Sink, RowList List, RowChanges Changes,
                             std::optional<TimePoint> GraceUntil) {
  Sink.onList(std::move(List), GraceUntil);
  Sink.onChanges(std::move(Changes), GraceUntil);
};

/// Intervals and timeouts of a follower.
struct FollowerTiming {
  /// How long the store may delay its response while nothing changes.
  Duration PollTimeout = std::chrono::milliseconds(2000);
  /// Polls are shorter if what the follower knows would otherwise be older than
  /// this before it notices that its connection is silent.
  Duration MaxAge = Duration::max();
  /// Time after the end of a poll at which its connection counts as silent.
  Duration AnswerMargin = std::chrono::milliseconds(400);
  /// Time for the first answer on the connection that replaces a silent one,
  /// and for any answer while the store is lost. Longer, since a store that is
  /// only slow must not seem to be away.
  Duration ReplacementMargin = std::chrono::milliseconds(700);
  /// Entries of live servers do not expire in an outage shorter than this.
  Duration LapseTime = std::chrono::milliseconds(2400);
  /// Used instead of PollTimeout while IsRelaxed returns true: other nodes poll
  /// with PollTimeout and inform this one of changes that it missed.
  Duration RelaxedPollTimeout = std::chrono::milliseconds(10'000);
  std::function<bool()> IsRelaxed = [] { return false; };
  /// Minimum time from the start of one call to the start of the next.
  Duration MinInterval = std::chrono::milliseconds(0);
  /// Delay after the first failed call. Doubles with each further failure, up
  /// to MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::milliseconds(800);
  /// After a restore the table is listed after a random delay of at most this,
  /// so that the nodes of a large fleet do not all list it at the same time.
  Duration RestoredListSpread = std::chrono::milliseconds(500);
};

/// Reads one table until stop() is called, and passes rows and changes to a
/// sink. \p Clock measures the time; tests replace it.
///
/// \code
///   TableFollower Follower(Io, Store, Group, "servers", Sink, Timing, Seed);
///   asio::co_spawn(Io, Follower.run(), asio::detached);
/// \endcode
template <RowStore Store, TableSink Sink,
          class Clock = std::chrono::steady_clock>
class TableFollower final : public GroupedFollower {
public:
  TableFollower(asio::io_context &Io, Store &From, FollowerGroup &Group,
                std::string Table, Sink &To, FollowerTiming Timing,
                uint64_t Seed)
      : From(From), Group(Group), Table(std::move(Table)), To(To),
        Timing(Timing), Random(Seed), Timer(Io) {
    Group.add(*this);
  }
  ~TableFollower() override { Group.remove(*this); }

  asio::awaitable<void> run() {
    while (!IsStopped) {
      TimePoint Begun = now();
      IsCalling = true;
      absl::Status Result = co_await step();
      IsCalling = false;
      if (IsStopped)
        co_return;
      if (std::exchange(IsInterrupted, false))
        continue;
      if (Result.ok())
        onReached();
      else
        onFailed(Result);
      Duration Elapsed = now() - Begun;
      co_await wait(Result.ok() ? Timing.MinInterval - Elapsed : nextBackoff());
    }
  }
  void stop() { IsStopped = true; }
  /// Repeats a call in progress at once, and ends the delay after a failure.
  void onStoreReturned() override {
    HasLost = false;
    if (IsCalling) {
      IsInterrupted = true;
      IsAnswerNeeded = true;
      From.cancel();
    } else if (!IsReached) {
      Timer.cancel();
    }
  }
  /// The store's era as of its last answer.
  uint64_t era() const { return Version.Era; }

private:
  asio::awaitable<absl::Status> step() {
    if (!IsListed) {
      absl::StatusOr<RowList> List = co_await From.list(Table);
      if (!List.ok())
        co_return List.status();
      onAnswer(List->Version.Era);
      Version = List->Version;
      IsListed = true;
      To.onList(std::move(*List), graceUntil());
      co_return absl::OkStatus();
    }
    absl::StatusOr<RowChanges> Changes = co_await poll();
    if (!Changes.ok())
      co_return Changes.status();
    bool IsRestored = Changes->Version.Era > Version.Era;
    onAnswer(Changes->Version.Era);
    if (IsRestored) {
      // The numbers up to the last known version have been given out again:
      // these changes may lack some, so they are not applied.
      IsListed = false;
      co_await wait(randomUpTo(Timing.RestoredListSpread));
      co_return absl::OkStatus();
    }
    if (Changes->IsHistoryLost) {
      logEvent(LogLevel::Info, "store-history-lost",
               {{"table", Table}, {"version", toString(Version)}});
      IsListed = false;
      co_return absl::OkStatus();
    }
    Version = std::max(Version, Changes->Version);
    To.onChanges(std::move(*Changes), graceUntil());
    co_return absl::OkStatus();
  }

  /// Waits for changes. While it is not known that the connection works, asks
  /// for an immediate answer instead.
  asio::awaitable<absl::StatusOr<RowChanges>> poll() {
    std::string Reason = "another connection was lost";
    if (IsReached && !IsAnswerNeeded) {
      absl::StatusOr<RowChanges> Changes = co_await From.follow(
          Table, Version.Number, pollTimeout(), Timing.AnswerMargin);
      if (IsInterrupted || !isConnectionLost(Changes.status()))
        co_return Changes;
      HasLost = true;
      Reason = std::string(Changes.status().message());
    }
    absl::StatusOr<RowChanges> Changes = co_await From.follow(
        Table, Version.Number, Duration(0), Timing.ReplacementMargin);
    if (Changes.ok() && IsReached)
      onConnectionReplaced(Reason);
    co_return Changes;
  }

  /// Returns early once the store has returned.
  asio::awaitable<void> wait(Duration Delay) {
    if (Delay.count() <= 0)
      co_return;
    Timer.expires_after(Delay);
    error_code Ended;
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ended));
  }

  Duration pollTimeout() const {
    if (Timing.IsRelaxed())
      return Timing.RelaxedPollTimeout;
    return std::clamp(Timing.MaxAge - Timing.AnswerMargin - age(),
                      std::min(MinPollTimeout, Timing.PollTimeout),
                      Timing.PollTimeout);
  }

  /// Age of what the follower knows, as of the store's last answer.
  Duration age() const { return now() - LastAnswerAt; }

  static bool isConnectionLost(const absl::Status &Result) {
    // ResourceExhausted: the store has answered.
    return !Result.ok() && !absl::IsResourceExhausted(Result);
  }

  // The store was not away, or not for long enough that entries expired.
  void onConnectionReplaced(const std::string &Reason) {
    logEvent(LogLevel::Info, "store-connection-replaced",
             {{"table", Table},
              {"age_ms", age().count() / 1000},
              {"reason", Reason}});
    IsReached = age() < Timing.LapseTime;
  }

  // The first response after an outage or a restore starts the grace period.
  void onAnswer(uint64_t Era) {
    bool IsRestored = WasReached && Era > Version.Era;
    if (IsRestored)
      logEvent(
          LogLevel::Warning, "store-restored",
          {{"table", Table}, {"version", toString(Version)}, {"era", Era}});
    if (IsRestored || (!IsReached && WasReached))
      RecoveredAt = now();
    Version.Era = std::max(Version.Era, Era);
    LastAnswerAt = now();
    IsAnswerNeeded = false;
  }

  Duration randomUpTo(Duration Limit) {
    std::uniform_int_distribution<int64_t> Any(0, Limit.count());
    return Duration(Any(Random));
  }

  std::optional<TimePoint> graceUntil() const {
    TimePoint Until = RecoveredAt + dispatch::StoreRecoveryGrace;
    bool IsRecovering = RecoveredAt != TimePoint() && now() < Until;
    return IsRecovering ? std::optional(Until) : std::nullopt;
  }

  void onReached() {
    Backoff = Timing.InitialBackoff;
    if (!IsReached)
      logEvent(LogLevel::Info, "store-reached",
               {{"table", Table}, {"version", toString(Version)}});
    IsReached = true;
    WasReached = true;
    if (std::exchange(HasLost, false))
      Group.announceReturn(*this);
  }

  void onFailed(const absl::Status &Reason) {
    if (IsReached || !WasTried)
      logEvent(LogLevel::Warning, "store-lost",
               {{"table", Table},
                {"version", toString(Version)},
                {"reason", std::string(Reason.message())}});
    IsReached = false;
    WasTried = true;
    HasLost = true;
  }

  Duration nextBackoff() {
    std::uniform_real_distribution<double> Jitter(0.7, 1.3);
    auto Result = Duration(static_cast<int64_t>(
        static_cast<double>(Backoff.count()) * Jitter(Random)));
    Backoff = std::min(2 * Backoff, Timing.MaxBackoff);
    return Result;
  }

  static constexpr Duration MinPollTimeout = std::chrono::milliseconds(100);

  static TimePoint now() {
    return std::chrono::time_point_cast<Duration>(Clock::now());
  }

  Store &From;
  FollowerGroup &Group;
  const std::string Table;
  Sink &To;
  const FollowerTiming Timing;
  std::mt19937_64 Random;
  asio::basic_waitable_timer<Clock> Timer;
  // The last version that the sink has received; its era may be newer while the
  // table has to be listed again.
  dispatch::StoreVersion Version;
  bool IsListed = false;
  Duration Backoff = Timing.InitialBackoff;
  TimePoint RecoveredAt{};
  TimePoint LastAnswerAt{};
  bool IsReached = false;
  bool WasReached = false;
  bool WasTried = false;
  bool IsCalling = false;
  // Whether the call in progress was ended to be repeated.
  bool IsInterrupted = false;
  // Whether an answer may have been lost on the connection.
  bool IsAnswerNeeded = false;
  // Whether the followers of the process have to be told once a call succeeds:
  // this one has lost the store, and none of them has reached it since.
  bool HasLost = false;
  bool IsStopped = false;
};

} // namespace ragwort::fleet

#endif
