//===- ConfigKeeperTest.cpp - Tests of ConfigKeeper.h ---------------------===//
#include "ragwort/node/ConfigKeeper.h"
#include "ragwort/config/TextChange.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class ConfigKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigKeeperTest);
  CPPUNIT_TEST(settingsWhenValidAreInForce);
  CPPUNIT_TEST(settingsWhenUnreadableLeaveTheFormerInForce);
  CPPUNIT_TEST(settingsWhenChangedQuicklyEndAtTheLast);
  CPPUNIT_TEST(settingsWhenOlderAreIgnored);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io;
  int Changes = 0;

  static settings::NodeSettings node() {
    settings::NodeSettings Node;
    Node.Name = "entry-1";
    Node.Site = "north";
    Node.Keys = {{1, "0123456789abcdef"}};
    return Node;
  }

  NodeContext Context{node(), Io};
  ConfigKeeper Keeper{Context,
                      [this](const ConfigKeeper::Snapshot &) { ++Changes; }};

  static wire::ConfigReply whole(uint64_t Version, const char *Base) {
    wire::ConfigReply Reply;
    Reply.Version = Version;
    Reply.Documents = {{"base", Base}};
    return Reply;
  }

  /// Runs what was put off.
  void settle() {
    Io.restart();
    Io.run();
  }

  double share() const {
    return Keeper.fleet()->Organisations.at(0).SharePercent;
  }

public:
  void settingsWhenValidAreInForce() {
    CPPUNIT_ASSERT(!Keeper.fleet());
    Keeper.merge(whole(3, "organisations: [{name: a, share: 10%}]"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(1, Changes);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Keeper.version());
  }

  void settingsWhenUnreadableLeaveTheFormerInForce() {
    Keeper.merge(whole(3, "organisations: [{name: a, share: 10%}]"));
    Keeper.merge(whole(4, "organisations: [{name: a, share: 200%}]"));
    settle();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Keeper.version());
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Keeper.versionInForce());
    CPPUNIT_ASSERT_EQUAL(1, Changes);
  }

  void settingsWhenChangedQuicklyEndAtTheLast() {
    for (int Version = 1; Version <= 20; ++Version)
      Keeper.merge(
          whole(uint64_t(Version), ("organisations: [{name: a, share: " +
                                    std::to_string(Version) + "%}]")
                                       .c_str()));
    settle();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint64_t(20), Keeper.versionInForce());
  }

  void settingsWhenOlderAreIgnored() {
    Keeper.merge(whole(4, "organisations: [{name: a, share: 20%}]"));
    Keeper.merge(whole(3, "organisations: [{name: a, share: 10%}]"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, share(), 1e-9);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigKeeperTest);

} // namespace ragwort
