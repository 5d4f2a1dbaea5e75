//===- MapController.h - Grants expert maps to a rank group ---------------===//
//
// The controller's side of the protocol by which the ranks of a group agree on
// expert maps, similar to Paxos with a quorum of all ranks. Any agent of a
// group can become controller. A new controller first obtains a promise from
// every rank and completes any grant that one of them has accepted; only then
// does it propose new grants. The protocol does not depend on the table
// service.
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

/// How many steps are granted in advance.
struct GrantHorizon {
  /// Number of steps that one grant covers.
  uint64_t GrantSteps = 32;
  /// A new grant is proposed when fewer granted steps than this are left.
  uint64_t RefillThreshold = 16;
};

/// Returns an epoch that no other controller uses. The round orders controllers
/// that know of each other; the rank and the incarnation distinguish those that
/// do not. An agent that becomes controller again must use a later round.
Epoch controllerEpoch(uint64_t Round, uint32_t Rank, Incarnation Agent);
/// Returns the round that follows that of \p Seen.
uint64_t nextRound(Epoch Seen);

/// \code
///   MapController Controller(32, Epoch{7}, GrantHorizon());
///   Controller.start();
///   ... send Controller.takeMessages() and pass on the replies ...
///   Controller.setVersion(9);   // after version 9 is staged on every rank
/// \endcode
class MapController {
public:
  enum class Phase : uint8_t {
    /// Waits for the promises of all ranks.
    Promising,
    /// Waits until all ranks accept the newest grant.
    Proposing,
    /// All grants are accepted by all ranks.
    Steady,
    /// Superseded by a higher epoch, or a rank's agent was replaced. The
    /// controller queues no more messages.
    Fenced,
  };

  MapController(uint32_t Ranks, Epoch Own, GrantHorizon Limits);

  void start();
  void onPromiseReply(uint32_t Rank, const PromiseReply &Reply);
  void onAcceptReply(uint32_t Rank, const AcceptReply &Reply);
  void onCommitReply(uint32_t Rank, const CommitReply &Reply);

  /// Sets the map version of new grants. It must be staged on every rank.
  void setVersion(uint64_t Version) { TargetVersion = Version; }
  /// Records that the group has completed a step.
  void onStep(uint64_t Step);

  /// Queues unanswered messages again. Must be called at regular intervals.
  void resend();
  /// Removes and returns the messages to send.
  std::vector<RankMessage> takeMessages();

  Phase phase() const { return Current; }
  Epoch epoch() const { return Own; }
  /// Highest epoch that any rank has named, at least epoch(). Used to choose
  /// the epoch of a successor.
  Epoch highestSeen() const { return Highest; }
  /// Last step of the newest grant; zero before the first grant.
  uint64_t grantedThrough() const;
  /// Map version of the newest grant; zero before the first grant.
  uint64_t versionInForce() const;

private:
  struct RankState {
    std::optional<Incarnation> Agent;
    bool IsPromised = false;
    uint64_t AcceptedIndex = 0;
    uint64_t CommittedIndex = 0;
  };

  void sendPromise(uint32_t Rank);
  void sendAccept(uint32_t Rank);
  void sendCommit(uint32_t Rank);
  void onAllPromised();
  void propose(Grant Next);
  void proposeIfNeeded();

  const uint32_t Ranks;
  const GrantHorizon Limits;
  Epoch Own;
  Epoch Highest;
  Phase Current = Phase::Promising;
  std::vector<RankState> States;
  std::vector<PromiseReply> Promises;
  // Invariant: the chain that was proposed last. In phase Steady, all of it is
  // committed.
  std::vector<Grant> Chain;
  uint64_t Step = 0;
  uint64_t TargetVersion = 0;
  std::vector<RankMessage> Outbox;
};

} // namespace ragwort::experts

#endif
