//===- MapSwitchTest.cpp - Randomised runs of MapSwitch -------------------===//
//
// Simulates the engines of a rank group in virtual time. Orders are lost,
// executed without an answer, or executed seconds late and after newer ones;
// the controller is restarted without its state; the group is re-formed. Checks
// that all ranks use the same map in every pass, and that once the faults end
// the group makes progress and maps change again.
//
// RAGWORT_SEED=N replays one seed with a trace; RAGWORT_SOAK_SECONDS=N runs
// fresh seeds for that long.
//
//===----------------------------------------------------------------------===//
#include "ragwort/rankgroup/MapSwitch.h"
#include "VirtualRun.h"
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <memory>

namespace ragwort::rankgroup {

namespace {

constexpr uint32_t RankCount = 4;
constexpr uint64_t RunMillis = 60'000;
/// No faults are injected from this time on.
constexpr uint64_t FaultsEndMillis = 35'000;
constexpr uint64_t PassMillis = 50;
constexpr uint64_t ReportIntervalMillis = 100;
constexpr uint64_t MaxDelayMillis = 12'000;

TimePoint timeOf(uint64_t Millis) {
  return TimePoint(std::chrono::milliseconds(Millis + 1));
}

/// Model of one rank's engine, following the platform's published rules.
struct Engine {
  uint64_t MapVersion = 0;
  uint64_t HighestVersion = 0;
  std::optional<uint64_t> Preparing;
  uint64_t PreparedAt = 0;
  std::optional<ArmedMap> Armed;
  std::optional<uint64_t> Held;

  std::optional<uint64_t> prepared(uint64_t Now) const {
    return Preparing && Now >= PreparedAt ? Preparing : std::nullopt;
  }
};

class Run {
public:
  Run(uint64_t Seed, bool IsTraced)
      : Random(Seed), IsTraced(IsTraced), Engines(RankCount),
        Controller(std::make_unique<MapSwitch>(RankCount)) {
    LostPercent = Random() % 60;
  }

  std::string execute() {
    Events.at(PassMillis, [this] { pass(); });
    Events.at(0, [this] { runControlLoop(); });
    for (uint32_t I = 0; I < RankCount; ++I)
      Events.at(uint64_t{I} * 7, [this, I] { sendReport(I); });
    for (int I = 0; I < 6; ++I)
      Events.at(Random() % FaultsEndMillis, [this] { restartController(); });
    for (int I = 0; I < 3; ++I)
      Events.at(Random() % FaultsEndMillis, [this] { reformGroup(); });
    while (Failure.empty() && Events.now() < RunMillis && Events.runNext()) {
    }
    if (Failure.empty() && StepBeforeLastTenSeconds + 100 > Step)
      fail("the group made " + std::to_string(Step - StepBeforeLastTenSeconds) +
           " passes in the last ten seconds");
    if (Failure.empty() && CompletedAfterFaults == 0)
      fail("no map change was completed after the faults ended");
    return Failure;
  }

  uint64_t changes() const { return Changes; }

private:
  uint64_t now() const { return Events.now(); }
  bool haveFaultsEnded() const { return now() >= FaultsEndMillis; }

  void fail(const std::string &Text) {
    if (Failure.empty())
      Failure = Text;
  }
  void trace(const std::string &Text) {
    if (IsTraced)
      std::cout << now() << " " << Text << "\n";
  }

