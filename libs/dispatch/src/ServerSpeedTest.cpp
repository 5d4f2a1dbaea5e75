//===- ServerSpeedTest.cpp - Tests of ServerSpeed.h -----------------------===//
#include "ragwort/dispatch/ServerSpeed.h"
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace ragwort::dispatch {

class ServerSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerSpeedTest);
  CPPUNIT_TEST(gapWhenASingleOneIsLongCountsAtMostTwice);
  CPPUNIT_TEST(gapWhenNoEventsFollowIsForgotten);
  CPPUNIT_TEST(peerGapsWhenOfSeveralPeersAreWeightedByTheirRequests);
  CPPUNIT_TEST(slownessWhenPausesAreKnownIgnoresTheLatency);
  CPPUNIT_TEST(usualTimesWhenAGroupIsSlowAreThoseOfTheOthers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double Tolerance = 1e-9;

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis));
  }

public:
  void gapWhenASingleOneIsLongCountsAtMostTwice() {
    ServerSpeed Speed;
    Speed.addGap(std::chrono::milliseconds(50), at(1000));
    Speed.addGap(std::chrono::milliseconds(900), at(1900));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60, Speed.gapMillis(at(1900)), Tolerance);
  }

  void gapWhenNoEventsFollowIsForgotten() {
    ServerSpeed Speed;
    Speed.addGap(std::chrono::milliseconds(50), at(1000));
    CPPUNIT_ASSERT(Speed.gapMillis(at(2500)) > 0);
    CPPUNIT_ASSERT_EQUAL(0.0, Speed.gapMillis(at(2501)));
  }

  void peerGapsWhenOfSeveralPeersAreWeightedByTheirRequests() {
    ServerSpeed Speed;
    Speed.addPeerGap(40, 3);
    Speed.addPeerGap(80, 1);
    Speed.addPeerGap(0, 5); // Unknown.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, Speed.gapMillis(at(0)), Tolerance);
    Speed.clearPeerGaps();
    CPPUNIT_ASSERT_EQUAL(0.0, Speed.gapMillis(at(0)));
  }

  void slownessWhenPausesAreKnownIgnoresTheLatency() {
    ServerSpeed Speed;
    Speed.addLatency(std::chrono::milliseconds(300));
    UsualTimes Usual{100, 50};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, Speed.slowness(Usual, at(0)), Tolerance);
    Speed.addPeerGap(75, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, Speed.slowness(Usual, at(0)), Tolerance);
    Speed.addPeerGap(10'000, 9);
    CPPUNIT_ASSERT_EQUAL(ServerSpeed::MaxSlowness,
                         Speed.slowness(Usual, at(0)));
  }

  void usualTimesWhenAGroupIsSlowAreThoseOfTheOthers() {
    std::vector<ServerSpeed> Speeds(8);
    std::vector<const ServerSpeed *> All;
    for (size_t I = 0; I < Speeds.size(); ++I) {
      Speeds[I].addLatency(std::chrono::milliseconds(I < 4 ? 500 : 100));
      Speeds[I].addPeerGap(I < 4 ? 200 : 40, 1);
      All.push_back(&Speeds[I]);
    }
    UsualTimes Usual = usualTimes(All, at(0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Usual.LatencyMillis, Tolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, Usual.GapMillis, Tolerance);
    CPPUNIT_ASSERT_EQUAL(0.0, usualTimes({}, at(0)).GapMillis);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSpeedTest);

} // namespace ragwort::dispatch
