//===- AttemptTable.h - At-most-once start of attempts --------------------===//
//
// The agent's record of the attempts that were addressed to its incarnation.
// Each attempt starts at most once. A query for an attempt that has not started
// forbids it permanently, so that the answer "never started" remains true.
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

/// Result of AttemptTable::admit().
enum class Admission : uint8_t {
  Admitted,
  /// The attempt was admitted before; it may have ended.
  Duplicate,
  /// A query or a cancellation forbade the attempt before it arrived.
  Forbidden,
  /// The attempt was addressed to an earlier incarnation.
  WrongIncarnation,
  /// The table is full and none of its entries may be dropped yet.
  Full,
};

/// State of an attempt.
enum class State : uint8_t {
  /// Admitted but not started; can still be forbidden.
  Waiting,
  /// Started: the backend server may have received some of the request.
  Running,
  /// The backend server sent a complete answer.
  Completed,
  /// Started, but the answer was lost or incomplete.
  Broken,
  /// Will never start.
  Forbidden,
};

/// Stored answer of a completed attempt.
struct Result {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Result of AttemptTable::query().
struct Report {
  State CurrentState = State::Forbidden;
  /// Set for a completed attempt whose answer is small enough to be stored.
  std::optional<Result> Answer;
};

/// Limits of an attempt table.
struct TableLimits {
  /// Number of entries at which admit() refuses further attempts.
  size_t MaxAttempts = 100'000;
  /// Time for which an ended attempt is kept. It is longer than any deadline of
  /// a non-idempotent request, so a start that is requested after the entry was
  /// dropped is past its deadline.
  Duration Retention = std::chrono::hours(1);
  /// Largest answer body that is stored, in bytes.
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

  /// Adds an attempt in state Waiting.
  Admission admit(AttemptId Id, Incarnation AddressedTo, TimePoint Now);

  /// Moves a waiting attempt to Running. Must be called directly before the
  /// first byte may be sent to the backend server. \returns false if the
  /// attempt is not waiting, for example because it was forbidden or has
  /// already started.
  bool start(AttemptId Id);

  /// Returns a running attempt to Waiting. Only valid if it is certain that no
  /// byte was sent; aborts if the attempt is not running.
  void undoStart(AttemptId Id);

  /// Forbids an attempt that is waiting or unknown. \returns whether the
  /// attempt is forbidden, that is, will never start.
  bool cancel(AttemptId Id, TimePoint Now);

  /// Records the end of a running attempt, with or without a complete answer.
  /// Both abort if the attempt is not running.
  void complete(AttemptId Id, Result Answer, TimePoint Now);
  void markBroken(AttemptId Id, TimePoint Now);

  /// Reports the state of an attempt, and forbids it if it has not started.
  /// \returns std::nullopt if the attempt was addressed to another incarnation,
  /// whose attempts this table does not know.
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
  void dropExpired(TimePoint Now);

  const Incarnation Self;
  const TableLimits Limits;
  // Invariant: an entry's state only changes from Waiting to Running to
  // Completed or Broken, or from Waiting to Forbidden. Only undoStart() changes
  // it back from Running to Waiting.
  std::map<AttemptId, Entry> Entries;
  struct Expiry {
    TimePoint At;
    AttemptId Id;
  };
  // Ended attempts, earliest expiry first.
  std::deque<Expiry> Ended;
};

} // namespace ragwort::attempts

#endif
