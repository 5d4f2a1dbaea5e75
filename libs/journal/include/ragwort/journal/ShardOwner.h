//===- ShardOwner.h - Runs each idempotency key at most once --------------===//
//
// The decisions of a node about one shard, without sockets, clocks or threads.
// It takes events and leaves actions for its shell to carry out.
//
// A node owns the shard after its claim of the head row took effect and it has
// read the log. It starts an attempt only after the intent is in the log. All
// safety rests on three conditions that others check: an append requires the
// claimed head row, a batch requires that its row is absent, and an agent
// starts an attempt only if nobody was told before that it never started.
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

/// One caller's request for a key. Tickets are chosen by the shell.
struct KeyedRequest {
  uint64_t Ticket = 0;
  KeyId Key;
  std::string Fingerprint;
  /// The agent that would run it; without a name when there is none.
  Target To;
  /// Set when the owner of this epoch did not answer: the shard is taken over
  /// unless it has moved on already.
  std::optional<Epoch> TakeOverFrom;
};

/// \name Actions for the shell
/// @{

/// Read the head row; answer with onHead().
struct ReadHead {};
/// Write the head row if it still has \p RowVersion; answer with onClaimed().
struct ClaimHead {
  uint64_t RowVersion = 0;
  Head NewHead;
};
/// Read log rows after \p AfterSequence; answer with onLog().
struct ReadLog {
  uint64_t AfterSequence = 0;
};
/// Append a batch if the head row still has \p HeadRowVersion and the batch's
/// row is absent; answer with onAppended().
struct AppendBatch {
  uint64_t HeadRowVersion = 0;
  Batch Value;
};
/// Read one log row to settle a lost answer; answer with onBatchRead().
struct ReadBatch {
  uint64_t Sequence = 0;
};
/// Start the attempt; answer with onAttemptEnded().
struct StartAttempt {
  Intent AttemptIntent;
};
/// Ask the agent about the attempt; answer with onAgentReport().
struct QueryAgent {
  Intent AttemptIntent;
};

/// The key's answer, now or of an earlier run.
struct Answered {
  KeyedAnswer Answer;
  bool IsReplay = false;
};
/// Nothing was run for this key, by anyone, up to now.
struct NotRun {
  RefusalReason Reason = RefusalReason::InternalError;
};
/// The key may have run.
struct OutcomeUnknown {
  std::string Detail;
  /// Whether the caller may repeat the key soon: it was not started here, but
  /// the journal could not be asked whether it ran before.
  bool IsJournalDown = false;
};
/// Another node owns the shard.
struct Redirected {
  Head Owner;
};
using KeyedOutcome = std::variant<Answered, NotRun, OutcomeUnknown, Redirected>;

/// Answer the caller of \p Ticket, once.
struct Reply {
  uint64_t Ticket = 0;
  KeyedOutcome Value;
};

using Action = std::variant<ReadHead, ClaimHead, ReadLog, AppendBatch,
                            ReadBatch, StartAttempt, QueryAgent, Reply>;
/// @}

/// How a write ended, as far as the writer knows.
enum class WriteResult : uint8_t { Committed, Conflict, Unknown };

/// What an agent said about an attempt.
enum class AttemptStatus : uint8_t {
  NeverStarted,
  Running,
  Completed,
  /// Started, and its answer was lost.
  Broken,
  /// The agent is another incarnation and cannot vouch for the earlier one.
  WrongIncarnation,
  Unreachable,
};

/// Who this node is, and for which shard it decides.
struct OwnerIdentity {
  uint32_t Shard = 0;
  std::string Node;
  Incarnation Self;
  Address NodeAddress;
};

/// Timing of a shard.
struct OwnerLimits {
  Duration CommitInterval = std::chrono::milliseconds(2);
  Duration AppendTimeout = std::chrono::seconds(2);
  /// Requests that wait for the shard to be loaded.
  size_t MaxPending = 1024;
  /// Records in one batch.
  size_t MaxBatch = 256;
};

/// \code
///   ShardOwner Owner(Identity, OwnerLimits());
///   Owner.onRequest(Request, Now);
///   for (Action &A : Owner.takeActions()) ... carry out, answer with on...()
///   ... at Owner.nextTimer(): Owner.onTimer(Now) ...
/// \endcode
class ShardOwner {
public:
  ShardOwner(OwnerIdentity Identity, OwnerLimits Limits);

