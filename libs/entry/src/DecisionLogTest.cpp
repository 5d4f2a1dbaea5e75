//===- DecisionLogTest.cpp - Tests of DecisionLog.h -----------------------===//
#include "DecisionLog.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::entry {

class DecisionLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionLogTest);
  CPPUNIT_TEST(logWhenFullEvictsOldestRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void logWhenFullEvictsOldestRequest() {
    DecisionLog Log(2);
    for (const char *Id : {"1", "2", "3"}) {
      RequestHistory History;
      History.Id = Id;
      Log.add(History);
    }
    CPPUNIT_ASSERT(!Log.find("1"));
    CPPUNIT_ASSERT(Log.find("3"));
    CPPUNIT_ASSERT_EQUAL(size_t(2), Log.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

} // namespace ragwort::entry
