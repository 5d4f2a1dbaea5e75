//===- ShardOwner.h - Runs each idempotency key at most once --------------===//
//
// The state machine by which a node manages one shard. It uses no sockets,
// clocks or threads: it is given events and returns actions for the calling
// code (the driver) to perform.
//
// A node owns the shard once its claim of the head row is committed and it has
// read the log. It starts an attempt only after the intent is in the log.
// Safety depends on three conditions that are checked outside this class: the
// table service commits an append only if the head row is still the claimed
// one, and only if the batch's row is absent; and an agent does not start an
// attempt that it has already reported as never started.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_JOURNAL_SHARDOWNER_H
#define RAGWORT_JOURNAL_SHARDOWNER_H

#include "ragwort/base/Outcome.h"
#include "ragwort/base/Time.h"
#include "ragwort/journal/Records.h"
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ragwort::journal {

/// One caller's request for a key.
struct KeyedRequest {
  /// Identifies the caller in the Reply; chosen by the driver.
  uint64_t Ticket = 0;
  KeyId Key;
  std::string Fingerprint;
  /// The agent to run the request; its name is empty if none is available.
  Target To;
  /// Set if the owner of this epoch did not answer: the shard is taken over
  /// unless it already has a later owner.
  std::optional<Epoch> TakeOverFrom;
};

/// \name Actions for the driver
/// @{

/// Read the head row, then call onHead().
struct ReadHead {};
/// Write the head row if it still has \p RowVersion, then call onClaimed().
struct ClaimHead {
  uint64_t RowVersion = 0;
  Head NewHead;
};
/// Read log rows after \p AfterSequence, then call onLog().
struct ReadLog {
  uint64_t AfterSequence = 0;
};
/// Append a batch if the head row still has \p HeadRowVersion and the batch's
/// row is absent, then call onAppended().
struct AppendBatch {
  uint64_t HeadRowVersion = 0;
  Batch Value;
};
/// Read one log row to find out whether an append was committed, then call
/// onBatchRead().
struct ReadBatch {
  uint64_t Sequence = 0;
};
/// Start the attempt; call onAttemptEnded() when it ends.
struct StartAttempt {
  Intent AttemptIntent;
};
/// Query the agent about the attempt, then call onAgentReport().
struct QueryAgent {
  Intent AttemptIntent;
};

/// The key's answer, from this request or from an earlier one.
struct Answered {
  KeyedAnswer Answer;
  bool IsReplay = false;
};
/// No node has run a request for this key so far.
struct NotRun {
  RefusalReason Reason = RefusalReason::InternalError;
};
/// A request for this key may have run.
struct OutcomeUnknown {
  /// This text is sent to other nodes and to callers.
  std::string Detail;
  /// True if the caller may retry soon: nothing was started for this request,
  /// but the journal was not available to check for an earlier run.
  bool IsJournalDown = false;
};
/// Another node owns the shard.
struct Redirected {
  Head Owner;
};
using KeyedOutcome = std::variant<Answered, NotRun, OutcomeUnknown, Redirected>;

/// Answer the caller of \p Ticket; sent once per ticket.
struct Reply {
  uint64_t Ticket = 0;
  KeyedOutcome Value;
};

using Action = std::variant<ReadHead, ClaimHead, ReadLog, AppendBatch,
                            ReadBatch, StartAttempt, QueryAgent, Reply>;
/// @}

/// Result of a write; Unknown if the service did not answer.
enum class WriteResult : uint8_t { Committed, Conflict, Unknown };

/// Status of an attempt, as reported by its agent.
enum class AttemptStatus : uint8_t {
  NeverStarted,
  Running,
  Completed,
  /// Started, and its answer was lost.
  Broken,
  /// The agent was restarted since and does not know the attempts of its
  /// earlier incarnation.
  WrongIncarnation,
  Unreachable,
};

/// Identity of this node, and the shard it manages.
struct OwnerIdentity {
  uint32_t Shard = 0;
  std::string Node;
  Incarnation Self;
  Address NodeAddress;
};

/// Time and size limits of a shard.
struct OwnerLimits {
  /// Minimum time between two appends.
  Duration CommitInterval = std::chrono::milliseconds(2);
  /// Time after which callers get OutcomeUnknown if the record that they wait
  /// for is not committed.
  Duration AppendTimeout = std::chrono::seconds(2);
  /// Maximum number of requests that wait for the shard to be loaded.
  size_t MaxPending = 1024;
  /// Maximum number of records in one batch.
  size_t MaxBatch = 256;
};

/// \code
///   ShardOwner Owner(Identity, OwnerLimits());
///   Owner.onRequest(Request, Now);
///   for (Action &A : Owner.takeActions())
///     ... perform A, then call the matching on...() ...
///   ... at Owner.nextTimer(): Owner.onTimer(Now) ...
/// \endcode
class ShardOwner {
public:
  ShardOwner(OwnerIdentity Identity, OwnerLimits Limits);

  void onRequest(const KeyedRequest &Request, TimePoint Now);
  /// Result of ReadHead. \p Found is empty if the service did not answer;
  /// \p RowVersion is 0 if the row is absent.
  void onHead(const std::optional<Head> &Found, uint64_t RowVersion,
              TimePoint Now);
  /// ClaimHead ended with any result. The head row is read again to find out
  /// whether the claim was committed.
  void onClaimed();
  /// Another node reported that the shard has a later owner.
  void onNewerHead(const Head &Newer);
  /// Result of ReadLog. \p Batches is empty if the service did not answer;
  /// \p IsEnd is true if no later batch exists.
  void onLog(const std::optional<std::vector<Batch>> &Batches, bool IsEnd,
             TimePoint Now);
  void onAppended(WriteResult Result, TimePoint Now);
  /// Result of ReadBatch. \p IsAnswered is false if the service did not answer;
  /// \p Found is empty if the row is absent.
  void onBatchRead(bool IsAnswered, const std::optional<Batch> &Found,
                   TimePoint Now);
  /// The attempt of a StartAttempt ended. \p Next is another agent to try after
  /// NeverStarted; empty if the request must not be tried again. \p Reason is
  /// what the callers get after NeverStarted without \p Next; it is not used
  /// otherwise.
  void onAttemptEnded(const KeyId &Key, AttemptId Attempt, AttemptResult Result,
                      const KeyedAnswer &Answer, RefusalReason Reason,
                      const std::optional<Target> &Next, TimePoint Now);
  void onAgentReport(const KeyId &Key, AttemptId Attempt, AttemptStatus Status,
                     const KeyedAnswer &Answer, TimePoint Now);
  /// Appends records delayed by the commit interval, retries failed reads and
  /// appends, and answers callers whose append timed out.
  void onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  std::vector<Action> takeActions();

  bool isServing() const { return CurrentPhase == Phase::Serving; }
  std::string_view phaseName() const;
  Epoch epoch() const { return KnownHead.OwnerEpoch; }
  size_t keyCount() const { return Keys.size(); }

private:
  enum class Phase : uint8_t {
    Idle,
    ReadingHead,
    Claiming,
    Loading,
    Serving,
    /// Another node owns the shard; its head row is in KnownHead.
    Following,
  };
  enum class KeyPhase : uint8_t {
    /// The intent is in the outbox, or the result of its append is not known.
    Appending,
    /// Like Appending, but its callers have been answered after the append
    /// timeout, so the attempt must not start.
    Abandoned,
    /// The request never ran. Its callers are answered once a record of that is
    /// committed, because the commit proves that no other node has owned the
    /// shard in the meantime.
    Refusing,
    Running,
    /// An intent was recorded, but this node does not know the attempt's
    /// result.
    Orphaned,
    /// The agent of an orphaned intent is being queried.
    Querying,
    Completed,
    /// The attempt may have run; this can no longer be determined.
    ResultUnknown,
    /// No attempt is running or has run.
    Free,
  };
  struct Waiter {
    uint64_t Ticket = 0;
    Target To;
  };
  struct KeyState {
    KeyPhase Phase = KeyPhase::Free;
    Intent LastIntent;
    KeyedAnswer Answer;
    std::vector<Waiter> Waiters;
    /// Valid while Refusing.
    RefusalReason Reason = RefusalReason::InternalError;
  };
  struct Append {
    Batch Value;
    WriteResult LastResult = WriteResult::Unknown;
    // Whether the batch's row is read or the append is repeated at NextTry.
    bool IsReadDue = false;
    std::optional<TimePoint> NextTry;
  };
  struct Deadline {
    TimePoint At;
    KeyId Key;
    AttemptId Attempt;
  };

  void emit(Action A) { Actions.push_back(std::move(A)); }
  void reply(uint64_t Ticket, KeyedOutcome Outcome);
  void replyAll(std::vector<Waiter> &Waiters, const KeyedOutcome &Outcome);

  // Ownership.
  void readHead();
  void beginClaim(uint64_t RowVersion, const Head &Previous);
  void beginLoad(const Head &Own, uint64_t RowVersion);
  void follow(const Head &Owner);
  void loseOwnership();
  void failPending();
  void admitPending(TimePoint Now);

  // Keys.
  void admit(const KeyedRequest &Request, TimePoint Now);
  void queueIntent(const KeyId &Key, KeyState &State, const Target &To,
                   TimePoint Now);
  void refuse(const KeyId &Key, KeyState &State, RefusalReason Reason,
              TimePoint Now);
  void conclude(const KeyId &Key, KeyState &State, AttemptResult Result,
                const KeyedAnswer &Answer);
  void replayRecord(const Record &R);
  void expireAppends(TimePoint Now);

  // The log.
  void appendNextBatch(TimePoint Now);
  void onCommitted(TimePoint Now);
  void onRefusalCommitted(const Conclusion &End);
  bool dropFromOutbox(AttemptId Attempt);

  const OwnerIdentity Identity;
  const OwnerLimits Limits;
  std::vector<Action> Actions;

  Phase CurrentPhase = Phase::Idle;
  // While Serving: the head row that this node wrote. Invariant: every append
  // requires HeadRowVersion, the row version of that write.
  Head KnownHead;
  uint64_t HeadRowVersion = 0;
  uint64_t NextSequence = 1;
  uint64_t NextAttempt = 1;
  uint64_t NextBatchId = 1;

  std::vector<KeyedRequest> Pending;
  std::map<KeyId, KeyState> Keys;
  std::vector<Record> Outbox;
  // Invariant: at most one append is in flight; the next one waits until it is
  // known whether this one was committed.
  std::optional<Append> InFlight;
  TimePoint NextCommit{};
  // When appends with no known result time out, earliest first.
  std::deque<Deadline> Deadlines;
  // Callers of attempts that were started before this node lost the shard.
  std::map<AttemptId, std::vector<Waiter>> DetachedWaiters;
};

} // namespace ragwort::journal

#endif