  void onRequest(const KeyedRequest &Request, TimePoint Now);
  /// \p Found is empty when the service did not answer.
  void onHead(const std::optional<Head> &Found, uint64_t RowVersion,
              TimePoint Now);
  /// The claim ended somehow; the head row tells how.
  void onClaimed();
  /// Another node named a later owner.
  void onNewerHead(const Head &Later);
  /// \p Batches is empty when the service did not answer; \p IsEnd tells that
  /// no later batch exists.
  void onLog(const std::optional<std::vector<Batch>> &Batches, bool IsEnd,
             TimePoint Now);
  void onAppended(WriteResult Result, TimePoint Now);
  /// \p IsAnswered tells whether the service answered; \p Found is empty when
  /// the row is absent.
  void onBatchRead(bool IsAnswered, const std::optional<Batch> &Found,
                   TimePoint Now);
  /// The attempt of a StartAttempt ended. \p Next is another agent to try
  /// after NeverStarted, if the request may still be tried.
  void onAttemptEnded(const KeyId &Key, AttemptId Attempt, AttemptResult How,
                      const KeyedAnswer &Answer, RefusalReason Reason,
                      const std::optional<Target> &Next, TimePoint Now);
  void onAgentReport(const KeyId &Key, AttemptId Attempt, AttemptStatus Said,
                     const KeyedAnswer &Answer, TimePoint Now);
  /// Sends what the commit interval held back and gives up what takes too
  /// long.
  void onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  std::vector<Action> takeActions();

  bool isServing() const { return Current == Phase::Serving; }
  std::string_view phaseName() const;
  Epoch epoch() const { return Claimed.OwnerEpoch; }
  size_t keyCount() const { return Keys.size(); }

private:
  enum class Phase : uint8_t {
    Idle,
    ReadingHead,
    Claiming,
    Loading,
    Serving,
    /// Another node owns the shard; its head is in Claimed.
    Following,
  };
  enum class KeyPhase : uint8_t {
    /// The intent waits in the outbox or its append is not settled.
    Appending,
    /// Like Appending, but its callers were told: it must not start.
    Abandoned,
    /// It never ran, and its callers are told so once a record of that is in
    /// the log: the append proves that nobody else owned the shard meanwhile.
    Refusing,
    Running,
    /// An intent whose end this node does not know.
    Orphaned,
    /// The agent of an orphaned intent is being asked.
    Asking,
    Completed,
    /// It may have run and nobody can tell any more.
    Lost,
    /// Nothing is running and nothing has run.
    Free,
  };
  struct Waiter {
    uint64_t Ticket = 0;
    Target To;
  };
  struct KeyState {
    KeyPhase Phase = KeyPhase::Free;
    Intent Last;
    KeyedAnswer Answer;
    std::vector<Waiter> Waiters;
    /// Meaningful while Refusing.
    RefusalReason Why = RefusalReason::InternalError;
  };
  struct Append {
    Batch Value;
    WriteResult Last = WriteResult::Unknown;
    // What to do at NextTry, if it is set.
    bool IsReadDue = false;
    std::optional<TimePoint> NextTry;
  };
  struct Deadline {
    TimePoint At;
    KeyId Key;
    AttemptId Attempt;
  };

  void emit(Action A) { Out.push_back(std::move(A)); }
  void reply(uint64_t Ticket, KeyedOutcome V);
  void replyAll(std::vector<Waiter> &Waiters, const KeyedOutcome &V);

  // Ownership.
  void readHead();
  void beginClaim(uint64_t RowVersion, const Head &Previous);
  void beginLoad(const Head &Own, uint64_t RowVersion);
  void follow(const Head &Owner);
  void loseOwnership();
  void giveUpPending();
  void servePending(TimePoint Now);

  // Keys.
  void admit(const KeyedRequest &Request, TimePoint Now);
  void openIntent(const KeyId &Key, KeyState &State, const Target &To,
                  TimePoint Now);
  void refuse(const KeyId &Key, KeyState &State, RefusalReason Why,
              TimePoint Now);
  void conclude(const KeyId &Key, KeyState &State, AttemptResult How,
                const KeyedAnswer &Answer);
  void replayRecord(const Record &R);
  void giveUpSlowAppends(TimePoint Now);

  // The log.
  void pump(TimePoint Now);
  void onCommitted(TimePoint Now);
  void onRefusalCommitted(const Conclusion &End);
  bool dropFromOutbox(AttemptId Attempt);

  const OwnerIdentity Identity;
  const OwnerLimits Limits;
  std::vector<Action> Out;

  Phase Current = Phase::Idle;
  // While Serving: the head row that this node wrote. Invariant: every append
  // requires HeadRowVersion, the row version of that write.
  Head Claimed;
  uint64_t HeadRowVersion = 0;
  uint64_t NextSequence = 1;
  uint64_t NextAttempt = 1;
  uint64_t NextBatchId = 1;

  std::vector<KeyedRequest> Pending;
  std::map<KeyId, KeyState> Keys;
  std::vector<Record> Outbox;
  // Invariant: at most one append is under way; the next one waits until it is
  // known whether this one took effect.
  std::optional<Append> InFlight;
  TimePoint NextCommit{};
  // When appends that are not settled are given up, soonest first.
  std::deque<Deadline> Deadlines;
  // Callers of attempts that were started before the shard was lost.
  std::map<AttemptId, std::vector<Waiter>> Detached;
};

} // namespace ragwort::journal

#endif
