//===- MapSwitch.h - Changes the expert map of a group of ranks -----------===//
//
// All ranks must use one map in every pass, while orders may be lost, doubled
// and carried out seconds late. A change goes like this:
//
//   1. The new map is prepared on every rank; the map in use is untouched.
//   2. The controller's rank, rank 0, holds a pass S that has not begun: no
//      rank begins S before it is released.
//   3. Every rank is armed to switch as S begins.
//   4. S is released when all ranks are known to be armed, or when no rank is
//      armed and none can be by an order that is still on its way.
//
// What makes late orders harmless:
//
//   - A version is never prepared with two maps and never armed again once it
//     was taken back. A rank can only be armed with the version that it has
//     prepared last, so preparing a newer one ends every arming before it.
//   - An arming fails once its pass has begun.
//   - A change is taken back only after a rank has definitely refused to be
//     armed; that rank can never be armed with this version. So if all ranks
//     are seen armed, nobody has ordered any of them to disarm.
//
// The last point lets a controller that starts anew settle what a predecessor
// left held: with all ranks armed it releases the pass, otherwise it takes the
// change back. If neither condition of step 4 can be shown, the group waits:
// slow is allowed, two maps are not. A group that is formed anew forgets
// everything above, and orders of its former epoch fail.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_MAPSWITCH_H
#define RAGWORT_RANKGROUP_MAPSWITCH_H

#include "ragwort/base/Time.h"
#include "ragwort/rankgroup/EngineTypes.h"
#include <optional>
#include <string_view>
#include <vector>

namespace ragwort::rankgroup {

/// An order to be sent to a rank. Its answer comes back through onAnswer() with
/// the same number. Orders of one number are the same but for their ranks, if
/// they are of one kind and version.
struct OutgoingOrder {
  uint32_t Rank = 0;
  uint64_t Number = 0;
  RankOrder Order;
  /// 1 when the order is sent for the first time.
  uint32_t Attempt = 1;
};

/// Asks for a rank's report, read from now on.
struct ReportRequest {
  uint32_t Rank = 0;
  uint64_t Token = 0;
  TimePoint Since;
};

/// What a switch is doing.
enum class SwitchPhase : uint8_t {
  Idle,
  Preparing,
  Holding,
  Arming,
  /// Looks at what a predecessor left.
  CollectingReports,
  /// Makes sure that no rank is or will be armed; then releases.
  RollingBack,
  Releasing,
};

std::string_view toString(SwitchPhase Phase);

/// When the steps of a change ended.
struct SwitchTimes {
  TimePoint Begun;
  /// Every rank had prepared the map.
  TimePoint Prepared;
  /// Rank 0 held the pass.
  TimePoint Holding;
  /// Every rank was armed.
  TimePoint Armed;
  /// The rank that was armed last.
  uint32_t LastArmed = 0;
  /// Orders to arm that were sent again.
  uint32_t ArmingRepeats = 0;
};

/// Pure state machine of one group's controller.
///
/// \code
///   Switch.onReport(Rank, Report, 0, Now);
///   Switch.begin(InUse, Target, Version, Now);
///   for (const OutgoingOrder &S : Switch.takeOrders(Now)) send(S);
///   Switch.onAnswer(S.Rank, S.Number, Answer, Now);
/// \endcode
class MapSwitch {
public:
  /// An order that has no answer for this long is sent again. An engine answers
  /// within some milliseconds.
  static constexpr Duration ResendAfter = std::chrono::milliseconds(60);
  /// The wait for an answer grows by ResendAfter with each copy up to so many
  /// times that: copies must not add to what makes the answers late.
  static constexpr uint32_t MaxResendFactor = 4;
  /// Preparing that takes longer is given up; the copies are bounded by the
  /// engines' links to little more than a second.
  static constexpr Duration PrepareTimeout = std::chrono::milliseconds(4000);
  /// Least passes ahead of the last one known that are held. One may begin
  /// while the order is on its way.
  static constexpr uint64_t MinPassesAhead = 2;
  /// A report of a held pass that comes so soon after its release may have been
  /// read before it.
  static constexpr Duration StaleReportTime = std::chrono::milliseconds(250);
  /// Attempts to hold a pass before it has begun.
  static constexpr uint32_t MaxHoldAttempts = 12;

  /// Orders are numbered from \p FirstNumber, which must differ so much between
  /// controllers that no two number orders alike.
  explicit MapSwitch(uint32_t Ranks, uint64_t FirstNumber = 1);

