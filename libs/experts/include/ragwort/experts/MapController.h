//===- MapController.h - Grants expert maps to a rank group ---------------===//
//
// The controller's half of the agreement on expert maps. Any agent of a group
// can take the duty up: it first gets the promise of every rank, completes
// whatever one of them has seen, and only then proposes anything new. The
// table service is not involved.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_EXPERTS_MAPCONTROLLER_H
#define RAGWORT_EXPERTS_MAPCONTROLLER_H

#include "ragwort/experts/MapGrant.h"
#include <optional>
#include <variant>
#include <vector>

namespace ragwort::experts {

/// A message for one rank of the group.
struct RankMessage {
  uint32_t Rank = 0;
  std::variant<PromiseRequest, AcceptRequest, CommitNotice> Message;
};

/// How far grants reach ahead of the steps.
struct GrantHorizon {
  /// Steps that one grant covers.
  uint64_t GrantSteps = 32;
  /// A new grant is proposed once fewer steps than this are left.
  uint64_t RefillThreshold = 16;
};

/// An epoch that no other controller has: the round orders controllers that
/// know of each other, rank and incarnation tell apart those that do not. A
/// controller that ends and takes its duty up again takes a later round.
Epoch controllerEpoch(uint64_t Round, uint32_t Rank, Incarnation Life);
/// The round after that of \p Seen.
uint64_t nextRound(Epoch Seen);

/// \code
///   MapController Controller(32, Epoch{7}, GrantHorizon());
///   Controller.start();
///   ... deliver Controller.takeMessages(), feed the replies ...
///   Controller.setVersion(9);   // once it is staged on every rank
/// \endcode
class MapController {
public:
  enum class Phase : uint8_t {
    Promising,
    Proposing,
    Steady,
    /// A rank obeys a higher epoch: this controller has ended.
    Fenced,
  };

  MapController(uint32_t Ranks, Epoch Own, GrantHorizon Limits);

  void start();
  void onPromiseReply(uint32_t Rank, const PromiseReply &Reply);
  void onAcceptReply(uint32_t Rank, const AcceptReply &Reply);
  void onCommitReply(uint32_t Rank, const CommitReply &Reply);

  /// Version that the next grants name. Must be staged on every rank.
  void setVersion(uint64_t Version) { WantedVersion = Version; }
  /// Notes that the group completed a step.
  void onStep(uint64_t Step);

  /// Sends what is unanswered again. Called at regular intervals.
  void resend();
  std::vector<RankMessage> takeMessages();

  Phase phase() const { return Current; }
  Epoch epoch() const { return Own; }
  /// Highest epoch that any rank named, for choosing a successor's.
  Epoch highestSeen() const { return Highest; }
  uint64_t grantedThrough() const;
  uint64_t versionInForce() const;

private:
  struct RankState {
    std::optional<Incarnation> Known;
    bool IsPromised = false;
    uint64_t AcceptedIndex = 0;
    uint64_t CommittedIndex = 0;
  };

  void sendPromise(uint32_t Rank);
  void sendAccept(uint32_t Rank);
  void sendCommit(uint32_t Rank);
  void onAllPromised();
  void propose(Grant Next);
  void refill();

  const uint32_t Ranks;
  const GrantHorizon Limits;
  Epoch Own;
  Epoch Highest;
  Phase Current = Phase::Promising;
  std::vector<RankState> States;
  std::vector<PromiseReply> Promises;
  // Invariant: Chain is what was proposed last; all of it is committed when
  // the phase is Steady.
  std::vector<Grant> Chain;
  uint64_t Step = 0;
  uint64_t WantedVersion = 0;
  std::vector<RankMessage> Out;
};

} // namespace ragwort::experts

#endif
