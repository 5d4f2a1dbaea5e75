//===- RecordsTest.cpp - Tests of Records.h -------------------------------===//
#include "ragwort/journal/Records.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::journal {

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(keyIdWhenPartBoundariesDifferIsDifferent);
  CPPUNIT_TEST(logKeysWhenSortedAreInSequenceOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void keyIdWhenPartBoundariesDifferIsDifferent() {
    CPPUNIT_ASSERT(keyIdOf("ab", "c", "d") != keyIdOf("a", "bc", "d"));
    CPPUNIT_ASSERT(keyIdOf("a", "b", "c") == keyIdOf("a", "b", "c"));
  }
  void logKeysWhenSortedAreInSequenceOrder() {
    CPPUNIT_ASSERT(logKey(3, 9) < logKey(3, 10));
    CPPUNIT_ASSERT(logKey(3, 1).starts_with(logPrefix(3)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

} // namespace ragwort::journal
