//===- CrashDetectorTest.cpp - Tests of CrashDetector.h -------------------===//
#include "ragwort/gateway/CrashDetector.h"
#include "LoopbackPeers.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class CrashDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashDetectorTest);
  CPPUNIT_TEST(serverWhenItStillListensHasNotCrashed);
  CPPUNIT_TEST(serverWhenNobodyListensHasCrashed);
  CPPUNIT_TEST(connectionsWhenSeveralBreakAreCheckedOnce);
  CPPUNIT_TEST(serverWhenStartedAnewIsCheckedAgain);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io{1};
  std::vector<std::pair<dispatch::ServerRun, quarantine::Fingerprint>> Crashes;
  std::unique_ptr<CrashDetector> Detector;
  std::unique_ptr<ScriptedServer> Server;
  dispatch::BackendInstance Instance;
  const quarantine::RequestTraits Traits{7, {}};

public:
  void setUp() override {
    Crashes.clear();
    Detector = std::make_unique<CrashDetector>(
        Io, [this](const dispatch::ServerRun &Run,
                   const quarantine::RequestTraits &Lost) {
          Crashes.emplace_back(Run, Lost.fingerprint());
        });
    Server = std::make_unique<ScriptedServer>(Io);
    Instance.Id = "i0";
    Instance.Address = Server->address();
    Instance.BornMillis = 5;
  }

private:
  void onBroken() { Detector->onBroken(Instance, Traits, SteadyClock().now()); }
  /// Runs the loop until the server has seen the check's connection end, which
  /// the detector closes after its result.
  void runUntilChecked(int Connections) {
    runLoopUntil(Io, [&] {
      return Server->Connections == Connections &&
             Server->ClosedByGateway == Connections;
    });
  }
  void runUntilCrashes(size_t Count) {
    runLoopUntil(Io, [&] { return Crashes.size() == Count; });
  }

public:
  void serverWhenItStillListensHasNotCrashed() {
    onBroken();
    runUntilChecked(1);
    CPPUNIT_ASSERT(Crashes.empty());
  }

  void serverWhenNobodyListensHasCrashed() {
    Server->crash();
    onBroken();
    runUntilCrashes(1);
    CPPUNIT_ASSERT_EQUAL(uint64_t(5), Crashes[0].first.BornMillis);
    CPPUNIT_ASSERT_EQUAL(Traits.fingerprint(), Crashes[0].second);
  }

  void connectionsWhenSeveralBreakAreCheckedOnce() {
    TimePoint Now = SteadyClock().now();
    Detector->onBroken(Instance, Traits, Now);
    Detector->onBroken(Instance, Traits, Now);
    runUntilChecked(1);
    Detector->onBroken(Instance, Traits, Now);
    CPPUNIT_ASSERT_EQUAL(1, Server->Connections);
    Server->crash();
    Instance.Id = "i1";
    Detector->onBroken(Instance, Traits, Now);
    Detector->onBroken(Instance, Traits, Now);
    runUntilCrashes(2);
    Detector->onBroken(Instance, Traits, Now);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Crashes.size());
  }

  void serverWhenStartedAnewIsCheckedAgain() {
    onBroken();
    runUntilChecked(1);
    Server->crash();
    Instance.BornMillis = 6;
    onBroken();
    runUntilCrashes(1);
    CPPUNIT_ASSERT_EQUAL(uint64_t(6), Crashes[0].first.BornMillis);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);

} // namespace ragwort::gateway