  /// Takes a report of a rank. A new epoch ends any switch. \p Token is that of
  /// the request for the report (see awaitedReports()), or zero.
  void onReport(uint32_t Rank, const EngineReport &Report, uint64_t Token,
                TimePoint Now);
  /// Whether all ranks have reported in this epoch.
  bool haveAllReported() const;
  /// Whether all ranks are known, in one epoch and open, and nothing is left
  /// from an earlier switch.
  bool canBegin() const;
  /// Starts to put \p Target in place of \p InUse as \p Version, which must be
  /// higher than all versions known and never used before.
  void begin(ExpertMap InUse, ExpertMap Target, uint64_t Version,
             TimePoint Now);
  /// Whether a pass is held that this controller does not hold.
  bool needsRecovery() const;
  /// Settles what an earlier controller left.
  void beginRecovery(ExpertMap InUse, TimePoint Now);

  /// Sets how many passes the ranks take to be armed. The held pass is so far
  /// ahead, so that the group does not wait for it.
  void setArmingPasses(uint64_t Passes) {
    PassesAhead = MinPassesAhead + Passes;
  }

  std::vector<OutgoingOrder> takeOrders(TimePoint Now);
  /// An order was answered.
  void onAnswer(uint32_t Rank, uint64_t Number, OrderAnswer Answer,
                TimePoint Now);
  /// A call failed without an answer: it is sent again.
  void onNoAnswer(uint32_t Rank, uint64_t Number, TimePoint Now);
  /// Reports that the switch waits for. They must be read after the request.
  std::vector<ReportRequest> awaitedReports() const;

  SwitchPhase phase() const { return Phase; }
  uint64_t epoch() const { return Epoch; }
  uint64_t highestVersion() const { return HighestVersion; }
  uint64_t heldStep() const { return HeldStep; }
  /// Of the latest change that was begun; a step not reached has no time.
  const SwitchTimes &times() const { return Times; }
  /// The map that the change replaces, and its version; a predecessor's change
  /// has no version.
  const ExpertMap &mapInUse() const { return InUse; }
  std::optional<uint64_t> versionInUse() const { return VersionInUse; }
  /// Switches that were completed, and those that were given up or taken back.
  uint64_t completed() const { return Completed; }
  uint64_t abandoned() const { return Abandoned; }

private:
  struct Rank {
    EngineReport Report;
    bool IsKnown = false;
    bool IsPrepared = false;
    bool IsArmed = false;
    // Whether an arming order was sent that is not known to be dead.
    bool MayBeArmed = false;
    // An order that is on its way or is to be sent again.
    std::optional<RankOrder> Open;
    // Copies of the order that were sent, and the numbers of the first and the
    // last of them.
    uint32_t Copies = 0;
    uint64_t FirstNumber = 0;
    uint64_t Number = 0;
    TimePoint SentAt{};
    // Not zero: the rank's state is settled by a report with this token or a
    // later one.
    uint64_t AwaitedToken = 0;
    TimePoint AwaitedSince{};
  };

  void giveOrder(uint32_t Index, OrderKind Kind, uint64_t OrderVersion,
                 uint64_t Step, const ExpertMap *Map = nullptr);
  uint64_t currentVersion() const;
  void awaitReport(uint32_t Index, TimePoint Now);
  static bool isDue(const Rank &R, TimePoint Now);
  static bool isAnswered(const Rank &R, uint64_t Number, OrderAnswer Answer);
  void onAccepted(uint32_t Index, const RankOrder &Done, TimePoint Now);
  void onConflict(uint32_t Index, const RankOrder &Refused, TimePoint Now);
  void onAwaitedReport(uint32_t Index, TimePoint Now);
  void advance(TimePoint Now);
  void decideRecovery();
  void takeBackRank(uint32_t Index);
  void hold(uint64_t Step);
  void release(bool IsCommit);
  bool isQuiet() const;
  void finish(bool IsCompleted);
  void forget();

  std::vector<Rank> Ranks;
  SwitchPhase Phase = SwitchPhase::Idle;
  uint64_t Epoch = 0;
  uint64_t HighestVersion = 0;
  uint64_t Version = 0;
  ExpertMap InUse;
  std::optional<uint64_t> VersionInUse;
  ExpertMap Target;
  SwitchTimes Times;
  // Version of the last switch that was completed in this epoch, or zero.
  uint64_t CommittedVersion = 0;
  uint64_t HeldStep = 0;
  // The pass that was released last, and when that was known.
  uint64_t ReleasedStep = 0;
  TimePoint ReleasedAt{};
  uint32_t Holds = 0;
  uint64_t PassesAhead = MinPassesAhead;
  // Whether rank 0 is known to hold HeldStep.
  bool IsHolding = false;
  // The pass is released with all ranks armed.
  bool IsCommitted = false;
  // A survey ends with a second look at the rank that holds the pass.
  bool IsSecondLook = false;
  // Numbers of orders and tokens of report requests.
  uint64_t NextNumber;
  uint64_t LastStep = 0;
  uint64_t Completed = 0;
  uint64_t Abandoned = 0;
};

} // namespace ragwort::rankgroup

#endif
