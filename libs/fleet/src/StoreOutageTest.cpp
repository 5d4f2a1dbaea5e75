//===- StoreOutageTest.cpp - Configurations around outages of the store ---===//
//
// Nodes follow a store in virtual time, each over two connections, and pass new
// versions on to each other. The store loses, resets or refuses calls, of all
// nodes or of some. A version that is written once the store is back must be in
// force in time at each node that the store serves.
//
//===----------------------------------------------------------------------===//
#include "VirtualRun.h"
#include "ragwort/fleet/TableFollower.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace ragwort::fleet {

namespace {

/// Time that the test advances.
struct SimulatedClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = TimePoint;
  static time_point now() { return Now; }
  static inline TimePoint Now{std::chrono::hours(1)};
};

} // namespace

} // namespace ragwort::fleet

namespace boost::asio {

/// Lets the event loop look for expired timers each time it is polled.
template <> struct wait_traits<ragwort::fleet::SimulatedClock> {
  template <class Time>
  // NOLINTNEXTLINE(readability-identifier-naming): required by Asio.
  static ragwort::Duration to_wait_duration(const Time &) {
    return {};
  }
};

} // namespace boost::asio

namespace ragwort::fleet {

using namespace std::chrono_literals;

namespace {

using SimulatedTimer = asio::basic_waitable_timer<SimulatedClock>;

constexpr Duration Step = 10ms;

/// What a node's calls to the store meet.
enum class StoreFault : uint8_t { None, Silent, Reset, Refuse };

/// The versions of the followed tables.
struct SimulatedStore {
  uint64_t ConfigVersion = 1;
  TimePoint ConfigWrittenAt{};
  // Interval at which the table of servers changes.
  Duration ServerInterval = 200ms;

  uint64_t versionOf(const std::string &Table) const {
    if (Table == "config")
      return ConfigVersion;
    return static_cast<uint64_t>(SimulatedClock::now().time_since_epoch() /
                                 ServerInterval);
  }
};

/// One node's connection to the store.
class SimulatedConnection {
public:
  SimulatedConnection(const SimulatedStore &Store, const StoreFault &Fault)
      : Store(Store), Fault(Fault) {}

  asio::awaitable<absl::StatusOr<RowList>> list(std::string Table) {
    absl::Status Answered = co_await call(Table, 0, 0ms, 700ms);
    if (!Answered.ok())
      co_return Answered;
    RowList Result;
    Result.Version.Number = Store.versionOf(Table);
    co_return Result;
  }

  asio::awaitable<absl::StatusOr<RowChanges>>
  follow(std::string Table, uint64_t After, Duration Wait, Duration Margin) {
    absl::Status Answered = co_await call(Table, After, Wait, Wait + Margin);
    if (!Answered.ok())
      co_return Answered;
    RowChanges Result;
    Result.Version.Number = Store.versionOf(Table);
    co_return Result;
  }

  void cancel() { IsCancelled = true; }

private:
  /// Waits for a version after \p After for at most \p Wait. A call of which a
  /// part falls into a silence has no answer.
  asio::awaitable<absl::Status> call(std::string Table, uint64_t After,
                                     Duration Wait, Duration Timeout) {
    TimePoint Begun = SimulatedClock::now();
    SimulatedTimer Timer(co_await asio::this_coro::executor);
    bool IsLost = false;
    IsCancelled = false;
    while (true) {
      Timer.expires_after(Step);
      error_code Ignored;
      co_await Timer.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
      Duration Elapsed = SimulatedClock::now() - Begun;
      IsLost |= Fault == StoreFault::Silent;
      if (IsCancelled || Fault == StoreFault::Reset)
        co_return absl::UnavailableError("connection closed");
      if (Elapsed >= Timeout)
        co_return absl::DeadlineExceededError("no answer");
      bool IsDue = Elapsed >= Wait || Store.versionOf(Table) > After;
      if (IsLost || !IsDue)
        continue;
      if (Fault == StoreFault::Refuse)
        co_return absl::ResourceExhaustedError("store answered status 503");
      co_return absl::OkStatus();
    }
  }

