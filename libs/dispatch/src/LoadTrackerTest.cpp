//===- LoadTrackerTest.cpp - Tests of LoadTracker.h -----------------------===//
#include "ragwort/dispatch/LoadTracker.h"
#include "ragwort/base/Hash.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class LoadTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTrackerTest);
  CPPUNIT_TEST(choiceWhenPeersLoadAServerTakesAnother);
  CPPUNIT_TEST(choiceWhenAPeerStopsReportingForgetsItsLoad);
  CPPUNIT_TEST(choiceWhenAServerIsUnreachableExcludesItForATime);
  CPPUNIT_TEST(choiceWhenMostServersFailStillReturnsOne);
  CPPUNIT_TEST(choiceWhenNoServerIsAvailableAllowsOneTrialAtATime);
  CPPUNIT_TEST(choiceWhenAServerDrainsExcludesIt);
  CPPUNIT_TEST(choiceWhenAServerSaysItLeavesExcludesItInThatRun);
  CPPUNIT_TEST(choiceWhenAPeerSaysAServerLeavesExcludesIt);
  CPPUNIT_TEST(choiceWhenALeavingServersEntryLapsesStillExcludesIt);
  CPPUNIT_TEST(choiceWhenAServerPausesExcludesItUntilTheEnd);
  CPPUNIT_TEST(choiceWhenAPausedServerRestartsTakesIt);
  CPPUNIT_TEST(choiceWhenAnEntryChangesAfterAPauseTakesTheServer);
  CPPUNIT_TEST(choiceWhenAnAddressHasANewerInstanceTakesTheNewer);
  CPPUNIT_TEST(choiceWhenAServerWasReplacedExcludesItUntilItRestarts);
  CPPUNIT_TEST(choiceWhenAServerIsSlowPrefersTheOthers);
  CPPUNIT_TEST(choiceWhenHalfOfTheServersAnswerSlowlyPrefersTheOthers);
  CPPUNIT_TEST(choiceWhenStreamsOfPeersAreSlowPrefersTheOthers);
  CPPUNIT_TEST(choiceWhenTheFastServersAreFullTakesASlowOne);
  CPPUNIT_TEST(choiceWhenAllAgentsReportClosedWaitsUntilTheyReportOpened);
  CPPUNIT_TEST(choiceWhenAgentsStopReportingAllowsOneTrialAtATime);
  CPPUNIT_TEST(choiceWhenAGroupOpensForgetsItsFaults);
  CPPUNIT_TEST(choiceWhenARunBeginsInAClosedGroupWaitsForItsAgent);
  CPPUNIT_TEST(choiceWhenMostAgentsReportClosedTriesNoOther);
  CPPUNIT_TEST(choiceWhenARunBeginsInAGroupWithoutNoticesTriesIt);
  CPPUNIT_TEST(choiceWhenTheLastServerRefusesConnectionsTriesItNowAndThen);
  CPPUNIT_TEST(choiceWhenAServerIsColdTakesItOnlyAtItsTurns);
  CPPUNIT_TEST(choiceWhenAPeerSaysAServerIsColdTakesItOnlyAtItsTurns);
  CPPUNIT_TEST(choiceWhenAServerStragglesExcludesItUntilNoticesEnd);
  CPPUNIT_TEST(choiceWhenMostServersStraggleStillReturnsOne);
  CPPUNIT_TEST(conditionsWhenReceivedFromPeersAreNotForwarded);
  CPPUNIT_TEST(choiceWhenOnePauseWasLongDoesNotChange);
  CPPUNIT_TEST(reportWhenEventsCameLongAgoHasNoGap);
  CPPUNIT_TEST(choicesWhenManyNodesSeeOldLoadsStayWithinTheSlots);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1000));
  }

  static BackendInstance instance(std::string Id, std::string Address,
                                  uint64_t Born = 1) {
    BackendInstance B;
    B.Id = std::move(Id);
    B.Service = "s";
    B.Address = std::move(Address);
    B.DataCentre = "here";
    B.Slots = 4;
    B.BornMillis = Born;
    return B;
  }

  void list(std::vector<BackendInstance> Servers) {
    Directory.replaceAll(std::move(Servers), {0, ++Version}, std::nullopt);
    Tracker->sync(Directory, at(0));
  }

  std::string chosen(TimePoint Now) {
    std::optional<Choice> C = Tracker->choose({"s", {}}, Now);
    return C ? C->Server->Id : "";
  }

  std::unique_ptr<LoadTracker> Tracker;
  BackendDirectory Directory;
  uint64_t Version = 0;

