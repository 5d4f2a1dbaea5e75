//===- ConfigUpdaterTest.cpp - Tests of ConfigUpdater.h -------------------===//
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/config/TextChange.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class ConfigUpdaterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigUpdaterTest);
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
  ConfigUpdater Updater{Context,
                        [this](const ConfigUpdater::Snapshot &) { ++Changes; }};

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
    return Updater.fleet()->Organisations.at(0).SharePercent;
  }

public:
  void settingsWhenValidAreInForce() {
    CPPUNIT_ASSERT(!Updater.fleet());
    Updater.merge(whole(3, "organisations: [{name: a, share: 10%}]"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(1, Changes);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Updater.version());
  }

  void settingsWhenUnreadableLeaveTheFormerInForce() {
    Updater.merge(whole(3, "organisations: [{name: a, share: 10%}]"));
    Updater.merge(whole(4, "organisations: [{name: a, share: 200%}]"));
    settle();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Updater.version());
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Updater.versionInForce());
    CPPUNIT_ASSERT_EQUAL(1, Changes);
  }

  void settingsWhenChangedQuicklyEndAtTheLast() {
    for (int Version = 1; Version <= 20; ++Version)
      Updater.merge(
          whole(uint64_t(Version), ("organisations: [{name: a, share: " +
                                    std::to_string(Version) + "%}]")
                                       .c_str()));
    settle();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint64_t(20), Updater.versionInForce());
  }

  void settingsWhenOlderAreIgnored() {
    Updater.merge(whole(4, "organisations: [{name: a, share: 20%}]"));
    Updater.merge(whole(3, "organisations: [{name: a, share: 10%}]"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, share(), 1e-9);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigUpdaterTest);

} // namespace ragwort
