//===- PathHealthTest.cpp - Tests of PathHealth.h in virtual time ---------===//
#include "ragwort/dispatch/PathHealth.h"
#include "ragwort/dispatch/LoadTracker.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class PathHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathHealthTest);
  CPPUNIT_TEST(pathWhenTwoServersAreSilentIsLostUntilOneIsReached);
  CPPUNIT_TEST(pathWhenServersAnswerInBetweenIsNotLost);
  CPPUNIT_TEST(pathWhenServersAreOnlySlowIsNotLost);
  CPPUNIT_TEST(reachWhenBegunBeforeTheSilenceEndsNoDoubt);
  CPPUNIT_TEST(probesWhenAPathIsNotGoodAreDueOneAtATime);
  CPPUNIT_TEST(serversWhenTheirPathIsLostAreLeftOutAndNotEjected);
  CPPUNIT_TEST(serversWhenAllPathsAreLostAreUsed);
  CPPUNIT_TEST(serviceWhenOnlyBehindALostPathIsStillTried);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration Timeout = std::chrono::milliseconds(400);
  VirtualClock Clock;

  static void expect(PathState Expected, PathState Actual) {
    CPPUNIT_ASSERT_EQUAL(std::string(toString(Expected)),
                         std::string(toString(Actual)));
  }
  TimePoint before(Duration Time) const { return Clock.now() - Time; }

  void silence(PathHealth &Paths, const char *Server,
               Silence Kind = Silence::Connect) {
    Clock.advance(Timeout);
    Paths.onSilence("b", Server, Kind, before(Timeout), Clock.now());
  }

  /// Three data centres with three servers each, and a service of its own in
  /// the second.
  static LoadTracker tracker() {
    BackendDirectory Directory;
    std::vector<BackendInstance> List;
    for (const char *DataCentre : {"a", "b", "c"})
      for (const char *Number : {"1", "2", "3"}) {
        BackendInstance B;
        B.Id = std::string(DataCentre) + Number;
        B.Service = "s";
        B.DataCentre = DataCentre;
        B.Slots = 10;
        List.push_back(B);
      }
    List.push_back(List[3]);
    List.back().Id = "only";
    List.back().Service = "t";
    Directory.replaceAll(List, {0, 1}, std::nullopt);
    LoadTracker Tracker("a", 1);
    Tracker.sync(Directory, TimePoint());
    return Tracker;
  }
  static BackendInstance instance(const std::string &Id) {
    BackendInstance B;
    B.Id = Id;
    B.DataCentre = Id.substr(0, 1);
    return B;
  }
  void silence(LoadTracker &Tracker, const std::string &Id) {
    Clock.advance(Timeout);
    Tracker.onSilence(instance(Id), Silence::Connect, before(Timeout),
                      Clock.now());
  }
  /// How many of 300 requests are sent to \p DataCentre.
  size_t sentTo(LoadTracker &Tracker, char DataCentre) {
    size_t Count = 0;
    for (int I = 0; I < 300; ++I) {
      auto C = Tracker.choose({"s", {}}, Clock.now());
      Count += C && C->Server->Id[0] == DataCentre;
    }
    return Count;
  }

