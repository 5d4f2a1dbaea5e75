//===- KeyedService.cpp - Requests with an idempotency key ----------------===//
#include "KeyedService.h"
#include "KeyedMessages.h"
#include "ragwort/observe/Log.h"

namespace ragwort::entry {

namespace {

using namespace std::chrono_literals;
using journal::KeyedOutcome;

// Limits how often a request is resubmitted while its shard changes owners.
constexpr int MaxHops = 6;

journal::KeyId keyOf(const wire::StartRequest &Request) {
  return journal::keyIdOf(Request.Organisation, Request.Service,
                          Request.IdempotencyKey);
}

KeyedOutcome journalUnavailable(const char *Detail) {
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
  if (!Drivers.empty()) {
    if (Drivers.size() != Journal.Shards)
      logEvent(LogLevel::Error, "journal-shard-count-change-ignored",
               {{"have", Drivers.size()}, {"asked", Journal.Shards}});
    return;
  }
  journal::OwnerLimits Limits;
  Limits.CommitInterval = Journal.CommitInterval;
  Limits.AppendTimeout = Journal.AppendTimeout;
  for (uint32_t Shard = 0; Shard < Journal.Shards; ++Shard)
    Drivers.push_back(std::make_shared<ShardDriver>(Context, Shard, Limits,
                                                    Hooks, PeerAddress));
}

std::shared_ptr<ShardDriver> KeyedService::driverOf(const journal::KeyId &Key) {
  std::lock_guard Lock(Mutex);
  if (Drivers.empty())
    return nullptr;
  return Drivers[journal::shardOf(Key, static_cast<uint32_t>(Drivers.size()))];
}

asio::awaitable<KeyedOutcome> KeyedService::run(wire::StartRequest Request,
                                                journal::Target To,
                                                TimePoint Deadline) {
  journal::KeyId Key = keyOf(Request);
  std::shared_ptr<ShardDriver> Driver = driverOf(Key);
  if (!Driver)
    co_return journalUnavailable("the journal is not set up yet");
  std::optional<Epoch> TakeOverFrom;
  for (int Hop = 0; Hop < MaxHops; ++Hop) {
    KeyedOutcome Outcome =
        co_await Driver->submit(Request, Key, To, TakeOverFrom, Deadline);
    auto *LocalRedirect = std::get_if<journal::Redirected>(&Outcome);
    if (!LocalRedirect)
      co_return Outcome;
    journal::Head Owner = LocalRedirect->Owner;
    std::optional<KeyedOutcome> Answer =
        co_await forward(Owner, Request, Deadline);
    if (!Answer) {
      logEvent(LogLevel::Warning, "journal-owner-unresponsive",
               {{"request", Request.RequestId},
                {"owner", Owner.Owner},
                {"epoch", Owner.OwnerEpoch.Value}});
      TakeOverFrom = Owner.OwnerEpoch;
      continue;
    }
    auto *RemoteRedirect = std::get_if<journal::Redirected>(&*Answer);
    if (!RemoteRedirect)
      co_return std::move(*Answer);
    Driver->onNewerHead(RemoteRedirect->Owner);
    TakeOverFrom.reset();
  }
  co_return journalUnavailable("the shard moves between owners");
}

asio::awaitable<KeyedOutcome>
KeyedService::runForwarded(wire::StartRequest Request, journal::Target To,
                           TimePoint Deadline) {
  journal::KeyId Key = keyOf(Request);
  std::shared_ptr<ShardDriver> Driver = driverOf(Key);
  if (!Driver)
    co_return journalUnavailable("the journal is not set up yet");
  co_return co_await Driver->submit(std::move(Request), Key, To, std::nullopt,
                                    Deadline);
}

asio::awaitable<std::optional<KeyedOutcome>>
KeyedService::forward(journal::Head Owner, wire::StartRequest Request,
                      TimePoint Deadline) {
  Duration Timeout;
  {
    std::lock_guard Lock(Mutex);
    Timeout = OwnerTimeout;
  }
  std::shared_ptr<PeerChannel> Channel =
      Channels.channel(Owner.Owner, Owner.OwnerAddress);
  absl::StatusOr<wire::Hello> Hello = co_await Channel->connect(Timeout);
  if (!Hello.ok())
    co_return std::nullopt;
  auto Box = std::make_shared<StreamBox>(co_await asio::this_coro::executor, 8);
  Request.Stream = Channel->open(Box);
  auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - SteadyClock().now());
  Request.DeadlineMillis =
      static_cast<uint32_t>(std::max<int64_t>(1, Remaining.count()));
  Channel->send(Request);
  auto AckDeadline = std::chrono::steady_clock::now() + Timeout;
  absl::StatusOr<wire::Message> M = co_await Box->receive(AckDeadline);
  if (M.ok() && std::holds_alternative<wire::Accepted>(*M))
    M = co_await Box->receive(Deadline);
  Channel->closeStream(Request.Stream);
  if (absl::IsDeadlineExceeded(M.status()) && SteadyClock().now() >= Deadline) {
    KeyedOutcome TimedOut =
        journal::OutcomeUnknown{"no answer before the deadline"};
    co_return std::optional<KeyedOutcome>(std::move(TimedOut));
  }
  if (!M.ok()) {
    // The owner may hang without closing the connection, which would then stay
    // unusable for later requests.
    Channel->close();
    co_return std::nullopt;
  }
  co_return outcomeOf(std::move(*M));
}

asio::awaitable<std::vector<ShardRow>> KeyedService::rows() {
  std::vector<std::shared_ptr<ShardDriver>> All;
  {
    std::lock_guard Lock(Mutex);
    All = Drivers;
  }
  std::vector<ShardRow> Rows;
  Rows.reserve(All.size());
  for (const auto &Driver : All)
    Rows.push_back(co_await Driver->row());
  co_return Rows;
}

} // namespace ragwort::entry
