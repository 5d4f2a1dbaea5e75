//===- TextChangeTest.cpp - Tests of TextChange.h -------------------------===//
#include "ragwort/config/TextChange.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::config {

class TextChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextChangeTest);
  CPPUNIT_TEST(changeWhenAppliedToRandomTextGivesNewText);
  CPPUNIT_TEST(changeWhenOneShareIsEditedInsertsOneByte);
  CPPUNIT_TEST(changeWhenAppliedToAnotherTextIsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void changeWhenAppliedToRandomTextGivesNewText() {
    std::mt19937_64 Random(5);
    auto Text = [&] {
      std::string Result(Random() % 12, 'a');
      for (char &C : Result)
        C = static_cast<char>('a' + Random() % 2);
      return Result;
    };
    for (int Round = 0; Round < 5000; ++Round) {
      std::string Old = Text();
      std::string New = Text();
      CPPUNIT_ASSERT_EQUAL(New, applyChange(Old, makeChange(Old, New)).value());
    }
  }

  void changeWhenOneShareIsEditedInsertsOneByte() {
    std::string Old;
    for (int I = 0; I < 4500; ++I)
      Old += "  - {name: org-" + std::to_string(I) + ", share: 0.02%}\n";
    std::string New = Old;
    New.replace(New.find("0.02%", 50000), 5, "0.03%");
    CPPUNIT_ASSERT_EQUAL(size_t(1), makeChange(Old, New).Inserted.size());
  }

  void changeWhenAppliedToAnotherTextIsRejected() {
    wire::ConfigChange Change = makeChange("abc", "axc");
    CPPUNIT_ASSERT(!applyChange("abd", Change).ok());
    CPPUNIT_ASSERT(!applyChange("", Change).ok());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TextChangeTest);

} // namespace ragwort::config