public:
  void setUp() override { Clock.advance(std::chrono::hours(1)); }

  void pathWhenTwoServersAreSilentIsLostUntilOneIsReached() {
    PathHealth Paths;
    silence(Paths, "b1");
    silence(Paths, "b1");
    expect(PathState::Doubtful, Paths.state("b"));
    silence(Paths, "b2");
    expect(PathState::Lost, Paths.state("b"));
    expect(PathState::Good, Paths.state("c"));
    Clock.advance(std::chrono::seconds(60));
    expect(PathState::Lost, Paths.state("b"));
    TimePoint Begun = Clock.now();
    Clock.advance(Timeout);
    auto Explained = Paths.onReached("b", Begun, Clock.now());
    expect(PathState::Good, Paths.state("b"));
    CPPUNIT_ASSERT(Explained == (std::vector<std::string>{"b1", "b2"}));
    CPPUNIT_ASSERT(Paths.areAllGood());
  }

  // Links that lose packets, or several servers without power.
  void pathWhenServersAnswerInBetweenIsNotLost() {
    PathHealth Paths;
    for (int I = 0; I < 20; ++I) {
      silence(Paths, ("b" + std::to_string(I)).c_str());
      CPPUNIT_ASSERT(Paths.onReached("b", Clock.now(), Clock.now()).empty());
      expect(PathState::Good, Paths.state("b"));
    }
  }

  void pathWhenServersAreOnlySlowIsNotLost() {
    PathHealth Paths;
    silence(Paths, "b1", Silence::Send);
    silence(Paths, "b2", Silence::Send);
    silence(Paths, "b3", Silence::Send);
    expect(PathState::Doubtful, Paths.state("b"));
    silence(Paths, "b1", Silence::Connect);
    expect(PathState::Lost, Paths.state("b"));
  }

  void reachWhenBegunBeforeTheSilenceEndsNoDoubt() {
    PathHealth Paths;
    TimePoint Earlier = Clock.now();
    Clock.advance(Timeout);
    silence(Paths, "b1");
    Paths.onReached("b", Earlier, Clock.now());
    expect(PathState::Doubtful, Paths.state("b"));
    // A silence that was begun before the last success says nothing.
    Paths.onReached("b", Clock.now(), Clock.now());
    Paths.onSilence("b", "b2", Silence::Connect, Earlier, Clock.now());
    expect(PathState::Good, Paths.state("b"));
  }

  void probesWhenAPathIsNotGoodAreDueOneAtATime() {
    PathHealth Paths;
    CPPUNIT_ASSERT(Paths.takeProbes(Clock.now()).empty());
    silence(Paths, "b1");
    size_t Probes = 0;
    for (int I = 0; I < 100; ++I) {
      Probes += Paths.takeProbes(Clock.now()).size();
      Clock.advance(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(size_t(20), Probes);
    Paths.onReached("b", Clock.now(), Clock.now());
    CPPUNIT_ASSERT(Paths.takeProbes(Clock.now()).empty());
  }

  void serversWhenTheirPathIsLostAreLeftOutAndNotEjected() {
    LoadTracker Tracker = tracker();
    CPPUNIT_ASSERT(sentTo(Tracker, 'b') > 30);
    silence(Tracker, "b1");
    silence(Tracker, "b2");
    CPPUNIT_ASSERT_EQUAL(size_t(0), sentTo(Tracker, 'b'));
    // Not even when the servers of the other data centres are full.
    for (const char *Id : {"a1", "a2", "a3", "c1", "c2", "c3"})
      for (int I = 0; I < 10; ++I)
        Tracker.onStarted(Id, Clock.now());
    CPPUNIT_ASSERT_EQUAL(size_t(0), sentTo(Tracker, 'b'));
    // Only the first silence, before the path was known to be lost, ejected its
    // server.
    silence(Tracker, "b3");
    Tracker.onSilence(instance("b1"), Silence::Connect, Clock.now(),
                      Clock.now());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Tracker.counts(Clock.now()).Ejected);
    Tracker.onReached(instance("b3"), Clock.now(), Clock.now());
    CPPUNIT_ASSERT_EQUAL(size_t(0), Tracker.counts(Clock.now()).Ejected);
    CPPUNIT_ASSERT(sentTo(Tracker, 'b') > 30);
  }

  void serversWhenAllPathsAreLostAreUsed() {
    LoadTracker Tracker = tracker();
    for (const char *Id : {"a1", "a2", "b1", "b2", "c1", "c2"})
      silence(Tracker, Id);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Tracker.paths().count(PathState::Lost));
    CPPUNIT_ASSERT(Tracker.choose({"s", {}}, Clock.now()));
  }

  void serviceWhenOnlyBehindALostPathIsStillTried() {
    LoadTracker Tracker = tracker();
    silence(Tracker, "b1");
    silence(Tracker, "b2");
    CPPUNIT_ASSERT(Tracker.choose({"t", {}}, Clock.now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathHealthTest);

} // namespace ragwort::dispatch