  void pass() {
    uint64_t Next = Step + 1;
    bool IsHeld = false;
    for (const Engine &E : Engines)
      IsHeld |= E.Held == Next;
    if (!IsHeld) {
      Step = Next;
      for (Engine &E : Engines)
        if (E.Armed && E.Armed->Step == Step) {
          E.MapVersion = E.Armed->Version;
          E.Armed.reset();
          E.Preparing.reset();
        }
      for (const Engine &E : Engines)
        if (E.MapVersion != Engines[0].MapVersion)
          fail("pass " + std::to_string(Step) + " began with maps " +
               std::to_string(Engines[0].MapVersion) + " and " +
               std::to_string(E.MapVersion));
    }
    if (now() < RunMillis - 10'000)
      StepBeforeLastTenSeconds = Step;
    Events.at(now() + PassMillis, [this] { pass(); });
  }

  OrderAnswer executeOrder(uint32_t Rank, const RankOrder &O) {
    Engine &E = Engines[Rank];
    if (O.Epoch != Epoch)
      return OrderAnswer::Conflict;
    OrderAnswer Answer = applyOrder(E, O);
    trace("rank " + std::to_string(Rank) + " order " +
          std::to_string(int(O.Kind)) + " version " +
          std::to_string(O.Version) + " step " + std::to_string(O.Step) +
          " answer " + std::to_string(int(Answer)));
    return Answer;
  }

  OrderAnswer applyOrder(Engine &E, const RankOrder &O) {
    switch (O.Kind) {
    case OrderKind::Prepare:
      if (E.Preparing == O.Version)
        return OrderAnswer::Accepted;
      if (O.Version <= E.HighestVersion || E.Armed)
        return OrderAnswer::Conflict;
      E.HighestVersion = O.Version;
      E.Preparing = O.Version;
      E.PreparedAt = now() + 50 + Random() % 400;
      return OrderAnswer::Accepted;
    case OrderKind::Arm:
      if (E.Armed)
        return *E.Armed == ArmedMap{O.Version, O.Step} ? OrderAnswer::Accepted
                                                       : OrderAnswer::Conflict;
      if (E.prepared(now()) != O.Version || O.Step <= Step)
        return OrderAnswer::Conflict;
      E.Armed = ArmedMap{O.Version, O.Step};
      return OrderAnswer::Accepted;
    case OrderKind::Disarm:
      if (E.MapVersion == O.Version)
        return OrderAnswer::Conflict;
      if (E.Armed && E.Armed->Version == O.Version)
        E.Armed.reset();
      return OrderAnswer::Accepted;
    case OrderKind::Hold:
      if (E.Held == O.Step)
        return OrderAnswer::Accepted;
      if (E.Held || O.Step <= Step)
        return OrderAnswer::Conflict;
      E.Held = O.Step;
      return OrderAnswer::Accepted;
    case OrderKind::Release:
      if (E.Held == O.Step)
        E.Held.reset();
      return OrderAnswer::Accepted;
    }
    return OrderAnswer::Conflict;
  }

  void send(const OutgoingOrder &S) {
    uint64_t Incarnation = ControllerIncarnation;
    uint64_t Arrives = now() + 1 + Random() % 3;
    uint64_t Roll = haveFaultsEnded() ? 100 : Random() % 100;
    auto Reply = [this, S, Incarnation](OrderAnswer Answer) {
      if (Incarnation == ControllerIncarnation)
        Controller->onAnswer(S.Rank, S.Number, Answer, timeOf(now()));
    };
    if (Roll >= LostPercent) {
      Events.at(Arrives, [this, S, Reply] {
        OrderAnswer Answer = executeOrder(S.Rank, S.Order);
        Events.at(now() + 1, [Reply, Answer] { Reply(Answer); });
      });
    } else if (Roll % 3 == 0) {
      // The order is executed, but its answer is lost.
      Events.at(Arrives, [this, S] { executeOrder(S.Rank, S.Order); });
    } else if (Roll % 3 == 1) {
      uint64_t Late = Arrives + 2000 + Random() % (MaxDelayMillis - 2000);
      Events.at(Late, [this, S] { executeOrder(S.Rank, S.Order); });
    }
  }

  EngineReport reportOf(uint32_t Rank) const {
    const Engine &E = Engines[Rank];
    EngineReport R;
    R.Epoch = Epoch;
    R.Rank = Rank;
    R.IsOpen = true;
    R.Step = Step;
    R.MapVersion = E.MapVersion;
    R.Prepared = E.prepared(now());
    R.Armed = E.Armed;
    R.Held = E.Held;
    return R;
  }

  void deliver(uint32_t Rank, const EngineReport &R, uint64_t Token,
               uint64_t Delay) {
    uint64_t Incarnation = ControllerIncarnation;
    Events.at(now() + Delay, [this, Rank, R, Token, Incarnation] {
      if (Incarnation == ControllerIncarnation)
        Controller->onReport(Rank, R, Token, timeOf(now()));
    });
  }

  void sendReport(uint32_t Rank) {
    if (Random() % 10 != 0)
      deliver(Rank, reportOf(Rank), 0, 1 + Random() % 40);
    Events.at(now() + ReportIntervalMillis, [this, Rank] { sendReport(Rank); });
  }

  /// One iteration of the control loop: starts changes, sends orders and
  /// requests reports.
  void runControlLoop() {
    MapSwitch &C = *Controller;
    if (C.needsRecovery())
      C.beginRecovery(ExpertMap(), timeOf(now()));
    else if (C.canBegin() && Random() % 10 == 0)
      C.begin(ExpertMap(), ExpertMap(), nextVersion(), timeOf(now()));
    for (const OutgoingOrder &S : C.takeOrders(timeOf(now())))
      send(S);
    for (const ReportRequest &R : C.awaitedReports())
      if (Random() % 4 != 0)
        Events.at(now() + 2, [this, R, Incarnation = ControllerIncarnation] {
          if (Incarnation == ControllerIncarnation)
            deliver(R.Rank, reportOf(R.Rank), R.Token, 2);
        });
    if (C.completed() > LastCompleted) {
      Changes += C.completed() - LastCompleted;
      CompletedAfterFaults +=
          haveFaultsEnded() ? C.completed() - LastCompleted : 0;
      LastCompleted = C.completed();
    }
    Events.at(now() + 10, [this] { runControlLoop(); });
  }

  /// Unique per controller, like the salted versions of GroupController.
  uint64_t nextVersion() {
    return (Controller->highestVersion() / 100 + 1) * 100 +
           ControllerIncarnation;
  }

  void restartController() {
    trace("controller restarts in " +
          std::string(toString(Controller->phase())));
    ++ControllerIncarnation;
    LastCompleted = 0;
    KnownAt = now();
    Controller = std::make_unique<MapSwitch>(RankCount);
  }

  void reformGroup() {
    trace("group is re-formed");
    ++Epoch;
    for (Engine &E : Engines)
      E = Engine();
  }

  std::mt19937_64 Random;
  const bool IsTraced;
  uint64_t LostPercent;
  testing::EventQueue<uint64_t> Events;
  std::vector<Engine> Engines;
  std::unique_ptr<MapSwitch> Controller;
  uint64_t ControllerIncarnation = 0;
  uint64_t KnownAt = 0;
  uint64_t Epoch = 1;
  uint64_t Step = 0;
  uint64_t StepBeforeLastTenSeconds = 0;
  uint64_t Changes = 0;
  uint64_t LastCompleted = 0;
  uint64_t CompletedAfterFaults = 0;
  std::string Failure;
};

} // namespace

class MapSwitchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MapSwitchTest);
  CPPUNIT_TEST(switchWhenNothingFailsTakesOnePass);
  CPPUNIT_TEST(answersWhenTheOrderWasResentStillCount);
  CPPUNIT_TEST(answersWhenMeantForAFormerControllerAreIgnored);
  CPPUNIT_TEST(ordersWhenSentTogetherHaveOneNumber);
  CPPUNIT_TEST(ordersWhenUnansweredAreResentWithGrowingDelay);
  CPPUNIT_TEST(reportsWhenReadBeforeTheReleaseStartNoRecovery);
  CPPUNIT_TEST(changeWhenARankRefusesIsReleasedOnlyWithAllFenced);
  CPPUNIT_TEST(runsWhenOrdersAreLostAndLateUseOneMapPerPass);
  CPPUNIT_TEST_SUITE_END();