public:
  void setUp() override {
    Tracker = std::make_unique<LoadTracker>("here", 1);
    Directory = BackendDirectory();
    Version = 0;
    list({instance("a", "10.0.0.1:1"), instance("b", "10.0.0.2:1"),
          instance("c", "10.0.0.3:1")});
  }

  void choiceWhenPeersLoadAServerTakesAnother() {
    Tracker->onPeerReport("p1", {{hash64("a"), 2}, {hash64("b"), 2}}, at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen(at(0)));
    for (int I = 0; I < 3; ++I)
      Tracker->onStarted("c", at(0));
    CPPUNIT_ASSERT(chosen(at(0)) != "c");
  }

  void choiceWhenAPeerStopsReportingForgetsItsLoad() {
    Tracker->onPeerReport("p1", {{hash64("a"), 4}}, at(0));
    Tracker->onPeerReport("p2", {}, at(3000));
    CPPUNIT_ASSERT_EQUAL(0u, Tracker->inFlight("a"));
  }

  void choiceWhenAServerIsUnreachableExcludesItForATime() {
    Tracker->onFault("a", ServerFault::Unreachable, at(0));
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT(chosen(at(500)) != "a");
    for (int I = 0; I < 4; ++I) {
      Tracker->onStarted("b", at(0));
      Tracker->onStarted("c", at(0));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(at(1500)));
  }

  void choiceWhenMostServersFailStillReturnsOne() {
    Tracker->onFault("a", ServerFault::Unreachable, at(0));
    Tracker->onFault("b", ServerFault::Unreachable, at(0));
    CPPUNIT_ASSERT(!chosen(at(100)).empty());
    Tracker->onFault("c", ServerFault::Unreachable, at(0));
    CPPUNIT_ASSERT(!chosen(at(100)).empty());
  }

  void choiceWhenNoServerIsAvailableAllowsOneTrialAtATime() {
    for (const char *Id : {"a", "b", "c"})
      Tracker->onFault(Id, ServerFault::Unavailable, at(0));
    CPPUNIT_ASSERT(Tracker->isRecovering("s", at(100)));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(100)));
    std::string Trial = chosen(at(400));
    CPPUNIT_ASSERT(!Trial.empty());
    Tracker->onStarted(Trial, at(400));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(450)));
    // An answer to a request sent before the servers became unavailable does
    // not count.
    Tracker->onAnswered(Trial, std::chrono::milliseconds(450), at(405));
    CPPUNIT_ASSERT(Tracker->isRecovering("s", at(405)));
    Tracker->onAnswered(Trial, std::chrono::milliseconds(5), at(405));
    CPPUNIT_ASSERT(!Tracker->isRecovering("s", at(405)));
    CPPUNIT_ASSERT(!chosen(at(460)).empty());
  }

  static std::vector<BackendInstance> threeServers(uint64_t BornOfA = 1) {
    return {instance("a", "10.0.0.1:1", BornOfA), instance("b", "10.0.0.2:1"),
            instance("c", "10.0.0.3:1")};
  }

  /// Whether any of many choices returns server a.
  bool isAChosen(TimePoint Now) {
    for (int I = 0; I < 50; ++I)
      if (chosen(Now) == "a")
        return true;
    return false;
  }

  void choiceWhenAServerSaysItLeavesExcludesItInThatRun() {
    Tracker->onLeaving(instance("a", "10.0.0.1:1"), at(0));
    CPPUNIT_ASSERT(!isAChosen(at(0)));
    // Neither a further list that shows it nor time ends that.
    list(threeServers());
    CPPUNIT_ASSERT(!isAChosen(at(600'000)));
    CPPUNIT_ASSERT(Tracker->ownLeaving(at(100)) ==
                   std::vector<ServerRun>({ServerRun{hash64("a"), 1}}));
    list(threeServers(/*BornOfA=*/2));
    CPPUNIT_ASSERT(isAChosen(at(600'000)));
  }

  void choiceWhenAPeerSaysAServerLeavesExcludesIt() {
    std::vector<ServerRun> Leaving = {{hash64("a"), 1}, {hash64("b"), 9}};
    Tracker->onPeerLeaving(Leaving, at(0));
    CPPUNIT_ASSERT(!isAChosen(at(0)));
    CPPUNIT_ASSERT(Tracker->ownLeaving(at(0)).empty());
    // The report on b is about a run that this node does not know yet.
    std::vector<BackendInstance> List = threeServers();
    List[1].BornMillis = 9;
    list(List);
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen(at(0)));
  }

  void choiceWhenALeavingServersEntryLapsesStillExcludesIt() {
    Tracker->onLeaving(instance("a", "10.0.0.1:1"), at(0));
    list({instance("b", "10.0.0.2:1")});
    list(threeServers());
    CPPUNIT_ASSERT(!isAChosen(at(0)));
  }

  void choiceWhenAServerPausesExcludesItUntilTheEnd() {
    Tracker->onPaused(instance("a", "10.0.0.1:1"), std::chrono::seconds(4),
                      at(0));
    CPPUNIT_ASSERT(!isAChosen(at(3999)));
    // An agent's notice that its group has opened does not end the pause.
    Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Closed, at(100));
    Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Opened, at(200));
    CPPUNIT_ASSERT(!isAChosen(at(3999)));
    CPPUNIT_ASSERT(isAChosen(at(4000)));
    Tracker->onStarted("a", at(4000));
    CPPUNIT_ASSERT(!isAChosen(at(4100)));
    CPPUNIT_ASSERT(!Tracker->isRecovering("s", at(4100)));
  }

  void choiceWhenAPausedServerRestartsTakesIt() {
    Tracker->onPaused(instance("a", "10.0.0.1:1"), std::chrono::seconds(4),
                      at(0));
    list(threeServers(/*BornOfA=*/2));
    CPPUNIT_ASSERT(isAChosen(at(1)));
  }

  // Only the first request after a pause is a trial.
  void choiceWhenAnEntryChangesAfterAPauseTakesTheServer() {
    Tracker->onPaused(instance("a", "10.0.0.1:1"), std::chrono::seconds(4),
                      at(0));
    Tracker->onStarted("a", at(4000));
    Tracker->onAnswered("a", std::chrono::milliseconds(20), at(4020));
    Tracker->onEnded("a");
    std::vector<BackendInstance> List = threeServers();
    List[0].Slots = 8;
    list(List);
    Tracker->onStarted("a", at(4100));
    Tracker->onEnded("a");
    CPPUNIT_ASSERT(isAChosen(at(4110)));
  }

  void choiceWhenAServerDrainsExcludesIt() {
    BackendInstance Leaving = instance("a", "10.0.0.1:1");
    Leaving.IsDraining = true;
    list({Leaving, instance("b", "10.0.0.2:1")});
    for (int I = 0; I < 20; ++I) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(at(0)));
      Tracker->onStarted("b", at(0));
    }
  }

  void choiceWhenAnAddressHasANewerInstanceTakesTheNewer() {
    list({instance("old", "10.0.0.1:1", 5), instance("new", "10.0.0.1:1", 9)});
    for (int I = 0; I < 20; ++I) {
      CPPUNIT_ASSERT_EQUAL(std::string("new"), chosen(at(0)));
      Tracker->onStarted("new", at(0));
    }
  }

  void choiceWhenAServerWasReplacedExcludesItUntilItRestarts() {
    list({instance("a", "10.0.0.1:1", 5)});
    Tracker->onReplaced("a");
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(0)));
    list({instance("a", "10.0.0.1:1", 6)});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(at(0)));
  }

  void choiceWhenAServerIsSlowPrefersTheOthers() {
    for (int I = 0; I < 10; ++I) {
      Tracker->onAnswered("a", std::chrono::milliseconds(500), at(0));
      Tracker->onAnswered("b", std::chrono::milliseconds(50), at(0));
      Tracker->onAnswered("c", std::chrono::milliseconds(50), at(0));
    }
    for (int I = 0; I < 3; ++I) {
      CPPUNIT_ASSERT(chosen(at(0)) != "a");
      Tracker->onStarted("b", at(0));
      Tracker->onStarted("c", at(0));
    }
  }

  void choiceWhenHalfOfTheServersAnswerSlowlyPrefersTheOthers() {
    list({instance("a", "10.0.0.1:1"), instance("b", "10.0.0.2:1"),
          instance("c", "10.0.0.3:1"), instance("d", "10.0.0.4:1")});
    for (int I = 0; I < 10; ++I)
      for (const char *Id : {"a", "b", "c", "d"})
        Tracker->onAnswered(Id, std::chrono::milliseconds(*Id < 'c' ? 500 : 50),
                            at(0));
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT(chosen(at(0)) >= "c");
  }

  /// Lists four servers; peers report long pauses for streams of the first two.
  void listWithSlowStreams() {
    list({instance("a", "10.0.0.1:1"), instance("b", "10.0.0.2:1"),
          instance("c", "10.0.0.3:1"), instance("d", "10.0.0.4:1")});
    Tracker->onPeerReport("p1", {{hash64("a"), 1, 460}, {hash64("c"), 1, 70}},
                          at(0));
    Tracker->onPeerReport("p2", {{hash64("b"), 1, 440}, {hash64("d"), 1, 75}},
                          at(0));
  }

  void choiceWhenStreamsOfPeersAreSlowPrefersTheOthers() {
    listWithSlowStreams();
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT(chosen(at(0)) >= "c");
  }

  void choiceWhenTheFastServersAreFullTakesASlowOne() {
    listWithSlowStreams();
    // Together with the peers' request all four slots are in use.
    for (int I = 0; I < 3; ++I) {
      Tracker->onStarted("c", at(0));
      Tracker->onStarted("d", at(0));
    }
    CPPUNIT_ASSERT(chosen(at(0)) <= "b");
  }

  void notifyAll(EngineCondition Condition, TimePoint Now) {
    for (const char *Address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
      Tracker->onEngineNotice(Address, Condition, Now);
  }

  void choiceWhenAllAgentsReportClosedWaitsUntilTheyReportOpened() {
    // No request has been declined yet; none may be sent as a trial while the
    // agents' notices arrive.
    for (int Millis = 0; Millis <= 1500; Millis += 150) {
      notifyAll(EngineCondition::Closed, at(Millis));
      CPPUNIT_ASSERT(Tracker->isRecovering("s", at(Millis)));
      CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(Millis + 149)));
    }
    notifyAll(EngineCondition::Opened, at(1650));
    CPPUNIT_ASSERT(!Tracker->isRecovering("s", at(1650)));
    CPPUNIT_ASSERT(!chosen(at(1650)).empty());
  }

  void choiceWhenAgentsStopReportingAllowsOneTrialAtATime() {
    notifyAll(EngineCondition::Closed, at(0));
    std::string Trial = chosen(at(800));
    CPPUNIT_ASSERT(!Trial.empty());
    Tracker->onStarted(Trial, at(800));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(850)));
  }

  void choiceWhenAGroupOpensForgetsItsFaults() {
    Tracker->onFault("a", ServerFault::Unreachable, at(0));
    notifyAll(EngineCondition::Closed, at(100));
    notifyAll(EngineCondition::Opened, at(200));
    bool IsChosen = false;
    for (int I = 0; I < 20; ++I)
      IsChosen |= chosen(at(200)) == "a";
    CPPUNIT_ASSERT(IsChosen);
  }

  void closeGroup(int64_t Millis) {
    for (const char *Address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
      Tracker->onEngineNotice(Address, EngineCondition::Closed, at(Millis));
  }

  void restartC(uint64_t Born, std::optional<uint32_t> ColdMillis = {}) {
    BackendInstance C = instance("c", "10.0.0.3:1", Born);
    C.ColdMillis = ColdMillis;
    list({instance("a", "10.0.0.1:1"), instance("b", "10.0.0.2:1"), C});
  }

  void choiceWhenARunBeginsInAClosedGroupWaitsForItsAgent() {
    closeGroup(0);
    restartC(2);
    CPPUNIT_ASSERT(Tracker->isGroupClosed("s", at(1)));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(1)));
    // The agents of the others hold for it too while its own is silent.
    for (int64_t T = 500; T <= 3000; T += 500) {
      Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Closed, at(T));
      Tracker->onEngineNotice("10.0.0.2:1", EngineCondition::Closed, at(T));
      CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(T + 400)));
    }
    Tracker->onEngineNotice("10.0.0.3:1", EngineCondition::Opened, at(3100));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen(at(3100)));
  }

  void choiceWhenMostAgentsReportClosedTriesNoOther() {
    Tracker->onFault("c", ServerFault::Unavailable, at(0));
    for (int64_t T = 0; T <= 3000; T += 500) {
      Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Closed, at(T));
      Tracker->onEngineNotice("10.0.0.2:1", EngineCondition::Closed, at(T));
      CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(T + 400)));
    }
  }

  void choiceWhenARunBeginsInAGroupWithoutNoticesTriesIt() {
    closeGroup(0);
    restartC(2);
    int64_t Silent = ServerHealth::NoticeLifetime.count() / 1000;
    CPPUNIT_ASSERT(!chosen(at(Silent)).empty());
    Tracker->onStarted("c", at(Silent));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(Silent + 1)));
    Tracker->onAnswered("c", std::chrono::milliseconds(50), at(Silent + 50));
    CPPUNIT_ASSERT(!Tracker->isRecovering("s", at(Silent + 50)));
    CPPUNIT_ASSERT_EQUAL(4u, Tracker->availableSlots("s", at(Silent + 50)));
  }

  void choiceWhenTheLastServerRefusesConnectionsTriesItNowAndThen() {
    list({instance("c", "10.0.0.3:1")});
    Tracker->onFault("c", ServerFault::NotConnected, at(0));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(1)));
    CPPUNIT_ASSERT(Tracker->isRecovering("s", at(1)));
    int Sends = 0;
    for (int64_t T = 1; T < 3000; ++T)
      if (chosen(at(T)) == "c") {
        ++Sends;
        Tracker->onStarted("c", at(T));
        Tracker->onFault("c", ServerFault::NotConnected, at(T));
        Tracker->onEnded("c");
      }
    auto Most = static_cast<int>(Duration(std::chrono::seconds(3)) /
                                 ServerHealth::TrialInterval);
    CPPUNIT_ASSERT(Sends >= 1 && Sends <= Most);
    Tracker->onConnected("c");
    CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen(at(12'000)));
    CPPUNIT_ASSERT(!Tracker->isRecovering("s", at(12'000)));
  }

  void assertOneSendASecondAtC(int64_t FromMillis) {
    Tracker->onFault("a", ServerFault::NotConnected, at(FromMillis));
    Tracker->onFault("b", ServerFault::NotConnected, at(FromMillis));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen(at(FromMillis)));
    Tracker->onStarted("c", at(FromMillis));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(at(FromMillis + 1)));
    CPPUNIT_ASSERT(Tracker->isRateLimited({"s", {}}, at(FromMillis + 1)));
    CPPUNIT_ASSERT(Tracker->pauseEnd({"s", {}}, at(FromMillis + 1)) ==
                   at(FromMillis) + ColdServers::Window);
  }

  void choiceWhenAServerIsColdTakesItOnlyAtItsTurns() {
    Tracker->setWarmUps({{"s", {std::chrono::seconds(3), 1}}}, at(0));
    Tracker->setKnownNodes(1, {}, 1);
    restartC(2, 3000);
    CPPUNIT_ASSERT(Tracker->isCold({hash64("c"), 2}, at(0)));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Tracker->ownCold(at(0)).size());
    assertOneSendASecondAtC(0);
  }

  void choiceWhenAPeerSaysAServerIsColdTakesItOnlyAtItsTurns() {
    std::vector<ColdReport> Reports = {{{hash64("c"), 2}, 3000}};
    Tracker->onPeerCold(Reports, at(0));
    CPPUNIT_ASSERT(!Tracker->isRateLimited({"s", {}}, at(0)));
    Tracker->setWarmUps({{"s", {std::chrono::seconds(3), 1}}}, at(0));
    Tracker->setKnownNodes(1, {}, 1);
    Tracker->onPeerCold(Reports, at(10));
    assertOneSendASecondAtC(10);
  }

  void choiceWhenAServerStragglesExcludesItUntilNoticesEnd() {
    Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Straggles, at(0));
    CPPUNIT_ASSERT(Tracker->isStraggler("a", at(500)));
    for (int I = 0; I < 20; ++I) {
      CPPUNIT_ASSERT(chosen(at(500)) != "a");
      Tracker->onStarted("b", at(500));
      Tracker->onStarted("c", at(500));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(at(1500)));
  }

  void choiceWhenMostServersStraggleStillReturnsOne() {
    Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Straggles, at(0));
    Tracker->onEngineNotice("10.0.0.2:1", EngineCondition::Straggles, at(0));
    Tracker->onEngineNotice("10.0.0.3:1", EngineCondition::Straggles, at(0));
    CPPUNIT_ASSERT(!chosen(at(100)).empty());
  }

  void conditionsWhenReceivedFromPeersAreNotForwarded() {
    Tracker->onEngineNotice("10.0.0.1:1", EngineCondition::Straggles, at(0));
    std::vector<EngineConditionReport> Reports = {
        {hash64("b"), EngineCondition::Straggles},
        {hash64("c"), EngineCondition::Closed}};
    Tracker->onPeerConditions(Reports, at(0));
    CPPUNIT_ASSERT(Tracker->isStraggler("b", at(0)));
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT(chosen(at(100)) != "c");
    std::vector<EngineConditionReport> Forwarded = {
        {hash64("a"), EngineCondition::Straggles}};
    CPPUNIT_ASSERT(Tracker->ownConditions(at(0)) == Forwarded);
    CPPUNIT_ASSERT(Tracker->ownConditions(at(1000)).empty());
  }

  void choiceWhenOnePauseWasLongDoesNotChange() {
    list({instance("a", "10.0.0.1:1"), instance("b", "10.0.0.2:1")});
    Tracker->onStarted("a", at(0));
    Tracker->onStarted("b", at(0));
    Tracker->onStarted("b", at(0));
    for (int I = 0; I < 10; ++I)
      for (const char *Id : {"a", "b"})
        Tracker->onEvent(Id, std::chrono::milliseconds(80),
                         at(int64_t{I} * 80));
    // The group of "a" waited once for a slow rank.
    Tracker->onEvent("a", std::chrono::milliseconds(700), at(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(at(1500)));
    // Repeated long pauses change the choice.
    for (int I = 1; I <= 8; ++I)
      Tracker->onEvent("a", std::chrono::milliseconds(700),
                       at(1500 + int64_t{I} * 700));
    Tracker->onEvent("b", std::chrono::milliseconds(80), at(7100));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(at(7100)));
  }

  void reportWhenEventsCameLongAgoHasNoGap() {
    Tracker->onStarted("a", at(0));
    Tracker->onEvent("a", std::chrono::milliseconds(90), at(0));
    CPPUNIT_ASSERT_EQUAL(90u, Tracker->ownReport(at(100)).front().GapMillis);
    CPPUNIT_ASSERT_EQUAL(0u, Tracker->ownReport(at(3000)).front().GapMillis);
  }

  void choicesWhenManyNodesSeeOldLoadsStayWithinTheSlots() {
    // 26 nodes place 240 requests per second of 1.5 s each on 64 servers with
    // 10 slots and exchange load reports every 200 ms. At 56% utilisation
    // almost no request should be sent to a full server.
    constexpr size_t Nodes = 26;
    constexpr int64_t HeartbeatMillis = 200;
    constexpr int64_t WorkMillis = 1500;
    std::vector<BackendInstance> List;
    for (int I = 0; I < 64; ++I) {
      BackendInstance B = instance("i" + std::to_string(I),
                                   "10.0.0.1:" + std::to_string(I + 1));
      B.Slots = 10;
      List.push_back(B);
    }
    Directory.replaceAll(List, {0, ++Version}, std::nullopt);
    std::vector<std::unique_ptr<LoadTracker>> Trackers;
    for (size_t N = 0; N < Nodes; ++N) {
      Trackers.push_back(std::make_unique<LoadTracker>("here", N + 1));
      Trackers.back()->sync(Directory, at(0));
    }
    std::mt19937_64 Random(3);
    std::exponential_distribution<double> Gap(0.24);
    std::map<std::string, int> InFlight;
    std::multimap<int64_t, std::pair<size_t, std::string>> Ends;
    int64_t NextHeartbeat = 0;
    int Placed = 0;
    int SentToFull = 0;
    double Arrival = 0;
    while (Arrival < 20'000) {
      auto Millis = static_cast<int64_t>(Arrival);
      Arrival += Gap(Random);
      for (; NextHeartbeat <= Millis; NextHeartbeat += HeartbeatMillis)
        for (size_t From = 0; From < Nodes; ++From)
          for (size_t To = 0; To < Nodes; ++To)
            if (To != From)
              Trackers[To]->onPeerReport(
                  std::to_string(From),
                  Trackers[From]->ownReport(at(NextHeartbeat)),
                  at(NextHeartbeat));
      while (!Ends.empty() && Ends.begin()->first <= Millis) {
        auto [Node, Id] = Ends.begin()->second;
        Trackers[Node]->onEnded(Id);
        --InFlight[Id];
        Ends.erase(Ends.begin());
      }
      size_t Node = Random() % Nodes;
      std::string Id =
          Trackers[Node]->choose({"s", {}}, at(Millis))->Server->Id;
      Trackers[Node]->onStarted(Id, at(Millis));
      ++Placed;
      SentToFull += InFlight[Id]++ >= 10;
      Ends.emplace(Millis + WorkMillis, std::pair(Node, Id));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(SentToFull) + " of " +
                               std::to_string(Placed) +
                               " were sent to a full server",
                           SentToFull * 100 <= Placed);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadTrackerTest);

} // namespace ragwort::dispatch
