//===- KeyedService.cpp - Requests with an idempotency key ----------------===//
#include "KeyedService.h"
#include "KeyedMessages.h"
#include "ragwort/observe/Log.h"

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;
using journal::KeyedOutcome;

constexpr int MaxHops = 6;

journal::KeyId keyOf(const wire::StartRequest &Request) {
  return journal::keyIdOf(Request.Organisation, Request.Service,
                          Request.IdempotencyKey);
}

KeyedOutcome journalDown(const char *Detail) {
  return journal::OutcomeUnknown{Detail, true};
}

} // namespace

KeyedService::KeyedService(NodeContext &Context, ChannelPool &Channels,
                           JournalHooks Hooks)
    : Context(Context), Channels(Channels), Hooks(std::move(Hooks)) {}

void KeyedService::configure(const settings::JournalSettings &Journal,
                             const Address &PeerAddress) {
  std::lock_guard Lock(Mutex);
  OwnerTimeout = Journal.OwnerTimeout;
  if (!Shells.empty()) {
    if (Shells.size() != Journal.Shards)
      logEvent(LogLevel::Error, "journal-shards-unchanged",
               {{"have", Shells.size()}, {"asked", Journal.Shards}});
    return;
  }
  journal::OwnerLimits Limits;
  Limits.CommitInterval = Journal.CommitInterval;
  Limits.AppendTimeout = Journal.AppendTimeout;
  for (uint32_t Shard = 0; Shard < Journal.Shards; ++Shard)
    Shells.push_back(std::make_shared<JournalShell>(Context, Shard, Limits,
                                                    Hooks, PeerAddress));
}

std::shared_ptr<JournalShell> KeyedService::shellOf(const journal::KeyId &Key) {
  std::lock_guard Lock(Mutex);
  if (Shells.empty())
    return nullptr;
  return Shells[journal::shardOf(Key, static_cast<uint32_t>(Shells.size()))];
}

asio::awaitable<KeyedOutcome> KeyedService::run(wire::StartRequest Request,
                                                journal::Target To,
                                                TimePoint Deadline) {
  journal::KeyId Key = keyOf(Request);
  std::shared_ptr<JournalShell> Shell = shellOf(Key);
  if (!Shell)
    co_return journalDown("the journal is not set up yet");
  std::optional<Epoch> TakeOverFrom;
  for (int Hop = 0; Hop < MaxHops; ++Hop) {
    KeyedOutcome V =
        co_await Shell->submit(Request, Key, To, TakeOverFrom, Deadline);
    auto *Elsewhere = std::get_if<journal::Redirected>(&V);
    if (!Elsewhere)
      co_return V;
    journal::Head Owner = Elsewhere->Owner;
    std::optional<KeyedOutcome> Answer =
        co_await forward(Owner, Request, Deadline);
    if (!Answer) {
      logEvent(LogLevel::Warning, "journal-owner-silent",
               {{"request", Request.RequestId},
                {"owner", Owner.Owner},
                {"epoch", Owner.OwnerEpoch.Value}});
      TakeOverFrom = Owner.OwnerEpoch;
      continue;
    }
    auto *Moved = std::get_if<journal::Redirected>(&*Answer);
    if (!Moved)
      co_return std::move(*Answer);
    Shell->hint(Moved->Owner);
    TakeOverFrom.reset();
  }
  co_return journalDown("the shard moves between owners");
}

asio::awaitable<KeyedOutcome>
KeyedService::runForwarded(wire::StartRequest Request, journal::Target To,
                           TimePoint Deadline) {
  journal::KeyId Key = keyOf(Request);
  std::shared_ptr<JournalShell> Shell = shellOf(Key);
  if (!Shell)
    co_return journalDown("the journal is not set up yet");
  co_return co_await Shell->submit(std::move(Request), Key, To, std::nullopt,
                                   Deadline);
}

asio::awaitable<std::optional<KeyedOutcome>>
KeyedService::forward(journal::Head Owner, wire::StartRequest Request,
                      TimePoint Deadline) {
  Duration Patience;
  {
    std::lock_guard Lock(Mutex);
    Patience = OwnerTimeout;
  }
  std::shared_ptr<PeerChannel> Channel =
      Channels.channel(Owner.Owner, Owner.OwnerAddress);
  absl::StatusOr<wire::Hello> Hello = co_await Channel->connect(Patience);
  if (!Hello.ok())
    co_return std::nullopt;
  auto Box = std::make_shared<StreamBox>(co_await asio::this_coro::executor, 8);
  Request.Stream = Channel->open(Box);
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - SteadyClock().now());
  Request.DeadlineMillis =
      static_cast<uint32_t>(std::max<int64_t>(1, Left.count()));
  Channel->send(Request);
  auto AckBy = std::chrono::steady_clock::now() + Patience;
  absl::StatusOr<wire::Message> M = co_await Box->receive(AckBy);
  if (M.ok() && std::holds_alternative<wire::Accepted>(*M))
    M = co_await Box->receive(Deadline);
  Channel->closeStream(Request.Stream);
  if (absl::IsDeadlineExceeded(M.status()) && SteadyClock().now() >= Deadline) {
    KeyedOutcome Late =
        journal::OutcomeUnknown{"no answer before the deadline"};
    co_return std::optional<KeyedOutcome>(std::move(Late));
  }
  if (!M.ok()) {
    // A silent owner may be frozen; the connection would stay silent too.
    Channel->close();
    co_return std::nullopt;
  }
  co_return verdictOf(std::move(*M));
}

asio::awaitable<std::vector<ShardRow>> KeyedService::rows() {
  std::vector<std::shared_ptr<JournalShell>> All;
  {
    std::lock_guard Lock(Mutex);
    All = Shells;
  }
  std::vector<ShardRow> Rows;
  Rows.reserve(All.size());
  for (const auto &Shell : All)
    Rows.push_back(co_await Shell->row());
  co_return Rows;
}

} // namespace ragwort::entry