  static EngineReport openReport() {
    EngineReport Report;
    Report.Epoch = 1;
    Report.IsOpen = true;
    Report.Step = 10;
    return Report;
  }

  /// A switch of two ranks that has begun a change.
  static MapSwitch begun(uint64_t FirstNumber = 1) {
    MapSwitch Switch(2, FirstNumber);
    for (uint32_t Rank : {0u, 1u})
      Switch.onReport(Rank, openReport(), 0, timeOf(0));
    CPPUNIT_ASSERT(Switch.canBegin());
    Switch.begin(ExpertMap(), ExpertMap(), 1, timeOf(0));
    return Switch;
  }

  /// Like begun(), with the map prepared on both ranks and the pass held.
  static MapSwitch holding(uint64_t FirstNumber = 1) {
    MapSwitch Switch = begun(FirstNumber);
    EngineReport Report = openReport();
    Report.Prepared = 1;
    for (uint32_t Rank : {0u, 1u})
      Switch.onReport(Rank, Report, 0, timeOf(1));
    auto Hold = Switch.takeOrders(timeOf(1));
    Switch.onAnswer(0, Hold.at(0).Number, OrderAnswer::Accepted, timeOf(1));
    return Switch;
  }

public:
  void switchWhenNothingFailsTakesOnePass() {
    MapSwitch Switch = begun();
    auto AnswerAll = [&](OrderKind Kind, size_t Count) {
      auto Orders = Switch.takeOrders(timeOf(0));
      CPPUNIT_ASSERT_EQUAL(Count, Orders.size());
      for (const OutgoingOrder &S : Orders) {
        CPPUNIT_ASSERT(S.Order.Kind == Kind);
        Switch.onAnswer(S.Rank, S.Number, OrderAnswer::Accepted, timeOf(0));
      }
    };
    AnswerAll(OrderKind::Prepare, 2);
    EngineReport Report = openReport();
    Report.Prepared = 1;
    for (uint32_t Rank : {0u, 1u})
      Switch.onReport(Rank, Report, 0, timeOf(1));
    AnswerAll(OrderKind::Hold, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t(10 + MapSwitch::MinPassesAhead),
                         Switch.heldStep());
    AnswerAll(OrderKind::Arm, 2);
    AnswerAll(OrderKind::Release, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Switch.completed());
  }

