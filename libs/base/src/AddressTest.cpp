//===- AddressTest.cpp - Tests of Address.h -------------------------------===//
#include "ragwort/base/Address.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class AddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressTest);
  CPPUNIT_TEST(addressWhenNotAnIpNumberIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void addressWhenNotAnIpNumberIsRefused() {
    CPPUNIT_ASSERT_EQUAL(uint16_t(80), parseAddress("127.0.0.1:80")->Port);
    CPPUNIT_ASSERT_EQUAL(std::string("::1"), parseAddress("[::1]:80")->Ip);
    for (const char *Text :
         {"host.example:80", "127.0.0.1", "127.0.0.1:99999", ":80", "::1:80",
          "127.0.0.1:8x", "999.0.0.1:80", "10.0.1:80", "[::1::]:80", "[]:80"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseAddress(Text));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AddressTest);

} // namespace ragwort
