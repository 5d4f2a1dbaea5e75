//===- YamlReaderTest.cpp - Tests of YamlReader.h -------------------------===//
#include "YamlReader.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::settings {

class YamlReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(YamlReaderTest);
  CPPUNIT_TEST(loadWhenDocumentHasAliasesRefuses);
  CPPUNIT_TEST(loadWhenNestedTooDeepRefuses);
  CPPUNIT_TEST(loadWhenTooLargeRefuses);
  CPPUNIT_TEST(loadWhenNotAMapRefuses);
  CPPUNIT_TEST(readerWhenKeyIsUnknownNamesFileLineAndKey);
  CPPUNIT_TEST_SUITE_END();

  Problems FoundProblems;

public:
  void loadWhenDocumentHasAliasesRefuses() {
    // Each level of aliases doubles the size of the expanded document.
    std::string NestedAliases = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n";
    CPPUNIT_ASSERT(!loadYamlMap("aliases.yaml", NestedAliases, FoundProblems));
    CPPUNIT_ASSERT_EQUAL(2, FoundProblems.at(0).Location.Line);
  }

  void loadWhenNestedTooDeepRefuses() {
    for (size_t Depth : {size_t(20), size_t(400), size_t(100000)}) {
      FoundProblems.clear();
      std::string Deep = "a: " + std::string(Depth, '[');
      CPPUNIT_ASSERT(!loadYamlMap("deep.yaml", Deep, FoundProblems));
      CPPUNIT_ASSERT_EQUAL(size_t(1), FoundProblems.size());
    }
  }

  void loadWhenTooLargeRefuses() {
    std::string Large = "a: " + std::string(MaxDocumentBytes, 'x');
    CPPUNIT_ASSERT(!loadYamlMap("large.yaml", Large, FoundProblems));
  }

  void loadWhenNotAMapRefuses() {
    for (const char *Text : {"", "- a", "just text", "a: 1\n---\nb: 2\n", "{",
                             "\t", "a: b: c", "\xff\xfe"})
      CPPUNIT_ASSERT_MESSAGE(Text, !loadYamlMap("x.yaml", Text, FoundProblems));
  }

  void readerWhenKeyIsUnknownNamesFileLineAndKey() {
    auto Map = loadYamlMap("base.yaml", "known: 1\nlimit:\n  typo: 2\n",
                           FoundProblems);
    MapReader Reader(*Map, "base.yaml", "", FoundProblems);
    Reader.number("known", 0, 9);
    Reader.map("limit", [](MapReader &) {});
    Reader.finish();
    CPPUNIT_ASSERT_EQUAL(size_t(1), FoundProblems.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("base.yaml:3: limit.typo: is not a known key"),
        toString(FoundProblems[0]));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(YamlReaderTest);

} // namespace ragwort::settings
