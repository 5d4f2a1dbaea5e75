//===- MapSwitch.h - Changes the expert map of a group of ranks -----------===//
//
// All ranks must use the same map in every pass although orders may be lost,
// duplicated or executed seconds late. A change has four steps:
//
//   1. Prepare: every rank loads the new map; the map in use is unaffected.
//   2. Hold: rank 0, the controller's rank, holds a future pass S. No rank
//      begins S before it is released.
//   3. Arm: every rank is told to switch maps at the start of S.
//   4. Release: S is released once all ranks are known to be armed, or once no
//      rank is armed and no order in flight can still arm one.
//
// In the code below, Step, as in HeldStep, is a pass and not one of these
// steps.
//
// Late orders are harmless because:
//
//   - A version is never prepared with two different maps and never armed
//     again after a rollback. A rank can only be armed with the version that
//     it prepared last, so preparing a newer version invalidates all earlier
//     arm orders.
//   - An arm order fails once its pass has begun.
//   - A change is rolled back only after a rank has definitely refused to be
//     armed; that rank can never be armed with this version. So if all ranks
//     report that they are armed, no disarm order has been sent to any of them.
//
// The last point lets a restarted controller finish a change of its
// predecessor: if all ranks are armed it releases the held pass, otherwise it
// rolls the change back. While neither condition of step 4 can be established,
// the group waits: a delay is acceptable, two maps in one pass are not. When a
// group is re-formed its engines discard all of this state, and orders of the
// previous epoch fail.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_MAPSWITCH_H
#define RAGWORT_RANKGROUP_MAPSWITCH_H

