//===- ConfigUpdaterTest.cpp - Tests of ConfigUpdater.h -------------------===//
#include "ragwort/node/ConfigUpdater.h"
#include "ragwort/config/TextChange.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class ConfigUpdaterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigUpdaterTest);
  CPPUNIT_TEST(settingsWhenValidAreInForce);
  CPPUNIT_TEST(settingsWhenInvalidLeaveThePreviousOnesInForce);
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

  static wire::ConfigReply fullReply(uint64_t Version, const char *Base) {
    wire::ConfigReply Reply;
    Reply.Version = Version;
    Reply.Documents = {{"base", Base}};
    return Reply;
  }

  /// Runs a publish() that is delayed by the pause after parsing.
  void runDelayedPublish() {
    Io.restart();
    Io.run();
  }

  double share() const {
    return Updater.fleet()->Organisations.at(0).SharePercent;
  }

public:
  void settingsWhenValidAreInForce() {
    CPPUNIT_ASSERT(!Updater.fleet());
    Updater.merge(fullReply(3, "organisations: [{name: a, share: 10%}]"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(1, Changes);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Updater.version());
  }

  void settingsWhenInvalidLeaveThePreviousOnesInForce() {
    Updater.merge(fullReply(3, "organisations: [{name: a, share: 10%}]"));
    Updater.merge(fullReply(4, "organisations: [{name: a, share: 200%}]"));
    runDelayedPublish();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Updater.version());
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Updater.versionInForce());
    CPPUNIT_ASSERT_EQUAL(1, Changes);
  }

  void settingsWhenChangedQuicklyEndAtTheLast() {
    for (int Version = 1; Version <= 20; ++Version)
      Updater.merge(
          fullReply(uint64_t(Version), ("organisations: [{name: a, share: " +
                                        std::to_string(Version) + "%}]")
                                           .c_str()));
    runDelayedPublish();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, share(), 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint64_t(20), Updater.versionInForce());
  }

  void settingsWhenOlderAreIgnored() {
    Updater.merge(fullReply(4, "organisations: [{name: a, share: 20%}]"));
    Updater.merge(fullReply(3, "organisations: [{name: a, share: 10%}]"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, share(), 1e-9);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigUpdaterTest);

} // namespace ragwort
