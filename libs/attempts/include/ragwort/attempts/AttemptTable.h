//===- AttemptTable.h - Each attempt starts at most once ------------------===//
//
// The agent's memory of the attempts that were addressed to its incarnation.
// An attempt may start once. Whoever asks about an attempt that has not
// started forbids it for good, so "never started" stays true.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ATTEMPTS_ATTEMPTTABLE_H
#define RAGWORT_ATTEMPTS_ATTEMPTTABLE_H

#include "ragwort/base/Bytes.h"
#include "ragwort/base/Ids.h"
#include "ragwort/base/Time.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ragwort::attempts {

/// Whether an attempt was taken in.
enum class Admission : uint8_t {
  Admitted,
  /// The attempt was already admitted or has ended.
  Duplicate,
  /// A query or a cancellation forbade the attempt before it came.
  Forbidden,
  /// The attempt was addressed to an earlier incarnation.
  WrongIncarnation,
  /// The table is full of attempts that may not be forgotten yet.
  Full,
};

/// What is known of an attempt.
enum class State : uint8_t {
  /// Admitted, not started: may still be forbidden.
  Waiting,
  /// The backend server may have seen a byte of it.
  Running,
  /// The backend server answered and the answer was whole.
  Completed,
  /// Started, and its answer was lost.
  Broken,
  /// Will never start.
  Forbidden,
};

/// A remembered answer of a completed attempt.
struct Result {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Answer to a question about an attempt.
struct Report {
  State CurrentState = State::Forbidden;
  /// Set for a completed attempt with a small answer.
  std::optional<Result> Answer;
};

/// Bounds of the table.
struct TableLimits {
  /// Attempts that are remembered at once.
  size_t MaxAttempts = 100'000;
  /// Time that an ended attempt is remembered. Longer than any deadline of a
  /// non-idempotent request, so a start that comes later is out of date.
  Duration Retention = std::chrono::hours(1);
  /// Largest answer that is remembered, in bytes.
  size_t MaxResultBytes = 16 * KiB;
};

/// \code
///   AttemptTable Table(Self, TableLimits());
///   if (Table.admit(Id, ToIncarnation, Now) == Admission::Admitted &&
///       Table.start(Id))
///     ... send the request to the backend server ...
/// \endcode
class AttemptTable {
public:
  AttemptTable(Incarnation Self, TableLimits Limits);

  /// Takes an attempt in as waiting.
  Admission admit(AttemptId Id, Incarnation AddressedTo, TimePoint Now);

  /// Gives the permission to start, once. Called right before the first byte
  /// may leave. \returns false when the attempt was forbidden meanwhile.
  bool start(AttemptId Id);

  /// Gives a start back after which provably no byte left.
  void undoStart(AttemptId Id);

  /// Forbids a waiting attempt. \returns whether it never started.
  bool cancel(AttemptId Id, TimePoint Now);

  /// Notes the end of a started attempt.
  void complete(AttemptId Id, Result Answer, TimePoint Now);
  void markBroken(AttemptId Id, TimePoint Now);

  /// Reports on an attempt and forbids it if it has not started. Returns
  /// nothing when the question is about another incarnation, for which this
  /// one cannot vouch.
  std::optional<Report> query(AttemptId Id, Incarnation AddressedTo,
                              TimePoint Now);

  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    State Current = State::Waiting;
    Result Answer;
    bool HasAnswer = false;
  };

  void end(AttemptId Id, State Final, TimePoint Now);
  void forget(TimePoint Now);

  const Incarnation Self;
  const TableLimits Limits;
  // Invariant: an entry's state only moves Waiting -> Running -> Completed or
  // Broken, or Waiting -> Forbidden; undoStart() alone goes back to Waiting.
  std::map<AttemptId, Entry> Entries;
  struct Expiry {
    TimePoint At;
    AttemptId Id;
  };
  // Ended attempts, oldest first.
  std::deque<Expiry> Ended;
};

} // namespace ragwort::attempts

#endif
