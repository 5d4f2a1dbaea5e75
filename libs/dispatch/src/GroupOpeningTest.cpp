//===- GroupOpeningTest.cpp - A rank that returns to a closed group -------===//
//
// A few nodes and one group of ranks, in virtual time. While one rank is
// missing, the group declines everything. A rank that has just started is cold
// and falls over at a rate above its limit, which closes the group again.
//
//===----------------------------------------------------------------------===//
#include "VirtualRun.h"
#include "ragwort/base/Hash.h"
#include "ragwort/dispatch/Dispatcher.h"
#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace ragwort::dispatch {

namespace {

constexpr size_t Nodes = 26;
constexpr size_t Ranks = 12;
constexpr uint32_t Slots = 10;
constexpr int64_t WorkMillis = 400;
constexpr int64_t FormMillis = 600;
constexpr int64_t ColdMillis = 3000;
constexpr int64_t AbsentMillis = 3000;
constexpr int64_t TimeoutMillis = 8000;
constexpr size_t MaxSends = 4;
/// Requests a second that a cold rank may get: warmupPerS x coldOvershoot +
/// coldSlack.
constexpr double ColdPerSecond = 28;
constexpr size_t MaxColdPerSecond = 28 * 3 / 2 + 5;
/// recoverS.
constexpr int64_t RecoverMillis = 15000;

TimePoint at(int64_t Millis) {
  return TimePoint(std::chrono::milliseconds(Millis + 1000));
}

struct Request {
  int64_t Arrived = 0;
  size_t Sends = 0;
  std::vector<std::string> Excluded;
};

struct Rank {
  bool IsUp = true;
  uint64_t Born = 1;
  int64_t ColdUntil = 0;
  int OpenedRepeats = 0;
  std::deque<int64_t> Sends;
};

struct Node {
  explicit Node(uint64_t Seed) : Dispatch("here", RetryBudgetLimits(), Seed) {}
  Dispatcher Dispatch;
  std::map<uint64_t, Request> Waiting;
};

class Fleet {
public:
  explicit Fleet(uint64_t Seed) : Random(Seed), Group(Ranks) {
    std::vector<uint64_t> Keys(Nodes);
    for (size_t I = 0; I < Nodes; ++I)
      Keys[I] = hash64(std::to_string(I));
    for (size_t I = 0; I < Nodes; ++I) {
      auto N = std::make_unique<Node>(Seed * Nodes + I);
      std::vector<uint64_t> Peers = Keys;
      Peers.erase(Peers.begin() + static_cast<ptrdiff_t>(I));
      N->Dispatch.setNodes(Nodes);
      N->Dispatch.loadTracker().setNodes(Keys[I], Peers, at(0));
      N->Dispatch.loadTracker().setKnownNodes(Keys[I], std::move(Peers), Nodes);
      N->Dispatch.loadTracker().setWarmUps(
          {{"s", {std::chrono::milliseconds(ColdMillis), ColdPerSecond}}},
          at(0));
      All.push_back(std::move(N));
    }
    list();
  }

  /// \p PerSecond requests a second until \p EndMillis.
  void addTraffic(double PerSecond, int64_t FromMillis, int64_t EndMillis) {
    std::exponential_distribution<double> Gap(PerSecond / 1000);
    auto Next = static_cast<double>(FromMillis);
    while (Next < static_cast<double>(EndMillis)) {
      Events.at(static_cast<int64_t>(Next), [this] {
        attempt(*All[Random() % Nodes], {Events.now(), 0, {}});
      });
      Next += Gap(Random);
    }
  }

  void crash(size_t Index) {
    Rank &R = Group[Index];
    R.IsUp = false;
    IsOpen = false;
    ++Epoch;
    ++Crashes;
    Events.at(Events.now() + AbsentMillis, [this, Index] { restart(Index); });
  }
  void crashAt(int64_t Millis, size_t Index) {
    Events.at(Millis, [this, Index] { crash(Index); });
  }

  void run(int64_t EndMillis) {
    for (int64_t T = 0; T < EndMillis; T += 100)
      Events.at(T, [this] { tick(); });
    while (Events.runNext()) {
    }
  }

  size_t Crashes = 0;
  size_t MostColdPerSecond = 0;
  /// Arrival of the last request that was not answered.
  int64_t LastUnanswered = 0;
  size_t Answered = 0;

private:
  static std::string idOf(size_t Index) { return "r" + std::to_string(Index); }

