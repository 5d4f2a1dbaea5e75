//===- LineDiffTest.cpp - Tests of LineDiff.h -----------------------------===//
#include "ragwort/control/LineDiff.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::control {

class LineDiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineDiffTest);
  CPPUNIT_TEST(diffWhenTextsAreEqualIsEmpty);
  CPPUNIT_TEST(diffWhenLinesChangeShowsTheirNumbers);
  CPPUNIT_TEST(diffWhenTextsAreLargeListsEveryLine);
  CPPUNIT_TEST_SUITE_END();

public:
  void diffWhenTextsAreEqualIsEmpty() {
    CPPUNIT_ASSERT_EQUAL(std::string(), lineDiff("a\nb\n", "a\nb\n"));
    CPPUNIT_ASSERT_EQUAL(std::string(), lineDiff("", ""));
  }
  void diffWhenLinesChangeShowsTheirNumbers() {
    CPPUNIT_ASSERT_EQUAL(std::string("-2 b\n+2 x\n+4 d\n"),
                         lineDiff("a\nb\nc\n", "a\nx\nc\nd\n"));
  }
  void diffWhenTextsAreLargeListsEveryLine() {
    std::string Old, New;
    for (int I = 0; I < 5000; ++I) {
      Old += "old " + std::to_string(I) + "\n";
      New += "new " + std::to_string(I) + "\n";
    }
    std::string Diff = lineDiff(Old, New);
    CPPUNIT_ASSERT_EQUAL(ptrdiff_t(10000),
                         std::count(Diff.begin(), Diff.end(), '\n'));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LineDiffTest);

} // namespace ragwort::control
