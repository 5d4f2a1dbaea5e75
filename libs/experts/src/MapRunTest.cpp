//===- MapRunTest.cpp - Randomised simulation of a rank group -------------===//
//
// Simulates ranks in lock-step, agents that freeze or restart without their
// state, controllers that supersede each other, and messages that are delayed,
// lost, duplicated and reordered. Checks that all ranks use the same map
// version in every step.
//
// RAGWORT_SEED=N replays one seed with a trace. RAGWORT_SOAK_SECONDS=N runs new
// seeds for N seconds.
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
constexpr uint64_t StepInterval = 10;  // milliseconds

/// Simulation with one seed. Times are in milliseconds.
class Simulation {
public:
  Simulation(uint64_t Seed, bool IsTraced) : Random(Seed), IsTraced(IsTraced) {
    ChecksFencing = Random() % 2 == 0;
    for (uint32_t I = 0; I < RankCount; ++I) {
      Ranks.emplace_back();
      restartAgent(I);
    }
  }

  /// Runs the simulation. \returns the first violation, or an empty string.
  std::string execute() {
    startController();
    at(StepInterval, [this] { step(); });
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
  /// A rank's engine and its agent.
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
  void at(uint64_t When, std::function<void()> Action) {
    if (When <= RunLength)
      Events.at(When, std::move(Action));
  }
  void after(uint64_t Delay, std::function<void()> Action) {
    at(now() + Delay, std::move(Action));
  }
  bool chance(int Percent) { return int(Random() % 100) < Percent; }
  void trace(const std::string &Line) {
    if (IsTraced)
      std::cout << now() << " " << Line << "\n";
  }

  // Delivers over a network that delays, loses, duplicates and reorders
  // messages.
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
      return startController();
    }
  }

  void changeMap() {
    // The new version is assumed to be staged on all ranks. Not every
    // controller is notified of it.
    uint64_t Version = ++LastVersion;
    for (const ControllerPtr &C : Controllers)
      if (chance(80))
        C->Machine.setVersion(Version);
  }

  void startController() {
    uint32_t Host = uint32_t(Random() % RankCount);
    Epoch Seen;
    for (const ControllerPtr &C : Controllers)
      Seen = std::max(Seen, C->Machine.highestSeen());
    // A new controller may not know of any other, such as one of an agent that
    // restarted while its engine does not check fencing. Each controller has an
    // incarnation of its own.
    Epoch Number = controllerEpoch(chance(20) ? 1 : nextRound(Seen), Host,
                                   Incarnation{++ControllerCount});
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

  void reply(const ControllerPtr &C,
             std::function<void(MapController &)> Action) {
    deliver([=, this] { controllerReceives(C, Action); });
  }
  void controllerReceives(const ControllerPtr &C,
                          std::function<void(MapController &)> Action) {
    if (!isHostUp(C))
      return;
    uint64_t FrozenUntil = Ranks[C->Host].FrozenUntil;
    if (FrozenUntil > now())
      return at(FrozenUntil, [=, this] { controllerReceives(C, Action); });
    Action(C->Machine);
    flush(C);
  }

  void resendLoop() {
    bool HasActive = false;
    for (const ControllerPtr &C : Controllers) {
      if (!isHostUp(C) || Ranks[C->Host].FrozenUntil > now())
        continue;
      HasActive |= C->Machine.phase() != MapController::Phase::Fenced;
      C->Machine.resend();
      flush(C);
    }
    if (!HasActive)
      startController();
    after(50, [this] { resendLoop(); });
  }

  static const Grant *orderFor(const Rank &R, uint64_t Next) {
    const Grant *Found = nullptr;
    for (const Grant &G : R.Engine.Orders)
      if (G.From <= Next && Next <= G.Through)
        Found = &G;
    return Found;
  }

  // Runs the next step of the group if every engine has an order for it.
  void step() {
    after(StepInterval, [this] { step(); });
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
  uint64_t ControllerCount = 0;
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
  CPPUNIT_TEST(ranksWhenFaultsAreRandomUseOneMapInEachStep);
  CPPUNIT_TEST_SUITE_END();

  uint64_t Steps = 0;
  uint64_t Switches = 0;
  uint64_t Runs = 0;

  void runSeed(uint64_t Seed, bool IsTraced) {
    Simulation Subject(Seed, IsTraced);
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
  void ranksWhenFaultsAreRandomUseOneMapInEachStep() {
    bool HasManySeeds = testing::runSeeds(
        300, [&](uint64_t Seed, bool IsTraced) { runSeed(Seed, IsTraced); });
    if (!HasManySeeds)
      return;
    std::cout << " runs=" << Runs << " steps=" << Steps
              << " of=" << Runs * (RunLength / StepInterval)
              << " switches=" << Switches;
    CPPUNIT_ASSERT(Steps > 0 && Switches > 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MapRunTest);

} // namespace ragwort::experts