  const SimulatedStore &Store;
  const StoreFault &Fault;
  bool IsCancelled = false;
};

/// Keeps the newest version that was read.
struct VersionSink {
  void onList(RowList List, std::optional<TimePoint>) {
    Version = std::max(Version, List.Version.Number);
  }
  void onChanges(RowChanges Changes, std::optional<TimePoint>) {
    Version = std::max(Version, Changes.Version.Number);
  }
  uint64_t Version = 0;
};

using Follower =
    TableFollower<SimulatedConnection, VersionSink, SimulatedClock>;

/// A node, with the intervals that the entry nodes have.
struct SimulatedNode {
  SimulatedNode(asio::io_context &Io, const SimulatedStore &Store,
                bool IsWatcher, uint64_t Seed)
      : ConfigConnection(Store, Fault), ServerConnection(Store, Fault),
        ConfigFollower(Io, ConfigConnection, Group, "config", Config,
                       configTiming(IsWatcher), Seed),
        ServerFollower(Io, ServerConnection, Group, "servers", Servers,
                       serverTiming(), Seed + 1) {
    asio::co_spawn(Io, ConfigFollower.run(), asio::detached);
    asio::co_spawn(Io, ServerFollower.run(), asio::detached);
  }

  static FollowerTiming configTiming(bool IsWatcher) {
    FollowerTiming Result;
    Result.LapseTime = Duration::max();
    Result.IsRelaxed = [IsWatcher] { return !IsWatcher; };
    return Result;
  }
  static FollowerTiming serverTiming() {
    FollowerTiming Result;
    Result.MaxAge = 1800ms;
    Result.MinInterval = 500ms;
    return Result;
  }

  StoreFault Fault = StoreFault::None;
  // Since when a peer has had a newer version.
  std::optional<TimePoint> BehindSince;
  VersionSink Config;
  VersionSink Servers;
  SimulatedConnection ConfigConnection;
  SimulatedConnection ServerConnection;
  FollowerGroup Group;
  Follower ConfigFollower;
  Follower ServerFollower;
};

/// Nodes of which the first few watch the store.
class SimulatedFleet {
public:
  static constexpr size_t Watchers = 3;
  static constexpr Duration FetchDelay = 450ms;

  SimulatedFleet(size_t Size, uint64_t Seed) : Random(Seed) {
    Store.ServerInterval = between(200ms, 3000ms);
    for (size_t I = 0; I < Size; ++I)
      Nodes.push_back(std::make_unique<SimulatedNode>(Io, Store, I < Watchers,
                                                      Seed * 100 + 2 * I));
  }
  ~SimulatedFleet() {
    for (auto &Each : Nodes) {
      Each->ConfigFollower.stop();
      Each->ServerFollower.stop();
      Each->Fault = StoreFault::Reset;
    }
    run(2s);
  }

  void run(Duration Time) {
    TimePoint End = SimulatedClock::now() + Time;
    while (SimulatedClock::now() < End) {
      SimulatedClock::Now += Step;
      Io.poll();
      Io.restart();
      fetchFromPeers();
    }
  }

  void writeConfig() {
    ++Store.ConfigVersion;
    Store.ConfigWrittenAt = SimulatedClock::now();
  }
  void setFault(StoreFault Fault) {
    for (auto &Each : Nodes)
      Each->Fault = Fault;
  }
  /// The nodes that the store serves and that lack its newest configuration.
  std::string nodesBehind() const {
    std::string Result;
    for (size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I]->Fault == StoreFault::None &&
          Nodes[I]->Config.Version < Store.ConfigVersion)
        Result += " " + std::to_string(I);
    return Result;
  }
  SimulatedNode &node(size_t Index) { return *Nodes[Index]; }
  size_t size() const { return Nodes.size(); }

  size_t below(size_t End) {
    return std::uniform_int_distribution<size_t>(0, End - 1)(Random);
  }
  Duration between(Duration Least, Duration Most) {
    return Duration(std::uniform_int_distribution<int64_t>(
        Least.count(), Most.count())(Random));
  }
  StoreFault anyFault() { return static_cast<StoreFault>(1 + below(3)); }

private:
  void fetchFromPeers() {
    uint64_t Newest = 0;
    for (const auto &Each : Nodes)
      Newest = std::max(Newest, Each->Config.Version);
    for (auto &Each : Nodes) {
      if (Each->Config.Version >= Newest) {
        Each->BehindSince.reset();
        continue;
      }
      if (!Each->BehindSince)
        Each->BehindSince = SimulatedClock::now();
      if (SimulatedClock::now() - *Each->BehindSince >= FetchDelay)
        Each->Config.Version = Newest;
    }
  }

