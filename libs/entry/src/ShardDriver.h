//===- ShardDriver.h - Performs the actions of a shard owner --------------===//
//
// Connects journal::ShardOwner to the table service and to the agents. All of
// it runs on one strand a shard.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_SHARDDRIVER_H
#define RAGWORT_ENTRY_SHARDDRIVER_H

#include "AgentCall.h"
#include "ragwort/journal/ShardOwner.h"
#include "ragwort/platform/TableClient.h"
#include "ragwort/transport/Mailbox.h"

namespace ragwort::entry {

/// What the shell needs of the entry node.
struct JournalHooks {
  /// Runs an attempt at the agent that the intent names.
  std::function<asio::awaitable<AttemptOutcome>(
      journal::Intent Intent, wire::StartRequest Request, TimePoint Deadline)>
      RunAttempt;
  /// Asks that agent about the attempt.
  std::function<asio::awaitable<absl::StatusOr<wire::AttemptReport>>(
      journal::Intent Intent)>
      QueryAttempt;
  /// Another agent for a request that \p Refused it, within the retry budget.
  std::function<std::optional<journal::Target>(
      const wire::StartRequest &Request, const std::string &Refused)>
      ChooseNext;
};

/// One row of the state dump.
struct ShardRow {
  uint32_t Shard = 0;
  std::string Phase;
  uint64_t Epoch = 0;
  size_t Keys = 0;
};

/// \code
///   auto Driver = std::make_shared<ShardDriver>(Context, 3, Limits, Hooks);
///   journal::KeyedOutcome V = co_await Driver->submit(Request, Key, To, {},
///   Deadline);
/// \endcode
class ShardDriver : public std::enable_shared_from_this<ShardDriver> {
public:
  ShardDriver(NodeContext &Context, uint32_t Shard, journal::OwnerLimits Limits,
              const JournalHooks &Hooks, const Address &PeerAddress);

  /// Hands a request to the shard and waits for its verdict.
  asio::awaitable<journal::KeyedOutcome>
  submit(wire::StartRequest Request, journal::KeyId Key, journal::Target To,
         std::optional<Epoch> TakeOverFrom, TimePoint Deadline);

  void onNewerHead(journal::Head Newer);
  asio::awaitable<ShardRow> row();

private:
  using OutcomeBox = Mailbox<journal::KeyedOutcome>;
  struct Waiter {
    std::shared_ptr<OutcomeBox> Box;
    journal::KeyId Key;
    wire::StartRequest Request;
    TimePoint Deadline;
  };

  void performActions();
  void armTimer();
  const Waiter *longestWaiting(const journal::KeyId &Key) const;

  // One per action.
  void perform(const journal::ReadHead &Action);
  void perform(const journal::ClaimHead &Action);
  void perform(const journal::ReadLog &Action);
  void perform(const journal::AppendBatch &Action);
  void perform(const journal::ReadBatch &Action);
  void perform(const journal::StartAttempt &Action);
  void perform(const journal::QueryAgent &Action);
  void perform(const journal::Reply &Action);

  asio::awaitable<void> readHead();
  asio::awaitable<void> claimHead(journal::ClaimHead Action);
  asio::awaitable<void> readLog(journal::ReadLog Action);
  asio::awaitable<void> append(journal::AppendBatch Action);
  asio::awaitable<void> readBatch(journal::ReadBatch Action);
  asio::awaitable<void> startAttempt(journal::StartAttempt Action);
  asio::awaitable<void> queryAgent(journal::QueryAgent Action);
  /// Spawns \p Work on the strand, keeping this alive.
  template <class Work> void spawn(Work W);

  const uint32_t Shard;
  const JournalHooks &Hooks;
  asio::strand<asio::io_context::executor_type> Strand;
  // Everything below belongs to the strand.
  platform::TableClient Table;
  journal::ShardOwner Owner;
  asio::steady_timer Timer;
  SteadyClock Clock;
  uint64_t NextTicket = 1;
  std::map<uint64_t, Waiter> Waiters;
};

} // namespace ragwort::entry

#endif
