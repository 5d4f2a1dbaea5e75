//===- RequestHeadTest.cpp - Tests of RequestHead.h -----------------------===//
#include "ragwort/gateway/RequestHead.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class RequestHeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestHeadTest);
  CPPUNIT_TEST(headWhenForwardedKeepsTheCallersFields);
  CPPUNIT_TEST(headWhenTheCallerSetsSystemFieldsReplacesThem);
  CPPUNIT_TEST(headWhenFieldsConcernTheConnectionOmitsThem);
  CPPUNIT_TEST(headWhenNoTimeIsLeftNamesOneMillisecond);
  CPPUNIT_TEST(headWhenAStreamGoesOnNamesItsLastEvent);
  CPPUNIT_TEST(tokensWhenStatedAreRead);
  CPPUNIT_TEST(tokensWhenMalformedAreUnknown);
  CPPUNIT_TEST_SUITE_END();

  static http::Request request(HeaderFields Headers) {
    http::Request R;
    R.Method = "POST";
    R.Target = "/a?b=1";
    R.Headers = std::move(Headers);
    return R;
  }

  static SystemFields fields() {
    SystemFields F;
    F.TimeLeft = std::chrono::milliseconds(1500);
    F.Instance = "i1";
    return F;
  }

  static std::string head(HeaderFields Headers, const SystemFields &Fields) {
    return makeRequestHead(request(std::move(Headers)), ProtocolNames(),
                           Fields);
  }

  static bool has(const std::string &Head, const std::string &Line) {
    return Head.find("\r\n" + Line + "\r\n") != std::string::npos;
  }

public:
  void headWhenForwardedKeepsTheCallersFields() {
    std::string Head = head({{"Host", "h"}, {"X-Own", "1"}}, fields());
    CPPUNIT_ASSERT(Head.starts_with("POST /a?b=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(Head.ends_with("\r\n\r\n"));
    CPPUNIT_ASSERT(has(Head, "Host: h"));
    CPPUNIT_ASSERT(has(Head, "X-Own: 1"));
    CPPUNIT_ASSERT(has(Head, "Ragwort-Time-Left-Ms: 1500"));
    CPPUNIT_ASSERT(has(Head, "Ragwort-Expected-Instance: i1"));
    CPPUNIT_ASSERT(Head.find("Content-Length") == std::string::npos);
  }

  void headWhenTheCallerSetsSystemFieldsReplacesThem() {
    SystemFields F = fields();
    F.Organisation = "org";
    F.Priority = 40;
    std::string Head = head({{"authorization", "Bearer key"},
                             {"ragwort-organisation", "other"},
                             {"Ragwort-Urgency", "0"},
                             {"Ragwort-Expected-Weights", "3"},
                             {"Ragwort-Expected-Instance", "zz"}},
                            F);
    CPPUNIT_ASSERT(has(Head, "Ragwort-Organisation: org"));
    CPPUNIT_ASSERT(has(Head, "Ragwort-Urgency: 9"));
    for (const char *Forged : {"key", "other", "zz", "Weights", "Urgency: 0"})
      CPPUNIT_ASSERT_MESSAGE(Forged, Head.find(Forged) == std::string::npos);
  }

  void headWhenFieldsConcernTheConnectionOmitsThem() {
    std::string Head = head({{"Connection", "keep-alive, X-Hop , Host"},
                             {"X-Hop", "1"},
                             {"Transfer-Encoding", "chunked"},
                             {"Host", "h"}},
                            fields());
    CPPUNIT_ASSERT(Head.find("X-Hop") == std::string::npos);
    CPPUNIT_ASSERT(Head.find("chunked") == std::string::npos);
    CPPUNIT_ASSERT(has(Head, "Content-Length: 0"));
    CPPUNIT_ASSERT(has(Head, "Host: h"));
  }

  void headWhenNoTimeIsLeftNamesOneMillisecond() {
    SystemFields F = fields();
    F.TimeLeft = Duration(-5);
    CPPUNIT_ASSERT(has(head({}, F), "Ragwort-Time-Left-Ms: 1"));
  }

  void headWhenAStreamGoesOnNamesItsLastEvent() {
    SystemFields F = fields();
    CPPUNIT_ASSERT(has(head({{"Last-Event-Id", "4"}}, F), "Last-Event-Id: 4"));
    F.LastEventId = 7;
    std::string Head = head({{"Last-Event-Id", "4"}}, F);
    CPPUNIT_ASSERT(has(Head, "Last-Event-Id: 7"));
    CPPUNIT_ASSERT(!has(Head, "Last-Event-Id: 4"));
  }

  static RequestTokens tokens(const char *Counts, const char *Hint) {
    return readTokens(request({{"Ragwort-Token-Counts", Counts},
                               {"Ragwort-Length-Hint", Hint}}),
                      ProtocolNames());
  }

  void tokensWhenStatedAreRead() {
    CPPUNIT_ASSERT_EQUAL(1460u, tokens("1460,80", "").Prompt);
    CPPUNIT_ASSERT_EQUAL(80u, tokens("1460,80", "").Answer);
    CPPUNIT_ASSERT_EQUAL(50u, tokens("1460,80", "50").Answer);
    CPPUNIT_ASSERT_EQUAL(80u, tokens("1460,80", "500").Answer);
  }

  void tokensWhenMalformedAreUnknown() {
    for (const char *Text : {"", ",", "x,y", "-3,-4", "1 ,2 ", "9e9,1e9"}) {
      CPPUNIT_ASSERT_EQUAL(0u, tokens(Text, Text).Prompt);
      CPPUNIT_ASSERT_EQUAL(0u, tokens(Text, Text).Answer);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHeadTest);

} // namespace ragwort::gateway