  void answersWhenTheOrderWasResentStillCount() {
    // Guards against a controller that ignores answers which take longer than
    // ResendAfter because it has resent the orders by then.
    MapSwitch Switch = holding();
    auto First = Switch.takeOrders(timeOf(1));
    CPPUNIT_ASSERT_EQUAL(size_t(2), First.size());
    CPPUNIT_ASSERT_EQUAL(size_t(2), Switch.takeOrders(timeOf(70)).size());
    for (const OutgoingOrder &S : First)
      Switch.onAnswer(S.Rank, S.Number, OrderAnswer::Accepted, timeOf(71));
    CPPUNIT_ASSERT(Switch.phase() == SwitchPhase::Releasing);
  }

  void answersWhenMeantForAFormerControllerAreIgnored() {
    MapSwitch Former = holding(1);
    MapSwitch Switch = holding(uint64_t(1) << 32);
    Switch.takeOrders(timeOf(1));
    for (const OutgoingOrder &S : Former.takeOrders(timeOf(1)))
      Switch.onAnswer(S.Rank, S.Number, OrderAnswer::Accepted, timeOf(2));
    CPPUNIT_ASSERT(Switch.phase() == SwitchPhase::Arming);
  }

  void ordersWhenSentTogetherHaveOneNumber() {
    MapSwitch Switch = begun();
    auto Orders = Switch.takeOrders(timeOf(0));
    CPPUNIT_ASSERT_EQUAL(Orders.at(0).Number, Orders.at(1).Number);
    auto Resent = Switch.takeOrders(timeOf(100));
    CPPUNIT_ASSERT_EQUAL(Resent.at(0).Number, Resent.at(1).Number);
    CPPUNIT_ASSERT(Resent.at(0).Number > Orders.at(0).Number);
  }

