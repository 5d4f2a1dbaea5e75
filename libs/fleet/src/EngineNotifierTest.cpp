//===- EngineNotifierTest.cpp - Tests of EngineNotifier.h -----------------===//
#include "ragwort/fleet/EngineNotifier.h"
#include "ragwort/fleet/PeerHeartbeat.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::fleet {

class EngineNotifierTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineNotifierTest);
  CPPUNIT_TEST(trackerWhenSlowdownFluctuatesKeepsItsCondition);
  CPPUNIT_TEST(trackerWhenEngineHasNoGroupReportsNothing);
  CPPUNIT_TEST(trackerWhenTheGroupOpensRepeatsTheNotice);
  CPPUNIT_TEST(notifierWhileEngineStragglesNotifiesEntryNodes);
  CPPUNIT_TEST_SUITE_END();

  static rankgroup::EngineReport report(double Slowdown,
                                        uint32_t GroupSize = 8) {
    rankgroup::EngineReport R;
    R.Group = "g";
    R.GroupSize = GroupSize;
    R.Slowdown = Slowdown;
    R.IsOpen = true;
    return R;
  }

  static rankgroup::EngineReport closed() {
    rankgroup::EngineReport R = report(1);
    R.IsOpen = false;
    return R;
  }

public:
  void trackerWhenSlowdownFluctuatesKeepsItsCondition() {
    EngineConditionTracker Tracker;
    CPPUNIT_ASSERT(!Tracker.onReport(report(1.8)));
    CPPUNIT_ASSERT(Tracker.onReport(report(4)) ==
                   dispatch::EngineCondition::Straggles);
    CPPUNIT_ASSERT(Tracker.onReport(report(1.8)) ==
                   dispatch::EngineCondition::Straggles);
    CPPUNIT_ASSERT(!Tracker.onReport(report(1.2)));
    CPPUNIT_ASSERT(!Tracker.onReport(report(1.8)));
  }

  void trackerWhenEngineHasNoGroupReportsNothing() {
    EngineConditionTracker Tracker;
    CPPUNIT_ASSERT(!Tracker.onReport(report(9, 1)));
    rankgroup::EngineReport Alone = closed();
    Alone.GroupSize = 1;
    CPPUNIT_ASSERT(!Tracker.onReport(Alone));
  }

  void trackerWhenTheGroupOpensRepeatsTheNotice() {
    EngineConditionTracker Tracker;
    CPPUNIT_ASSERT(!Tracker.onReport(report(1)));
    for (int I = 0; I < 5; ++I)
      CPPUNIT_ASSERT(Tracker.onReport(closed()) ==
                     dispatch::EngineCondition::Closed);
    for (uint32_t I = 0; I < EngineConditionTracker::OpenedRepeats; ++I)
      CPPUNIT_ASSERT(Tracker.onReport(report(1)) ==
                     dispatch::EngineCondition::Opened);
    CPPUNIT_ASSERT(!Tracker.onReport(report(1)));
  }

  void notifierWhileEngineStragglesNotifiesEntryNodes() {
    asio::io_context Io;
    asio::ip::udp::socket Entry(
        Io, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Entry.non_blocking(true);
    EngineNotifier Notifier(Io, "10.0.0.9:80", Entry.local_endpoint().port());
    Notifier.setEntryNodes({"127.0.0.1"});
    std::array<char, 256> Buffer{};
    error_code Error;
    Notifier.onReport(report(1));
    Entry.receive(asio::buffer(Buffer), 0, Error);
    CPPUNIT_ASSERT(Error == asio::error::would_block);
    Notifier.onReport(report(6.6));
    size_t Size = Entry.receive(asio::buffer(Buffer), 0, Error);
    auto Notice = decodeNotice(std::string_view(Buffer.data(), Size));
    CPPUNIT_ASSERT(Notice.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:80"), Notice->EngineAddress);
    CPPUNIT_ASSERT(Notice->Condition == dispatch::EngineCondition::Straggles);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineNotifierTest);

} // namespace ragwort::fleet