  std::mt19937_64 Random;
  asio::io_context Io;
  SimulatedStore Store;
  std::vector<std::unique_ptr<SimulatedNode>> Nodes;
};

} // namespace

class StoreOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreOutageTest);
  CPPUNIT_TEST(configWhenWatchersAreRejectedAfterAnOutageIsInForceInTime);
  CPPUNIT_TEST(configWhenNodesLoseTheStoreInAnyWayIsInForceInTime);
  CPPUNIT_TEST_SUITE_END();

  // Bounds of the platform, from the acknowledgement of a version and from the
  // end of the store's outage.
  static constexpr Duration MaxDelay = 2000ms;
  static constexpr Duration StableTime = 3000ms;
  static constexpr uint64_t Seeds = 20;
  static constexpr size_t OutagesPerSeed = 4;
  static constexpr size_t Size = 9;

  /// All nodes lose the store. After its return it does not serve some.
  struct Outage {
    Duration SinceChange;
    StoreFault Fault;
    Duration Length;
    StoreFault Rejection;
    std::vector<size_t> Rejected;
    Duration UntilWritten;
  };

  static void play(SimulatedFleet &Fleet, const Outage &Given,
                   const std::string &Name) {
    Fleet.run(2s);
    Fleet.writeConfig();
    Fleet.run(Given.SinceChange);
    Fleet.setFault(Given.Fault);
    Fleet.run(Given.Length);
    Fleet.setFault(StoreFault::None);
    for (size_t Index : Given.Rejected)
      Fleet.node(Index).Fault = Given.Rejection;
    Fleet.run(Given.UntilWritten);
    Fleet.writeConfig();
    Fleet.run(std::max(MaxDelay, StableTime - Given.UntilWritten));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::string(), Fleet.nodesBehind());
  }

  static void playAnyOutages(uint64_t Seed) {
    SimulatedFleet Fleet(Size, Seed);
    for (size_t Number = 1; Number <= OutagesPerSeed; ++Number) {
      // Some nodes lose the store before the others.
      for (size_t Early = Fleet.below(3); Early > 0; --Early) {
        Fleet.node(Fleet.below(Size)).Fault = Fleet.anyFault();
        Fleet.run(Fleet.between(0ms, 1500ms));
      }
      Outage Drawn{Fleet.between(200ms, 10s),
                   Fleet.anyFault(),
                   Fleet.between(100ms, 8s),
                   Fleet.anyFault(),
                   {},
                   Fleet.between(0ms, 1500ms)};
      if (Fleet.below(2) == 0)
        Drawn.Rejected = {0, 1, 2};
      else if (Fleet.below(2) == 0)
        Drawn.Rejected = {Fleet.below(Size), Fleet.below(Size)};
      play(Fleet, Drawn,
           "seed " + std::to_string(Seed) + " outage " +
               std::to_string(Number));
      Fleet.setFault(StoreFault::None);
    }
  }

public:
  // Guards against polls that wait for answers which an outage has lost.
  void configWhenWatchersAreRejectedAfterAnOutageIsInForceInTime() {
    const std::vector<size_t> Watchers = {0, 1, 2};
    constexpr StoreFault Silent = StoreFault::Silent;
    const std::vector<Outage> Outages = {
        {8000ms, Silent, 4500ms, StoreFault::Refuse, Watchers, 500ms},
        {9600ms, Silent, 7700ms, StoreFault::Refuse, Watchers, 500ms},
        {3400ms, Silent, 2500ms, StoreFault::Refuse, Watchers, 500ms},
        {6800ms, Silent, 6600ms, StoreFault::Reset, Watchers, 500ms},
        {9300ms, Silent, 7700ms, StoreFault::Silent, Watchers, 600ms},
        {6300ms, Silent, 6300ms, StoreFault::None, {}, 1000ms},
    };
    for (size_t I = 0; I < Outages.size(); ++I) {
      SimulatedFleet Fleet(Size, I + 1);
      play(Fleet, Outages[I], "outage " + std::to_string(I));
    }
  }

  void configWhenNodesLoseTheStoreInAnyWayIsInForceInTime() {
    testing::runSeeds(
        Seeds, [](uint64_t Seed, bool /*IsTraced*/) { playAnyOutages(Seed); });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StoreOutageTest);

} // namespace ragwort::fleet
