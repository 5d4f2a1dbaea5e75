//===- ShardDriver.h - Performs the actions of a shard owner --------------===//
//
// Connects journal::ShardOwner to the table service and to the agents. Each
// shard has its own strand, on which all of its code runs.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_SHARDDRIVER_H
#define RAGWORT_ENTRY_SHARDDRIVER_H

#include "AgentCall.h"
#include "ragwort/journal/ShardOwner.h"
#include "ragwort/platform/TableClient.h"
#include "ragwort/transport/Mailbox.h"

namespace ragwort::entry {

/// Functions of the entry node that the driver calls.
struct JournalHooks {
  /// Runs an attempt at the agent that the intent names.
  std::function<asio::awaitable<AttemptOutcome>(
      journal::Intent Intent, wire::StartRequest Request, TimePoint Deadline)>
      RunAttempt;
  /// Queries that agent about the attempt; see queryAttempt().
  std::function<asio::awaitable<absl::StatusOr<wire::AttemptReport>>(
      journal::Intent Intent)>
      QueryAttempt;
  /// Chooses another agent for a request that agent \p Refused did not run.
  /// Empty if there is none or the retry budget is exhausted.
  std::function<std::optional<journal::Target>(
      const wire::StartRequest &Request, const std::string &Refused)>
      ChooseNext;
};

/// State of a shard, for the admin interface.
struct ShardRow {
  uint32_t Shard = 0;
  std::string Phase;
  uint64_t Epoch = 0;
  size_t Keys = 0;
};

/// \code
///   auto Driver = std::make_shared<ShardDriver>(Context, 3, Limits, Hooks);
///   journal::KeyedOutcome Outcome =
///       co_await Driver->submit(Request, Key, To, {}, Deadline);
/// \endcode
class ShardDriver : public std::enable_shared_from_this<ShardDriver> {
public:
  ShardDriver(NodeContext &Context, uint32_t Shard, journal::OwnerLimits Limits,
              const JournalHooks &Hooks, const Address &PeerAddress);

  /// Passes a request to the shard owner and waits for its outcome, which is
  /// OutcomeUnknown if there is none by \p Deadline. \p TakeOverFrom is
  /// described at journal::KeyedRequest.
  asio::awaitable<journal::KeyedOutcome>
  submit(wire::StartRequest Request, journal::KeyId Key, journal::Target To,
         std::optional<Epoch> TakeOverFrom, TimePoint Deadline);

  /// Another node reported that the shard has a later owner.
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
  /// The caller of \p Key that has the latest deadline, or null if no caller
  /// waits for the key.
  const Waiter *waiterWithLatestDeadline(const journal::KeyId &Key) const;

  // One overload for each type of journal::Action.
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
  /// Runs the coroutine \p W on the strand, then the actions that result from
  /// it. Keeps this object alive until both are done.
  template <class Work> void spawn(Work W);

  const uint32_t Shard;
  const JournalHooks &Hooks;
  asio::strand<asio::io_context::executor_type> Strand;
  // The fields below are used on the strand only.
  platform::TableClient Table;
  journal::ShardOwner Owner;
  asio::steady_timer Timer;
  SteadyClock Clock;
  uint64_t NextTicket = 1;
  std::map<uint64_t, Waiter> Waiters; // by ticket
};

} // namespace ragwort::entry

#endif
