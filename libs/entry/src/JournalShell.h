//===- JournalShell.h - Carries out the actions of a shard owner ----------===//
//
// Connects journal::ShardOwner to the table service and to the agents. All of
// it runs on one strand a shard.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_JOURNALSHELL_H
#define RAGWORT_ENTRY_JOURNALSHELL_H

#include "AgentCall.h"
#include "ragwort/journal/ShardOwner.h"
#include "ragwort/platform/TableClient.h"
#include "ragwort/transport/Mailbox.h"

namespace ragwort::entry {

/// What the shell needs of the entry node.
struct JournalHooks {
  /// Runs an attempt at the agent that the intent names.
  std::function<asio::awaitable<AttemptOutcome>(
      journal::Intent What, wire::StartRequest Request, TimePoint Deadline)>
      RunAttempt;
  /// Asks that agent about the attempt.
  std::function<asio::awaitable<absl::StatusOr<wire::AttemptReport>>(
      journal::Intent What)>
      AskAgent;
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
///   auto Shell = std::make_shared<JournalShell>(Context, 3, Limits, Hooks);
///   journal::KeyedOutcome V = co_await Shell->submit(Request, Key, To, {},
///   Deadline);
/// \endcode
class JournalShell : public std::enable_shared_from_this<JournalShell> {
public:
  JournalShell(NodeContext &Context, uint32_t Shard,
               journal::OwnerLimits Limits, const JournalHooks &Hooks,
               const Address &PeerAddress);

  /// Hands a request to the shard and waits for its verdict.
  asio::awaitable<journal::KeyedOutcome>
  submit(wire::StartRequest Request, journal::KeyId Key, journal::Target To,
         std::optional<Epoch> TakeOverFrom, TimePoint Deadline);

  void hint(journal::Head Later);
  asio::awaitable<ShardRow> row();

private:
  using VerdictBox = Mailbox<journal::KeyedOutcome>;
  struct Waiting {
    std::shared_ptr<VerdictBox> Box;
    journal::KeyId Key;
    wire::StartRequest Request;
    TimePoint Deadline;
  };

  void carryOut();
  void armTimer();
  const Waiting *waitingFor(const journal::KeyId &Key) const;

  // One per action.
  void act(const journal::ReadHead &Do);
  void act(const journal::ClaimHead &Do);
  void act(const journal::ReadLog &Do);
  void act(const journal::AppendBatch &Do);
  void act(const journal::ReadBatch &Do);
  void act(const journal::StartAttempt &Do);
  void act(const journal::QueryAgent &Do);
  void act(const journal::Reply &Do);

  asio::awaitable<void> readHead();
  asio::awaitable<void> claimHead(journal::ClaimHead Do);
  asio::awaitable<void> readLog(journal::ReadLog Do);
  asio::awaitable<void> append(journal::AppendBatch Do);
  asio::awaitable<void> readBatch(journal::ReadBatch Do);
  asio::awaitable<void> startAttempt(journal::StartAttempt Do);
  asio::awaitable<void> askAgent(journal::QueryAgent Do);
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
  std::map<uint64_t, Waiting> Tickets;
};

} // namespace ragwort::entry

#endif
