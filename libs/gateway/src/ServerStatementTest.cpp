//===- ServerStatementTest.cpp - Tests of ServerStatement.h ---------------===//
#include "ragwort/gateway/ServerStatement.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class ServerStatementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerStatementTest);
  CPPUNIT_TEST(responseWhenItStatesNothingHasNoStatement);
  CPPUNIT_TEST(responseWhenServerLeavesPausesAndLimitsStatesAllOfIt);
  CPPUNIT_TEST(responseWhenOfAnotherInstanceSaysNothingOfTheServer);
  CPPUNIT_TEST(rateLimitWhenMissingFromADeclineIsUnknown);
  CPPUNIT_TEST(pauseWhenNotWithStatus503IsIgnored);
  CPPUNIT_TEST(fieldsWhenMalformedAreReported);
  CPPUNIT_TEST(keepAliveWhenStatedIsRead);
  CPPUNIT_TEST_SUITE_END();

  static http::ResponseHead head(unsigned Status, HeaderFields Fields) {
    http::ResponseHead Result;
    Result.Status = Status;
    Result.Headers = std::move(Fields);
    return Result;
  }

  static ServerStatement read(unsigned Status, HeaderFields Fields) {
    return readStatement(head(Status, std::move(Fields)), ProtocolNames(),
                         "i1");
  }

public:
  void responseWhenItStatesNothingHasNoStatement() {
    ServerStatement S = read(200, {{"Ragwort-Answer-Stamp", "s"}});
    CPPUNIT_ASSERT(!S.IsLeaving && !S.IsReplaced && !S.Pause && !S.RateLimit);
    CPPUNIT_ASSERT(S.IsRateLimitKnown);
    CPPUNIT_ASSERT(S.Malformed.empty());
  }

  void responseWhenServerLeavesPausesAndLimitsStatesAllOfIt() {
    ServerStatement S = read(503, {{"Ragwort-Leaving", "1"},
                                   {"Retry-After", "1.5"},
                                   {"Ragwort-Rate-Limit", "2.5"}});
    CPPUNIT_ASSERT(S.IsLeaving);
    CPPUNIT_ASSERT(S.Pause == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(2.5, *S.RateLimit);
    CPPUNIT_ASSERT(S.IsRateLimitKnown);
  }

  void responseWhenOfAnotherInstanceSaysNothingOfTheServer() {
    ServerStatement S = read(421, {{"Ragwort-Instance", "i2"},
                                   {"Ragwort-Leaving", "1"},
                                   {"Ragwort-Rate-Limit", "2.5"}});
    CPPUNIT_ASSERT(S.IsReplaced);
    CPPUNIT_ASSERT(!S.IsLeaving && !S.RateLimit && !S.IsRateLimitKnown);
    CPPUNIT_ASSERT(!read(421, {{"Ragwort-Instance", "i1"}}).IsReplaced);
    CPPUNIT_ASSERT(!read(421, {}).IsReplaced);
  }

  void rateLimitWhenMissingFromADeclineIsUnknown() {
    CPPUNIT_ASSERT(!read(503, {}).IsRateLimitKnown);
    CPPUNIT_ASSERT(!read(500, {}).IsRateLimitKnown);
    CPPUNIT_ASSERT(!read(200, {}).IsRateLimitKnown); // Without a stamp.
  }

  void pauseWhenNotWithStatus503IsIgnored() {
    ServerStatement S = read(200, {{"Retry-After", "x"}});
    CPPUNIT_ASSERT(!S.Pause && S.Malformed.empty());
  }

  void fieldsWhenMalformedAreReported() {
    ServerStatement S = read(503, {{"Ragwort-Leaving", "yes"},
                                   {"Retry-After", "soon"},
                                   {"Ragwort-Rate-Limit", "-1"}});
    CPPUNIT_ASSERT(!S.IsLeaving && !S.Pause && !S.RateLimit);
    CPPUNIT_ASSERT(!S.IsRateLimitKnown);
    CPPUNIT_ASSERT_EQUAL(size_t(3), S.Malformed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("soon"), S.Malformed[1].Value);
  }

  void keepAliveWhenStatedIsRead() {
    CPPUNIT_ASSERT(keepAliveTime(head(200, {{"Keep-Alive", "timeout=7"}})) ==
                   std::chrono::seconds(7));
    CPPUNIT_ASSERT(keepAliveTime(head(200, {})).count() == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStatementTest);

} // namespace ragwort::gateway
