//===- StragglerNotifierTest.cpp - Tests of StragglerNotifier.h -----------===//
#include "ragwort/gateway/StragglerNotifier.h"
#include "ragwort/gateway/PeerBeat.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class StragglerNotifierTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StragglerNotifierTest);
  CPPUNIT_TEST(watchWhenPaceSwingsKeepsItsWord);
  CPPUNIT_TEST(watchWhenEngineHasNoGroupIsSilent);
  CPPUNIT_TEST(notifierWhileEngineStragglesTellsEntryNodes);
  CPPUNIT_TEST_SUITE_END();

  static rankgroup::EngineReport report(double Pace, uint32_t GroupSize = 8) {
    rankgroup::EngineReport R;
    R.Group = "g";
    R.GroupSize = GroupSize;
    R.Pace = Pace;
    return R;
  }

public:
  void watchWhenPaceSwingsKeepsItsWord() {
    StragglerWatch Watch;
    CPPUNIT_ASSERT(!Watch.onReport(report(1.8)));
    CPPUNIT_ASSERT(Watch.onReport(report(4)));
    CPPUNIT_ASSERT(Watch.onReport(report(1.8)));
    CPPUNIT_ASSERT(!Watch.onReport(report(1.2)));
    CPPUNIT_ASSERT(!Watch.onReport(report(1.8)));
  }

  void watchWhenEngineHasNoGroupIsSilent() {
    StragglerWatch Watch;
    CPPUNIT_ASSERT(!Watch.onReport(report(9, 1)));
  }

  void notifierWhileEngineStragglesTellsEntryNodes() {
    asio::io_context Io;
    asio::ip::udp::socket Entry(
        Io, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Entry.non_blocking(true);
    StragglerNotifier Notifier(Io, "10.0.0.9:80",
                               Entry.local_endpoint().port());
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
    CPPUNIT_ASSERT_EQUAL(660u, Notice->PacePercent);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StragglerNotifierTest);

} // namespace ragwort::gateway
