//===- AuthenticatorTest.cpp - Tests of Authenticator.h -------------------===//
#include "ragwort/wire/Authenticator.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::wire {

class AuthenticatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AuthenticatorTest);
  CPPUNIT_TEST(verifyWhenKeyRotatedAcceptsBothKeys);
  CPPUNIT_TEST(verifyWhenContextDiffersRefuses);
  CPPUNIT_TEST_SUITE_END();

public:
  void verifyWhenKeyRotatedAcceptsBothKeys() {
    Authenticator Old({{1, "first"}});
    Authenticator Both({{2, "second"}, {1, "first"}});
    Tag FromOld = Old.sign("s", "payload");
    CPPUNIT_ASSERT(Both.verify(1, "s", "payload", FromOld));
    CPPUNIT_ASSERT_EQUAL(2, int(Both.signingKey()));
    CPPUNIT_ASSERT(!Old.verify(2, "s", "payload", Both.sign("s", "payload")));
  }

  void verifyWhenContextDiffersRefuses() {
    Authenticator Auth({{1, "first"}});
    Tag T = Auth.sign("session-a", "payload");
    CPPUNIT_ASSERT(Auth.verify(1, "session-a", "payload", T));
    CPPUNIT_ASSERT(!Auth.verify(1, "session-b", "payload", T));
    CPPUNIT_ASSERT(!Auth.verify(1, "session-a", "payloae", T));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AuthenticatorTest);

} // namespace ragwort::wire
