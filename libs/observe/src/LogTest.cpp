//===- LogTest.cpp - Tests of Log.h ---------------------------------------===//
#include "ragwort/observe/Log.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(valueWhenPlainStaysAsItIs);
  CPPUNIT_TEST(valueWhenItHoldsALineBreakStaysOnOneLine);
  CPPUNIT_TEST_SUITE_END();

public:
  void valueWhenPlainStaysAsItIs() {
    CPPUNIT_ASSERT_EQUAL(std::string("agent-1"), escapeLogValue("agent-1"));
  }
  void valueWhenItHoldsALineBreakStaysOnOneLine() {
    CPPUNIT_ASSERT_EQUAL(std::string("\"a\\x0alevel=\\\"x\\\"\""),
                         escapeLogValue("a\nlevel=\"x\""));
    CPPUNIT_ASSERT_EQUAL(std::string("\"\""), escapeLogValue(""));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace ragwort
