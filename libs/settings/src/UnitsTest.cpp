//===- UnitsTest.cpp - Tests of Units.h -----------------------------------===//
#include "ragwort/settings/Units.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::settings {

class UnitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnitsTest);
  CPPUNIT_TEST(durationWhenUnitIsGivenIsParsed);
  CPPUNIT_TEST(durationWhenUnitIsMissingOrWrongIsRefused);
  CPPUNIT_TEST(bytesAndPercentWhenWrittenWithUnitsAreParsed);
  CPPUNIT_TEST_SUITE_END();

public:
  void durationWhenUnitIsGivenIsParsed() {
    CPPUNIT_ASSERT(Duration(1500000) == *parseDuration("1.5s"));
    CPPUNIT_ASSERT(Duration(200) == *parseDuration("200us"));
    CPPUNIT_ASSERT(std::chrono::minutes(10) == *parseDuration("10min"));
  }

  void durationWhenUnitIsMissingOrWrongIsRefused() {
    for (const char *Text :
         {"", "5", "5 s", "-5s", "5KiB", "nans", "1e9s", "999999999999h"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseDuration(Text));
  }

  void bytesAndPercentWhenWrittenWithUnitsAreParsed() {
    CPPUNIT_ASSERT_EQUAL(uint64_t(65536), *parseBytes("64KiB"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.5, *parsePercent("12.5%"), 1e-9);
    CPPUNIT_ASSERT(!parsePercent("12.5"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UnitsTest);

} // namespace ragwort::settings
