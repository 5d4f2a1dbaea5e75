//===- MapRunTest.cpp - Randomised runs of a rank group -------------------===//
//
// Ranks in lock-step, agents that are killed, frozen and restarted without
// memory, controllers that take over from each other, and messages that are
// late, lost, doubled and reordered. In every step all ranks must use the same
// map version.
//
// RAGWORT_SEED=N replays one seed with a trace; RAGWORT_SOAK_SECONDS=N runs
// fresh seeds for that long.
//
//===----------------------------------------------------------------------===//
#include "VirtualRun.h"
#include "ragwort/experts/MapController.h"
#include "ragwort/experts/RankGuard.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <iostream>
#include <memory>
#include <random>

namespace ragwort::experts {

namespace {

constexpr uint32_t RankCount = 5;
constexpr uint64_t RunLength = 60'000; // milliseconds
constexpr uint64_t StepLength = 10;

/// One run with one seed. Time is counted in milliseconds.
class Run {
public:
  Run(uint64_t Seed, bool IsTraced) : Random(Seed), IsTraced(IsTraced) {
    ChecksFencing = Random() % 2 == 0;
    for (uint32_t I = 0; I < RankCount; ++I) {
      Ranks.emplace_back();
      restartAgent(I);
    }
  }

  std::string execute() {
    takeOver();
    at(StepLength, [this] { step(); });
    at(50, [this] { resendLoop(); });
    for (int I = 0; I < 40; ++I)
      at(Random() % RunLength, [this] { injectFault(); });
    for (int I = 0; I < 30; ++I)
      at(Random() % RunLength, [this] { changeMap(); });
    while (Failure.empty() && Events.runNext()) {
    }
    return Failure;
  }

  uint64_t steps() const { return Step; }
  uint64_t switches() const { return Switches; }

private:
  /// A rank's engine and the agent beside it.
  struct Rank {
    EngineState Engine;
    std::unique_ptr<RankGuard> Guard;
    Incarnation Agent;
    uint64_t FrozenUntil = 0;
  };
  struct Controller {
    MapController Machine;
    uint32_t Host = 0;
    Incarnation HostAgent;
  };
  using ControllerPtr = std::shared_ptr<Controller>;

  uint64_t now() const { return Events.now(); }
  void at(uint64_t When, std::function<void()> Act) {
    if (When <= RunLength)
      Events.at(When, std::move(Act));
  }
  void after(uint64_t Delay, std::function<void()> Act) {
    at(now() + Delay, std::move(Act));
  }
  bool chance(int Percent) { return int(Random() % 100) < Percent; }
  void trace(const std::string &Line) {
    if (IsTraced)
      std::cout << now() << " " << Line << "\n";
  }

  // Sends over a network that delays, loses, doubles and reorders.
  void deliver(std::function<void()> Receive) {
    int Copies = chance(10) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      if (!chance(5))
        after(1 + Random() % (chance(5) ? 3000 : 8), Receive);
  }

  void restartAgent(uint32_t I) {
    Rank &R = Ranks[I];
    R.Agent = Incarnation{NextIncarnation++};
    R.Guard = std::make_unique<RankGuard>(R.Agent, R.Engine);
    R.FrozenUntil = now();
    trace("agent " + std::to_string(I) + " starts at step " +
          std::to_string(R.Engine.Step));
  }

  void injectFault() {
    uint32_t I = uint32_t(Random() % RankCount);
    switch (Random() % 4) {
    case 0:
      return restartAgent(I);
    case 1:
      trace("freeze agent " + std::to_string(I));
      Ranks[I].FrozenUntil = now() + Random() % 4000;
      return;
    case 2:
    case 3:
      return takeOver();
    }
  }

  void changeMap() {
    // Staging on all ranks is taken as done; controllers differ in when they
    // hear of it, and the killed ones never do.
    uint64_t Version = ++LastVersion;
    for (const ControllerPtr &C : Controllers)
      if (chance(80))
        C->Machine.setVersion(Version);
  }

  void takeOver() {
    uint32_t Host = uint32_t(Random() % RankCount);
    Epoch Seen;
    for (const ControllerPtr &C : Controllers)
      Seen = std::max(Seen, C->Machine.highestSeen());
    // A taker may know of none of the others, as an agent that restarts beside
    // an engine without fencing; each is a life of its own.
    Epoch Number = controllerEpoch(chance(20) ? 1 : nextRound(Seen), Host,
                                   Incarnation{++Lives});
    GrantHorizon Limits;
    Limits.GrantSteps = 16;
    Limits.RefillThreshold = 8;
    auto C = std::make_shared<Controller>(Controller{
        MapController(RankCount, Number, Limits), Host, Ranks[Host].Agent});
    C->Machine.setVersion(chance(50) ? LastVersion : 0);
    trace("controller on " + std::to_string(Host) + " epoch " +
          std::to_string(Number.Value));
    Controllers.push_back(C);
    if (Controllers.size() > 4)
      Controllers.erase(Controllers.begin());
    C->Machine.start();
    flush(C);
  }

  bool isHostUp(const ControllerPtr &C) {
    return Ranks[C->Host].Agent == C->HostAgent;
  }

  void flush(const ControllerPtr &C) {
    for (RankMessage &Out : C->Machine.takeMessages()) {
      uint32_t To = Out.Rank;
      std::visit(
          [&](const auto &M) {
            deliver([=, this] { rankReceives(C, To, M); });
          },
          Out.Message);
    }
  }

