//===- RequestFingerprintTest.cpp - Tests of RequestFingerprint.h ---------===//
#include "ragwort/quarantine/RequestFingerprint.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace ragwort::quarantine {

class RequestFingerprintTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFingerprintTest);
  CPPUNIT_TEST(repeatWhenOnlyItsIdDiffersHasTheSameFingerprint);
  CPPUNIT_TEST(requestsWhenAnyFieldDiffersHaveOtherFingerprints);
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
    CPPUNIT_ASSERT_EQUAL(fingerprintOf(request("1"), "o"),
                         fingerprintOf(request("2"), "o"));
  }

  void requestsWhenAnyFieldDiffersHaveOtherFingerprints() {
    http::Request Base = request("1");
    std::set<uint64_t> Seen = {fingerprintOf(Base, "o"),
                               fingerprintOf(Base, "p")};
    http::Request Other = Base;
    Other.Method = "PUT";
    Seen.insert(fingerprintOf(Other, "o"));
    Other = Base;
    Other.Target = "/lookup/2f?x=2";
    Seen.insert(fingerprintOf(Other, "o"));
    Other = Base;
    Other.Headers[0].Value = "g";
    Seen.insert(fingerprintOf(Other, "o"));
    Other = Base;
    Other.Body = "bod";
    Seen.insert(fingerprintOf(Other, "o"));
    // The same bytes, divided differently between two fields.
    Seen.insert(fingerprintOf(Other, "yo"));
    CPPUNIT_ASSERT_EQUAL(size_t(7), Seen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFingerprintTest);

} // namespace ragwort::quarantine
