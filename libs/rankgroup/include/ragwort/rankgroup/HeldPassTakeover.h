//===- HeldPassTakeover.h - Frees a group whose controller went silent ----===//
//
// A controller that is frozen or dead may leave a pass held (see MapSwitch.h);
// the group then waits. The agent beside another rank frees it, without knowing
// whether the controller is dead, slow or just waking up:
//
//   1. It holds the same pass at its own rank. From then on nobody else can
//      let the pass begin.
//   2. Each rank that is armed for the pass is disarmed; each rank is given a
//      newer version to prepare, after which it can no longer be armed with
//      the interrupted one. The map stays the one in use.
//   3. With that done on all ranks, the pass is released at both.
//
// It never completes the change: a predecessor that takes it back could still
// disarm a rank. Whatever the controller does meanwhile is harmless, since its
// change can only be armed on ranks that step 2 has not reached, and the pass
// does not begin before step 2 has reached them all. A rank armed for another
// pass belongs to a later change and is left alone.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_RANKGROUP_HELDPASSTAKEOVER_H
#define RAGWORT_RANKGROUP_HELDPASSTAKEOVER_H

#include "ragwort/rankgroup/MapSwitch.h"

namespace ragwort::rankgroup {

/// Pure state machine of one takeover.
///
/// \code
///   HeldPassTakeover T(Ranks, OwnRank, Epoch, HeldStep, InUse, Salt);
///   for (const SendOrder &S : T.takeOrders(Now)) send(S);
///   T.onAnswer(S.Rank, S.Number, Answer, Now);
///   T.onReport(Rank, Report, Token);
/// \endcode
class HeldPassTakeover {
public:
  enum class Stage : uint8_t {
    HoldingOwn,
    Fencing,
    ReleasingController,
    ReleasingOwn,
    /// The pass was freed.
    Freed,
    /// The pass began or the group was formed anew in the meantime.
    Needless,
  };

  /// \p Salt differs between agents; versions are chosen with it as a
  /// controller does. Rank 0 is the controller's.
  HeldPassTakeover(uint32_t Ranks, uint32_t OwnRank, uint64_t Epoch,
                   uint64_t HeldStep, ExpertMap InUse, uint64_t Salt);

  std::vector<SendOrder> takeOrders(TimePoint Now);
  void onAnswer(uint32_t Rank, uint64_t Number, OrderAnswer Answer,
                TimePoint Now);
  /// A call failed without an answer: it is sent again.
  void onNoAnswer(uint32_t Rank, uint64_t Number, TimePoint Now);
  void onReport(uint32_t Rank, const EngineReport &Report, uint64_t Token);
  std::vector<ReportRequest> awaitedReports() const;

  Stage stage() const { return Current; }
  bool isOver() const { return Current >= Stage::Freed; }
  uint64_t epoch() const { return Epoch; }
  uint64_t heldStep() const { return HeldStep; }

private:
  struct Rank {
    // Not zero: decided by a report with this token or a later one.
    uint64_t AwaitedToken = 0;
    TimePoint AwaitedSince{};
    std::optional<RankOrder> Open;
    uint64_t Number = 0;
    TimePoint SentAt{};
    bool IsSent = false;
    // Can no longer be armed with the interrupted version, and is not.
    bool IsFenced = false;
  };

  void giveOrder(uint32_t Index, OrderKind Kind, uint64_t Version);
  void awaitReport(uint32_t Index, TimePoint Now);
  void onFencingAnswer(uint32_t Index, OrderKind Kind, OrderAnswer Answer,
                       TimePoint Now);
  uint64_t nextVersion();

  const uint32_t OwnRank;
  const uint64_t Epoch;
  const uint64_t HeldStep;
  const ExpertMap InUse;
  const uint64_t Salt;
  Stage Current = Stage::HoldingOwn;
  std::vector<Rank> Ranks;
  uint64_t HighestVersion = 0;
  // Numbers of orders and tokens of report requests.
  uint64_t NextNumber = 1;
};

std::string_view toString(HeldPassTakeover::Stage Stage);

} // namespace ragwort::rankgroup

#endif