  template <class Message>
  void rankReceives(const ControllerPtr &C, uint32_t I, const Message &M) {
    Rank &R = Ranks[I];
    if (R.FrozenUntil > now())
      return at(R.FrozenUntil, [=, this] { rankReceives(C, I, M); });
    handle(C, I, M);
  }

  void handle(const ControllerPtr &C, uint32_t I, const PromiseRequest &M) {
    PromiseReply Reply = Ranks[I].Guard->onPromise(M);
    reply(C, [=](MapController &Machine) { Machine.onPromiseReply(I, Reply); });
  }
  void handle(const ControllerPtr &C, uint32_t I, const AcceptRequest &M) {
    AcceptReply Reply = Ranks[I].Guard->onAccept(M);
    reply(C, [=](MapController &Machine) { Machine.onAcceptReply(I, Reply); });
  }
  void handle(const ControllerPtr &C, uint32_t I, const CommitNotice &M) {
    Rank &R = Ranks[I];
    for (const Grant &G : R.Guard->onCommit(M)) {
      R.Engine.Orders.push_back(G);
      if (ChecksFencing)
        R.Engine.Fencing = std::max(R.Engine.Fencing, M.By);
    }
    if (!R.Guard->hasCommitted(M))
      return;
    CommitReply Reply{R.Agent, M.By, M.Index};
    reply(C, [=](MapController &Machine) { Machine.onCommitReply(I, Reply); });
  }

  void reply(const ControllerPtr &C, std::function<void(MapController &)> Act) {
    deliver([=, this] { controllerReceives(C, Act); });
  }
  void controllerReceives(const ControllerPtr &C,
                          std::function<void(MapController &)> Act) {
    if (!isHostUp(C))
      return;
    uint64_t Thaw = Ranks[C->Host].FrozenUntil;
    if (Thaw > now())
      return at(Thaw, [=, this] { controllerReceives(C, Act); });
    Act(C->Machine);
    flush(C);
  }

  void resendLoop() {
    bool HasLive = false;
    for (const ControllerPtr &C : Controllers) {
      if (!isHostUp(C) || Ranks[C->Host].FrozenUntil > now())
        continue;
      HasLive |= C->Machine.phase() != MapController::Phase::Fenced;
      C->Machine.resend();
      flush(C);
    }
    if (!HasLive)
      takeOver();
    after(50, [this] { resendLoop(); });
  }

  static const Grant *orderFor(const Rank &R, uint64_t Next) {
    const Grant *Found = nullptr;
    for (const Grant &G : R.Engine.Orders)
      if (G.From <= Next && Next <= G.Through)
        Found = &G;
    return Found;
  }

  // The group steps when every engine has an order for the next step.
  void step() {
    after(StepLength, [this] { step(); });
    std::vector<uint64_t> Versions;
    for (const Rank &R : Ranks) {
      const Grant *Order = orderFor(R, Step + 1);
      if (!Order)
        return;
      Versions.push_back(Order->Version);
    }
    ++Step;
    for (uint64_t Version : Versions)
      if (Version != Versions[0] && Failure.empty()) {
        Failure = "step " + std::to_string(Step) + " used versions " +
                  std::to_string(Versions[0]) + " and " +
                  std::to_string(Version);
        trace(Failure);
      }
    Switches += Versions[0] != LastUsed;
    LastUsed = Versions[0];
    for (Rank &R : Ranks) {
      R.Engine.Step = Step;
      std::erase_if(R.Engine.Orders,
                    [&](const Grant &G) { return G.Through + 64 < Step; });
      if (R.FrozenUntil <= now())
        R.Guard->onStep(Step);
    }
    for (const ControllerPtr &C : Controllers)
      if (isHostUp(C) && Ranks[C->Host].FrozenUntil <= now()) {
        C->Machine.onStep(Step);
        flush(C);
      }
  }

  std::mt19937_64 Random;
  const bool IsTraced;
  bool ChecksFencing = true;
  uint64_t NextIncarnation = 1;
  uint64_t LastVersion = 1;
  uint64_t Lives = 0;
  uint64_t LastUsed = 0;
  uint64_t Step = 0;
  uint64_t Switches = 0;
  testing::EventQueue<uint64_t> Events;
  std::vector<Rank> Ranks;
  std::vector<ControllerPtr> Controllers;
  std::string Failure;
};

} // namespace

class MapRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MapRunTest);
  CPPUNIT_TEST(ranksWhenEverythingFailsUseOneMapInAStep);
  CPPUNIT_TEST_SUITE_END();

  uint64_t Steps = 0;
  uint64_t Switches = 0;
  uint64_t Runs = 0;

  void runSeed(uint64_t Seed, bool IsTraced) {
    Run Subject(Seed, IsTraced);
    std::string Failure = Subject.execute();
    CPPUNIT_ASSERT_MESSAGE(
        "seed " + std::to_string(Seed) + ": " + Failure +
            " (replay with RAGWORT_SEED=" + std::to_string(Seed) + ")",
        Failure.empty());
    Steps += Subject.steps();
    Switches += Subject.switches();
    ++Runs;
  }

public:
  void ranksWhenEverythingFailsUseOneMapInAStep() {
    bool IsList = testing::runSeeds(
        300, [&](uint64_t Seed, bool IsTraced) { runSeed(Seed, IsTraced); });
    if (!IsList)
      return;
    std::cout << " runs=" << Runs << " steps=" << Steps
              << " of=" << Runs * (RunLength / StepLength)
              << " switches=" << Switches;
    CPPUNIT_ASSERT(Steps > 0 && Switches > 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MapRunTest);

} // namespace ragwort::experts
