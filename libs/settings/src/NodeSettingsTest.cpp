//===- NodeSettingsTest.cpp - Tests of NodeSettings.h ---------------------===//
#include "ragwort/settings/NodeSettings.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::settings {

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(nodeWhenCompleteIsAccepted);
  CPPUNIT_TEST(nodeWhenListenAddressIsAbsentUsesLoopback);
  CPPUNIT_TEST(agentWhenItHasNoBackendIsRefused);
  CPPUNIT_TEST(keysWhenTooShortOrTooManyAreRefused);
  CPPUNIT_TEST_SUITE_END();

  const std::string Common = R"(name: node-1
site: north
data_centre: dc-a
admin_token: 0123456789abcdef
peers: 127.0.0.1:7001
platform: 127.0.0.1:7000
)";
  const std::string OneKey = "keys: [{id: 1, secret: 0123456789abcdef}]\n";

  static std::string problems(const std::string &Text) {
    return std::string(loadNodeSettings("n.yaml", Text).status().message());
  }

public:
  void nodeWhenCompleteIsAccepted() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         problems(Common + OneKey + "role: entry\n"));
  }

  void nodeWhenListenAddressIsAbsentUsesLoopback() {
    auto Node = loadNodeSettings("n.yaml", Common + OneKey + "role: entry\n");
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), Node->CallerAddress.Ip);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), Node->Admin.Ip);
  }

  void agentWhenItHasNoBackendIsRefused() {
    std::string Text = problems(Common + OneKey + "role: agent\n");
    CPPUNIT_ASSERT_MESSAGE(Text, Text.find("backend: is missing") !=
                                     std::string::npos);
  }

  void keysWhenTooShortOrTooManyAreRefused() {
    std::string ShortSecret =
        Common + "role: entry\nkeys: [{id: 1, secret: short}]\n";
    CPPUNIT_ASSERT(problems(ShortSecret).find("shorter than 16") !=
                   std::string::npos);
    std::string TooManyKeys = Common + "role: entry\nkeys:\n";
    for (int I = 1; I <= 3; ++I)
      TooManyKeys +=
          "  - {id: " + std::to_string(I) + ", secret: 0123456789abcdef}\n";
    CPPUNIT_ASSERT(problems(TooManyKeys).find("one or two keys") !=
                   std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

} // namespace ragwort::settings