  void list() {
    std::vector<BackendInstance> List;
    for (size_t I = 0; I < Ranks; ++I) {
      BackendInstance B;
      B.Id = idOf(I);
      B.Service = "s";
      B.Address = "10.0.0." + std::to_string(I + 1) + ":1";
      B.DataCentre = "here";
      B.Slots = Slots;
      B.BornMillis = Group[I].Born;
      B.ColdMillis = static_cast<uint32_t>(
          std::max<int64_t>(Group[I].ColdUntil - Events.now(), 0));
      List.push_back(B);
    }
    Directory.replaceAll(List, {0, ++Version}, std::nullopt);
    for (auto &N : All)
      N->Dispatch.loadTracker().sync(Directory, at(Events.now()));
  }

  void restart(size_t Index) {
    Rank &R = Group[Index];
    R.IsUp = true;
    ++R.Born;
    R.ColdUntil = Events.now() + ColdMillis;
    R.Sends.clear();
    list();
    for (auto &N : All)
      dequeue(*N);
    uint64_t Expected = Epoch;
    Events.at(Events.now() + FormMillis, [this, Expected] {
      if (Epoch != Expected)
        return;
      IsOpen = true;
      for (Rank &Each : Group)
        Each.OpenedRepeats = 3;
    });
  }

  /// Agents' notices, loads of peers, and the queues.
  void tick() {
    for (size_t I = 0; I < Ranks; ++I) {
      Rank &R = Group[I];
      if (!R.IsUp || (IsOpen && R.OpenedRepeats == 0))
        continue;
      EngineCondition Condition =
          IsOpen ? EngineCondition::Opened : EngineCondition::Closed;
      R.OpenedRepeats -= IsOpen;
      // A notice arrives at all nodes, at one rank's own moment.
      Events.at(Events.now() + static_cast<int64_t>(I) * 8,
                [this, I, Condition] {
                  for (auto &N : All) {
                    N->Dispatch.loadTracker().onEngineNotice(
                        "10.0.0." + std::to_string(I + 1) + ":1", Condition,
                        at(Events.now()));
                    dequeue(*N);
                  }
                });
    }
    if (Events.now() % 200 == 0)
      for (size_t From = 0; From < Nodes; ++From)
        for (size_t To = 0; To < Nodes; ++To)
          if (From != To)
            All[To]->Dispatch.loadTracker().onPeerReport(
                std::to_string(From),
                All[From]->Dispatch.loadTracker().ownReport(at(Events.now())),
                at(Events.now()));
    for (auto &N : All)
      dequeue(*N);
  }

  void attempt(Node &N, Request R) {
    if (R.Sends >= MaxSends)
      return fail(R);
    PlacementRequest P;
    P.Service = "s";
    P.Excluded = R.Excluded;
    P.Arrived = at(R.Arrived);
    P.TargetLatency = std::chrono::milliseconds(WorkMillis);
    P.ExpiresAt = at(R.Arrived + TimeoutMillis);
    P.IsBatched = true;
    Placement Result = N.Dispatch.place(P, at(Events.now()));
    if (Result.Result == Placement::Decision::Send)
      send(N, std::move(R), Result.Server.Id);
    else if (Result.Result == Placement::Decision::Wait)
      N.Waiting[Result.Ticket] = std::move(R);
    else
      fail(R);
  }

  void dequeue(Node &N) {
    for (bool IsAny = true; IsAny;) {
      auto Ready = N.Dispatch.takeReady(at(Events.now()));
      IsAny = !Ready.empty();
      for (const DequeuedRequest &D : Ready) {
        Request R = std::move(N.Waiting[D.Ticket]);
        N.Waiting.erase(D.Ticket);
        if (D.Server)
          send(N, std::move(R), D.Server->Id);
        else
          fail(R);
      }
    }
  }