#include "ragwort/base/Time.h"
#include "ragwort/rankgroup/EngineTypes.h"
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace ragwort::rankgroup {

/// An order to be sent to a rank. Its answer is passed to onAnswer() with the
/// same number. Orders with the same number, kind and version differ only in
/// their rank.
struct OutgoingOrder {
  uint32_t Rank = 0;
  uint64_t Number = 0;
  RankOrder Order;
  /// 1 for the first transmission, 2 for the first resend, and so on.
  uint32_t Attempt = 1;
};

/// A request for a report that is read from the rank's engine after Since.
struct ReportRequest {
  uint32_t Rank = 0;
  uint64_t Token = 0;
  TimePoint Since;
};

/// Phase of a map change.
enum class SwitchPhase : uint8_t {
  Idle,
  Preparing,
  Holding,
  Arming,
  /// Collects fresh reports of all ranks to find out how far the change of a
  /// previous controller got.
  CollectingReports,
  /// Ensures that no rank is or can become armed, then releases the pass.
  RollingBack,
  Releasing,
};

std::string_view toString(SwitchPhase Phase);

/// When the steps of a change were completed.
struct SwitchTimes {
  TimePoint Begun;
  /// When every rank had prepared the map.
  TimePoint Prepared;
  /// When rank 0 confirmed that it holds the pass.
  TimePoint Holding;
  /// When every rank was armed.
  TimePoint Armed;
  /// The rank that was armed last.
  uint32_t LastArmed = 0;
  /// Number of arm orders that were resent.
  uint32_t ArmingRepeats = 0;
};

/// State machine of one group's controller. It does no I/O: the caller sends
/// the orders and passes in reports, answers and the current time.
///
/// \code
///   Switch.onReport(Rank, Report, 0, Now);
///   Switch.begin(InUse, Target, Version, Now);
///   for (const OutgoingOrder &S : Switch.takeOrders(Now)) send(S);
///   Switch.onAnswer(S.Rank, S.Number, Answer, Now);
/// \endcode
class MapSwitch {
public:
  /// An order is resent when it has had no answer for this long. Engines answer
  /// within a few milliseconds.
  static constexpr Duration ResendAfter = std::chrono::milliseconds(60);
  /// The wait before a resend grows by ResendAfter with each attempt, up to
  /// this multiple of it, so that resends do not add to the congestion that
  /// delays the answers.
  static constexpr uint32_t MaxResendFactor = 4;
  /// A change is abandoned when preparing takes longer than this. Copying the
  /// weights takes little more than a second over the engines' links.
  static constexpr Duration PrepareTimeout = std::chrono::milliseconds(4000);
  /// Minimum distance, in passes, of the held pass from the last known one. A
  /// pass may begin while the hold order is in flight.
  static constexpr uint64_t MinPassesAhead = 2;
  /// For this long after a release, a report that still shows the pass as held
  /// may have been read before the release and is not taken as held.
  static constexpr Duration StaleReportTime = std::chrono::milliseconds(250);
  /// Attempts to hold a pass that has not begun yet; then the change is
  /// abandoned.
  static constexpr uint32_t MaxHoldAttempts = 12;

  /// Orders are numbered from \p FirstNumber. The ranges of numbers used by
  /// different controllers must not overlap.
  explicit MapSwitch(uint32_t Ranks, uint64_t FirstNumber = 1);

  /// Processes a report of a rank. A new epoch abandons a change in progress.
  /// \p Token is that of the request which the report answers (see
  /// awaitedReports()), or zero for an unsolicited report.
  void onReport(uint32_t Rank, const EngineReport &Report, uint64_t Token,
                TimePoint Now);
  /// Whether all ranks have reported in this epoch.
  bool haveAllReported() const;
  /// Whether all ranks have reported in the current epoch, are open and use the
  /// same map, and no change is in progress or left over on a rank.
  bool canBegin() const;
  /// Starts to replace \p InUse by \p Target under \p Version, which must be
  /// higher than all known versions and never have been used before.
  void begin(ExpertMap InUse, ExpertMap Target, uint64_t Version,
             TimePoint Now);
  /// Whether a pass is held that this controller has not ordered to be held.
  bool needsRecovery() const;
  /// Starts to complete or roll back the change that a previous controller left
  /// unfinished.
  void beginRecovery(ExpertMap InUse, TimePoint Now);

  /// Sets how many passes it takes to arm all ranks. The held pass is that much
  /// further ahead, so that the group does not have to wait at it.
  void setArmingPasses(uint64_t Passes) {
    PassesAhead = MinPassesAhead + Passes;
  }

  /// Returns the orders that are due to be sent or resent now, at most
  /// \p Limit of them. Orders that have not been sent yet come first.
  std::vector<OutgoingOrder>
  takeOrders(TimePoint Now, size_t Limit = std::numeric_limits<size_t>::max());
  /// Processes the answer to an order.
  void onAnswer(uint32_t Rank, uint64_t Number, OrderAnswer Answer,
                TimePoint Now);
  /// Records that an order failed without an answer of the engine; it is resent
  /// by the next takeOrders().
  void onNoAnswer(uint32_t Rank, uint64_t Number, TimePoint Now);
  /// Reports that the change waits for. They must be read after the request.
  std::vector<ReportRequest> awaitedReports() const;

  SwitchPhase phase() const { return Phase; }
  uint64_t epoch() const { return Epoch; }
  uint64_t highestVersion() const { return HighestVersion; }
  uint64_t heldStep() const { return HeldStep; }
  /// Times of the latest change that was begun; steps that were not reached
  /// have the default TimePoint.
  const SwitchTimes &times() const { return Times; }
  /// The map that the change replaces, and its version. The version is unset
  /// during recovery.
  const ExpertMap &mapInUse() const { return InUse; }
  std::optional<uint64_t> versionInUse() const { return VersionInUse; }
  /// Number of changes that were completed, and of those that were abandoned or
  /// rolled back.
  uint64_t completed() const { return Completed; }
  uint64_t abandoned() const { return Abandoned; }

private:
  struct Rank {
    EngineReport Report;
    bool IsKnown = false;
    bool IsPrepared = false;
    bool IsArmed = false;
    // Whether an arm order may still take effect on the rank.
    bool MayBeArmed = false;
    // The order that is to be sent or has no answer yet.
    std::optional<RankOrder> PendingOrder;
    // How often the order was sent, and the numbers of the first and the last
    // attempt.
    uint32_t Attempts = 0;
    uint64_t FirstNumber = 0;
    uint64_t Number = 0;
    TimePoint SentAt{};
    // If not zero, the rank's state is unknown until a report with this token
    // or a later one arrives.
    uint64_t AwaitedToken = 0;
    TimePoint AwaitedSince{};
  };

  void setPendingOrder(uint32_t Index, OrderKind Kind, uint64_t OrderVersion,
                       uint64_t Step, const ExpertMap *Map = nullptr);
  uint64_t currentVersion() const;
  void awaitReport(uint32_t Index, TimePoint Now);
  static bool isDue(const Rank &R, TimePoint Now);
  static bool isValidAnswer(const Rank &R, uint64_t Number, OrderAnswer Answer);
  void onAccepted(uint32_t Index, const RankOrder &Done, TimePoint Now);
  void onConflict(uint32_t Index, const RankOrder &Refused, TimePoint Now);
  void onAwaitedReport(uint32_t Index, TimePoint Now);
  void advance(TimePoint Now);
  void decideRecovery();
  void rollBackRank(uint32_t Index);
  void hold(uint64_t Step);
  void release(bool IsCommit);
  bool hasNothingPending() const;
  void finish(bool IsCompleted);
  void resetChange();

  std::vector<Rank> Ranks;
  SwitchPhase Phase = SwitchPhase::Idle;
  uint64_t Epoch = 0;
  uint64_t HighestVersion = 0;
  uint64_t Version = 0;
  ExpertMap InUse;
  std::optional<uint64_t> VersionInUse;
  ExpertMap Target;
  SwitchTimes Times;
  // Version of the last change that was completed in this epoch, or zero.
  uint64_t CommittedVersion = 0;
  uint64_t HeldStep = 0;
  // The pass that was released last, and when the release was confirmed.
  uint64_t ReleasedStep = 0;
  TimePoint ReleasedAt{};
  uint32_t HoldAttempts = 0;
  uint64_t PassesAhead = MinPassesAhead;
  // Whether rank 0 has confirmed that it holds HeldStep.
  bool IsHolding = false;
  // Whether the release completes the change, with all ranks armed.
  bool IsCommitted = false;
  // Recovery reads rank 0, which holds the pass, once more after all ranks have
  // reported; set while waiting for that report.
  bool IsRecheckingRank0 = false;
  // Next number of an order or token of a report request.
  uint64_t NextNumber;
  // The latest pass that a rank has reported in this epoch.
  uint64_t LastStep = 0;
  uint64_t Completed = 0;
  uint64_t Abandoned = 0;
};

} // namespace ragwort::rankgroup

#endif
