//===- RequestFingerprintTest.cpp - Tests of RequestFingerprint.h ---------===//
#include "ragwort/quarantine/RequestFingerprint.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace ragwort::quarantine {

class RequestFingerprintTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFingerprintTest);
  CPPUNIT_TEST(repeatWhenOnlyItsIdDiffersHasTheSameFingerprint);
  CPPUNIT_TEST(requestsWhenAnyFieldDiffersHaveOtherFingerprints);
  CPPUNIT_TEST(requestsWhenTheyHaveNoBodyDifferByTheirPrompts);
  CPPUNIT_TEST_SUITE_END();

  static http::Request request(std::string_view Id) {
    http::Request Result;
    Result.Method = "POST";
    Result.Target = "/lookup/2f?x=1";
    Result.Headers = {{"Host", "h"}, {"Ragwort-Request-Id", std::string(Id)}};
    Result.Body = "body";
    return Result;
  }

public:
  void repeatWhenOnlyItsIdDiffersHasTheSameFingerprint() {
    CPPUNIT_ASSERT_EQUAL(fingerprintOf(request("1"), "o", "5afe:4,1:9"),
                         fingerprintOf(request("2"), "o", "5afe:4,1:9"));
  }

  void requestsWhenAnyFieldDiffersHaveOtherFingerprints() {
    http::Request Base = request("1");
    std::set<uint64_t> Seen = {fingerprintOf(Base, "o", "5afe:4,1:9"),
                               fingerprintOf(Base, "p", "5afe:4,1:9")};
    http::Request Other = Base;
    Other.Method = "PUT";
    Seen.insert(fingerprintOf(Other, "o", "5afe:4,1:9"));
    Other = Base;
    Other.Target = "/lookup/2f?x=2";
    Seen.insert(fingerprintOf(Other, "o", "5afe:4,1:9"));
    Other = Base;
    Other.Headers[0].Value = "g";
    Seen.insert(fingerprintOf(Other, "o", "5afe:4,1:9"));
    Other = Base;
    Other.Body = "bod";
    Seen.insert(fingerprintOf(Other, "o", "5afe:4,1:9"));
    // The same bytes, divided differently between two fields.
    Seen.insert(fingerprintOf(Other, "yo", "5afe:4,1:9"));
    CPPUNIT_ASSERT_EQUAL(size_t(7), Seen.size());
  }

  void requestsWhenTheyHaveNoBodyDifferByTheirPrompts() {
    http::Request Message = request("1");
    CPPUNIT_ASSERT_EQUAL(fingerprintOf(Message, "o", "5afe:4,1:9"),
                         fingerprintOf(Message, "o", "5afe:4,2:9"));
    Message.Body.clear();
    CPPUNIT_ASSERT(fingerprintOf(Message, "o", "5afe:4,1:9") !=
                   fingerprintOf(Message, "o", "5afe:4,2:9"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFingerprintTest);

} // namespace ragwort::quarantine
