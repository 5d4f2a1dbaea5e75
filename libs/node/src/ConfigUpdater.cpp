//===- ConfigUpdater.cpp - Keeps a node's configuration up to date --------===//
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/config/ConfigRecords.h"
#include "ragwort/observe/Log.h"
#include "ragwort/transport/PeerChannel.h"
#include <random>

namespace ragwort {

namespace {

using namespace std::chrono_literals;

constexpr Duration TableTimeout = 2s;
constexpr Duration PeerTimeout = 2s;
constexpr Duration SeedInterval = 500ms;
constexpr Duration FirstPollInterval = 200ms;
// Pause after parsing, as a multiple of the time that it took. Parsing thus
// uses at most 1/50 of a core, however frequent changes are.
constexpr int ParsePauseFactor = 49;
// Approximate number of polls in one configured interval from all nodes of a
// data centre together; limits the load on the table service.
constexpr int64_t PollsPerInterval = 2;

} // namespace

ConfigUpdater::ConfigUpdater(NodeContext &Context, ChangeHandler OnChange)
    : Context(Context), OnChange(std::move(OnChange)),
      VersionGauge(Context.Metrics.gauge("ragwort_config_version")),
      Rejected(Context.Metrics.counter("ragwort_config_rejected_total")) {}

void ConfigUpdater::start() {
  auto Strand = asio::make_strand(Context.Io);
  asio::co_spawn(Strand, pollPlatform(), asio::detached);
  if (!Context.Node.Seeds.empty())
    asio::co_spawn(Strand, pollSeeds(), asio::detached);
}

ConfigUpdater::Snapshot ConfigUpdater::fleet() const {
  std::lock_guard Lock(Mutex);
  return Current;
}

uint64_t ConfigUpdater::version() const {
  std::lock_guard Lock(Mutex);
  return Replica.version();
}

uint64_t ConfigUpdater::versionInForce() const {
  std::lock_guard Lock(Mutex);
  return InForce;
}

wire::ConfigReply ConfigUpdater::replyTo(const wire::ConfigFetch &Fetch) const {
  std::lock_guard Lock(Mutex);
  return Replica.replyTo(Fetch);
}

ConfigUpdater::Snapshot ConfigUpdater::parseLocked() {
  std::string Overlay = config::overlayDocument(Context.Node.Site);
  std::string_view BaseText =
      Replica.document(config::BaseDocument).value_or("{}");
  std::string_view OverlayText = Replica.document(Overlay).value_or("{}");
  absl::StatusOr<settings::FleetSettings> Fleet = settings::loadFleetSettings(
      {config::BaseDocument, BaseText}, {Overlay, OverlayText});
  if (Fleet.ok())
    return std::make_shared<settings::FleetSettings>(std::move(*Fleet));
  Rejected.add();
  logEvent(LogLevel::Error, "config-rejected",
           {{"version", Replica.version()},
            {"reason", std::string(Fleet.status().message())}});
  return nullptr;
}

bool ConfigUpdater::merge(const wire::ConfigReply &Reply) {
  Duration Delay{};
  {
    std::lock_guard Lock(Mutex);
    config::MergeResult Result = Replica.merge(Reply);
    if (Result == config::MergeResult::NeedsFullDocuments)
      return false;
    if (Result == config::MergeResult::Unchanged || IsParsePending)
      return true;
    Delay = std::max(Duration{}, NextParse - Clock.now());
    IsParsePending = Delay > Duration{};
  }
  if (Delay == Duration{})
    publish();
  else
    asio::co_spawn(asio::make_strand(Context.Io), publishAfter(Delay),
                   asio::detached);
  return true;
}

asio::awaitable<void> ConfigUpdater::publishAfter(Duration Delay) {
  co_await sleepFor(Delay);
  publish();
}

void ConfigUpdater::publish() {
  Snapshot NewSettings;
  {
    std::lock_guard Lock(Mutex);
    IsParsePending = false;
    TimePoint Begin = Clock.now();
    NewSettings = parseLocked();
    NextParse = Clock.now() + ParsePauseFactor * (Clock.now() - Begin);
    // If the new settings are invalid, the previous ones remain in force. The
    // replica still sends the new documents to peers.
    if (!NewSettings)
      return;
    Current = NewSettings;
    InForce = Replica.version();
    VersionGauge.set(static_cast<int64_t>(Replica.version()));
    logEvent(LogLevel::Info, "config-in-force",
             {{"version", Replica.version()}});
  }
  OnChange(NewSettings);
}

asio::awaitable<void> ConfigUpdater::pollPlatform() {
  auto Executor = co_await asio::this_coro::executor;
  platform::TableClient Table(Executor, Context.Node.Platform, TableTimeout);
  std::minstd_rand Random(
      static_cast<std::minstd_rand::result_type>(Context.Self.Value));
  bool IsDown = false;
  for (;;) {
    absl::StatusOr<wire::ConfigReply> Reply =
        co_await config::readConfig(Table, version());
    if (Reply.ok() && !merge(*Reply)) {
      Reply = co_await config::readConfig(Table, 0);
      if (Reply.ok())
        merge(*Reply);
    }
    if (Reply.ok() == IsDown) {
      IsDown = !Reply.ok();
      logEvent(LogLevel::Warning,
               IsDown ? "platform-unreachable" : "platform-reachable",
               {{"reason", std::string(Reply.status().message())}});
    }
    Snapshot Fleet = fleet();
    Duration Interval = FirstPollInterval;
    if (Fleet) {
      int64_t NodesInDataCentre = 0;
      for (const settings::InstanceSettings &Instance : Fleet->Instances)
        NodesInDataCentre += Instance.DataCentre == Context.Node.DataCentre;
      Interval = Fleet->Timing.ConfigPollInterval *
                 std::max<int64_t>(1, NodesInDataCentre / PollsPerInterval);
    }
    // Jitter keeps the nodes of a data centre from polling at the same time.
    std::uniform_int_distribution<int64_t> Jitter(Interval.count() / 2,
                                                  Interval.count() * 3 / 2);
    co_await sleepFor(Duration(Jitter(Random)));
  }
}

asio::awaitable<void> ConfigUpdater::pollSeeds() {
  while (!fleet()) {
    // The name of a seed node is not known; with an empty name, any node is
    // accepted.
    for (const Address &Seed : Context.Node.Seeds)
      co_await fetchFrom("", Seed);
    co_await sleepFor(SeedInterval);
  }
}

void ConfigUpdater::onPeerVersion(uint64_t Version, const std::string &Name,
                                  const Address &Peer) {
  {
    std::lock_guard Lock(Mutex);
    if (Version <= Replica.version() || IsFetching)
      return;
    IsFetching = true;
  }
  asio::co_spawn(
      asio::make_strand(Context.Io),
      [this, Name, Peer]() -> asio::awaitable<void> {
        co_await fetchFrom(Name, Peer);
        std::lock_guard Lock(Mutex);
        IsFetching = false;
      },
      asio::detached);
}

asio::awaitable<void> ConfigUpdater::fetchFrom(std::string Name, Address Peer) {
  absl::StatusOr<wire::ConfigReply> Reply =
      co_await requestFromPeer(Name, Peer, version());
  if (Reply.ok() && !merge(*Reply)) {
    Reply = co_await requestFromPeer(Name, Peer, 0);
    if (Reply.ok())
      merge(*Reply);
  }
}

asio::awaitable<absl::StatusOr<wire::ConfigReply>>
ConfigUpdater::requestFromPeer(std::string Name, Address Peer,
                               uint64_t HaveVersion) {
  auto Channel = std::make_shared<PeerChannel>(Context.Io, Peer, Name,
                                               Context.Keys, Context.hello());
  absl::StatusOr<wire::Hello> Hello = co_await Channel->connect(PeerTimeout);
  if (!Hello.ok())
    co_return Hello.status();
  auto Box = std::make_shared<StreamBox>(co_await asio::this_coro::executor, 4);
  wire::ConfigFetch Fetch;
  Fetch.Stream = Channel->open(Box);
  Fetch.HaveVersion = HaveVersion;
  Channel->send(Fetch);
  absl::StatusOr<wire::Message> M =
      co_await Box->receive(std::chrono::steady_clock::now() + PeerTimeout);
  Channel->close();
  if (!M.ok())
    co_return M.status();
  if (auto *Reply = std::get_if<wire::ConfigReply>(&*M))
    co_return std::move(*Reply);
  co_return absl::InternalError("peer sent another message");
}

} // namespace ragwort
