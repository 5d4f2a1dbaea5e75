//===- HeaderFieldTest.cpp - Tests of HeaderField.h -----------------------===//
#include "ragwort/base/HeaderField.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class HeaderFieldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeaderFieldTest);
  CPPUNIT_TEST(lookupWhenCaseDiffersFindsTheField);
  CPPUNIT_TEST_SUITE_END();

public:
  void lookupWhenCaseDiffersFindsTheField() {
    HeaderFields Fields = {{"Content-Type", "text/plain"}};
    CPPUNIT_ASSERT_EQUAL(std::string("text/plain"),
                         std::string(findHeader(Fields, "content-type")));
    CPPUNIT_ASSERT(findHeader(Fields, "content").empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HeaderFieldTest);

} // namespace ragwort