  void send(Node &N, Request R, const std::string &Id) {
    ++R.Sends;
    N.Dispatch.onStarted(Id, at(Events.now()));
    size_t Index = std::stoul(Id.substr(1));
    Events.at(Events.now() + 1, [this, &N, R, Id, Index] {
      if (!Group[Index].IsUp)
        return end(N, R, Id, ServerFault::NotConnected);
      N.Dispatch.loadTracker().onConnected(Id);
      count(Index);
      if (!Group[Index].IsUp)
        return end(N, R, Id, ServerFault::Unreachable);
      if (!IsOpen)
        return end(N, R, Id, ServerFault::Unavailable);
      uint64_t Expected = Epoch;
      int64_t SentAt = Events.now();
      Events.at(SentAt + WorkMillis, [this, &N, R, Id, Expected] {
        if (Epoch != Expected)
          return end(N, R, Id, ServerFault::Unreachable);
        ++Answered;
        N.Dispatch.loadTracker().onAnswered(
            Id, std::chrono::milliseconds(WorkMillis), at(Events.now()));
        N.Dispatch.onEnded("s", Id, at(Events.now()));
        dequeue(N);
      });
    });
  }

  void count(size_t Index) {
    Rank &R = Group[Index];
    if (Events.now() >= R.ColdUntil)
      return;
    R.Sends.push_back(Events.now());
    while (R.Sends.front() <= Events.now() - 1000)
      R.Sends.pop_front();
    MostColdPerSecond = std::max(MostColdPerSecond, R.Sends.size());
    if (R.Sends.size() > MaxColdPerSecond)
      crash(Index);
  }

  void end(Node &N, Request R, const std::string &Id, ServerFault Fault) {
    N.Dispatch.loadTracker().onFault(Id, Fault, at(Events.now()));
    N.Dispatch.onEnded("s", Id, at(Events.now()));
    R.Excluded.push_back(Id);
    attempt(N, std::move(R));
  }

  void fail(const Request &R) {
    LastUnanswered = std::max(LastUnanswered, R.Arrived);
  }

  std::mt19937_64 Random;
  testing::EventQueue<int64_t> Events;
  std::vector<Rank> Group;
  bool IsOpen = true;
  uint64_t Epoch = 0;
  BackendDirectory Directory;
  uint64_t Version = 0;
  std::vector<std::unique_ptr<Node>> All;
};

} // namespace

class GroupOpeningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupOpeningTest);
  CPPUNIT_TEST(groupWhenARankReturnsColdUnderLoadServesAgainInTime);
  CPPUNIT_TEST(rampWhenManyNodesWaitFillsTheSlotsGradually);
  CPPUNIT_TEST_SUITE_END();

public:
  void groupWhenARankReturnsColdUnderLoadServesAgainInTime() {
    testing::runSeeds(10, [](uint64_t Seed, bool) {
      Fleet F(Seed);
      F.addTraffic(150, 0, 30000);
      F.addTraffic(100, 2000, 8000);
      constexpr int64_t CrashMillis = 3000;
      F.crashAt(CrashMillis, 0);
      F.run(30000);
      CPPUNIT_ASSERT(F.MostColdPerSecond <= MaxColdPerSecond);
      CPPUNIT_ASSERT_EQUAL(size_t(1), F.Crashes);
      CPPUNIT_ASSERT(F.LastUnanswered <=
                     CrashMillis + AbsentMillis + RecoverMillis);
    });
  }

  // Load: more requests wait at every node than there are slots.
  void rampWhenManyNodesWaitFillsTheSlotsGradually() {
    constexpr uint32_t AllSlots = Ranks * Slots;
    std::vector<OpeningRamp> Ramps;
    for (uint64_t I = 0; I < Nodes; ++I) {
      Ramps.emplace_back(I);
      Ramps.back().onClosed();
    }
    size_t Sent = 0;
    for (int64_t T = 0; T < OpeningRamp::Length.count() / 1000; T += 10) {
      for (OpeningRamp &Ramp : Ramps) {
        Ramp.onAvailable(AllSlots, Nodes, at(T));
        for (; Ramp.maySend() && Sent <= AllSlots; ++Sent)
          Ramp.onSent();
      }
      // A tenth of the slots is room for how the nodes' first turns fall.
      CPPUNIT_ASSERT(Sent <= AllSlots * (T + 100) / 1000);
    }
    CPPUNIT_ASSERT(Sent >= AllSlots * 8 / 10);
    Ramps[0].onAvailable(AllSlots, Nodes, at(1000));
    CPPUNIT_ASSERT(!Ramps[0].isActive() && Ramps[0].maySend());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupOpeningTest);

} // namespace ragwort::dispatch