  void ordersWhenUnansweredAreResentWithGrowingDelay() {
    MapSwitch Switch = begun();
    size_t Sent = 0;
    for (uint64_t Millis = 0; Millis <= 600; Millis += 10)
      Sent += Switch.takeOrders(timeOf(Millis)).size();
    // First sent at 0 ms, then resent after 60, 180, 360 and 600 ms.
    CPPUNIT_ASSERT_EQUAL(size_t(2 * 5), Sent);
  }

  /// Answers the next order to \p Rank with Accepted and returns its kind.
  static OrderKind acceptNext(MapSwitch &Switch, uint32_t Rank,
                              uint64_t Millis) {
    for (const OutgoingOrder &S : Switch.takeOrders(timeOf(Millis)))
      if (S.Rank == Rank) {
        Switch.onAnswer(Rank, S.Number, OrderAnswer::Accepted, timeOf(Millis));
        return S.Order.Kind;
      }
    throw CppUnit::Exception(
        CppUnit::Message("no order to rank " + std::to_string(Rank)));
  }

  void changeWhenARankRefusesIsReleasedOnlyWithAllFenced() {
    // Rank 0 is armed; rank 1 refuses, and an arm order to it may still be in
    // flight.
    MapSwitch Switch = holding();
    for (const OutgoingOrder &S : Switch.takeOrders(timeOf(2)))
      Switch.onAnswer(S.Rank, S.Number,
                      S.Rank == 0 ? OrderAnswer::Accepted
                                  : OrderAnswer::Conflict,
                      timeOf(3));
    auto Awaited = Switch.awaitedReports();
    CPPUNIT_ASSERT_EQUAL(size_t(1), Awaited.size());
    EngineReport Report = openReport();
    Switch.onReport(1, Report, Awaited[0].Token, timeOf(4));
    CPPUNIT_ASSERT(Switch.phase() == SwitchPhase::RollingBack);
    // Both ranks are fenced by preparing a newer version, rank 0 after it is
    // disarmed.
    CPPUNIT_ASSERT(acceptNext(Switch, 0, 5) == OrderKind::Disarm);
    CPPUNIT_ASSERT(Switch.phase() == SwitchPhase::RollingBack);
    CPPUNIT_ASSERT(acceptNext(Switch, 0, 6) == OrderKind::Prepare);
    CPPUNIT_ASSERT(Switch.phase() == SwitchPhase::RollingBack);
    CPPUNIT_ASSERT(acceptNext(Switch, 1, 100) == OrderKind::Prepare);
    CPPUNIT_ASSERT(Switch.phase() == SwitchPhase::Releasing);
    CPPUNIT_ASSERT(acceptNext(Switch, 0, 101) == OrderKind::Release);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Switch.completed());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Switch.abandoned());
  }

  void reportsWhenReadBeforeTheReleaseStartNoRecovery() {
    MapSwitch Switch = holding();
    for (int Kind = 0; Kind < 2; ++Kind) // Arms both ranks, then releases.
      for (const OutgoingOrder &S : Switch.takeOrders(timeOf(2)))
        Switch.onAnswer(S.Rank, S.Number, OrderAnswer::Accepted, timeOf(3));
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Switch.completed());
    EngineReport Report = openReport();
    Report.Held = Switch.heldStep();
    Switch.onReport(0, Report, 0, timeOf(10));
    CPPUNIT_ASSERT(!Switch.needsRecovery());
    // Still held much later: a late order of another controller has held it.
    Switch.onReport(0, Report, 0, timeOf(900));
    CPPUNIT_ASSERT(Switch.needsRecovery());
  }

  void runsWhenOrdersAreLostAndLateUseOneMapPerPass() {
    uint64_t Changes = 0;
    bool IsWholeSet = testing::runSeeds(400, [&](uint64_t Seed, bool IsTraced) {
      Run R(Seed, IsTraced);
      std::string Failure = R.execute();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": " + Failure,
                             Failure.empty());
      Changes += R.changes();
    });
    // The runs are only meaningful if maps change often.
    if (IsWholeSet)
      CPPUNIT_ASSERT(Changes > 4000);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MapSwitchTest);

} // namespace ragwort::rankgroup
