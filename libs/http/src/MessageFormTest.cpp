//===- MessageFormTest.cpp - Tests of MessageForm.h -----------------------===//
#include "ragwort/http/MessageForm.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::http {

class MessageFormTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageFormTest);
  CPPUNIT_TEST(framingWhenUnambiguousHasNoFault);
  CPPUNIT_TEST(framingWhenItLeavesTheEndOpenHasAFault);
  CPPUNIT_TEST(responseWhenItsStatusAllowsNoBodyStatesNone);
  CPPUNIT_TEST(fieldWhenFoldedIsFound);
  CPPUNIT_TEST_SUITE_END();

public:
  void framingWhenUnambiguousHasNoFault() {
    const HeaderFields Sound[] = {{},
                                  {{"Content-Length", "0"}},
                                  {{"content-length", "12"}},
                                  {{"Transfer-Encoding", "chunked"}},
                                  {{"transfer-encoding", "CHUNKED"}}};
    for (const HeaderFields &Fields : Sound)
      CPPUNIT_ASSERT_EQUAL(std::string_view(), framingFault(Fields));
  }

  // Guards against requests that hide in the body of another one.
  void framingWhenItLeavesTheEndOpenHasAFault() {
    for (const char *Coding :
         {"", "identity", "gzip", "xchunked", "chunke", "chunked, identity",
          "gzip, chunked", "chunked, chunked", "\tchunked", "chunked;q=1"})
      CPPUNIT_ASSERT_MESSAGE(
          Coding,
          !framingFault(HeaderFields{{"Transfer-Encoding", Coding}}).empty());
    for (const char *Length : {"", "-1", "+1", "1 1", "1,1", "0x1", "1.0"})
      CPPUNIT_ASSERT_MESSAGE(
          Length,
          !framingFault(HeaderFields{{"Content-Length", Length}}).empty());
    CPPUNIT_ASSERT(!framingFault(HeaderFields{{"Content-Length", "1"},
                                              {"Content-Length", "1"}})
                        .empty());
    CPPUNIT_ASSERT(!framingFault(HeaderFields{{"Transfer-Encoding", "chunked"},
                                              {"Content-Length", "1"}})
                        .empty());
  }

  void responseWhenItsStatusAllowsNoBodyStatesNone() {
    for (unsigned Status : {100U, 103U, 204U}) {
      CPPUNIT_ASSERT(responseFault(Status, {}).empty());
      CPPUNIT_ASSERT(
          responseFault(Status, HeaderFields{{"Content-Length", "0"}}).empty());
      CPPUNIT_ASSERT(
          !responseFault(Status, HeaderFields{{"Content-Length", "1"}})
               .empty());
      CPPUNIT_ASSERT(
          !responseFault(Status, HeaderFields{{"Transfer-Encoding", "chunked"}})
               .empty());
    }
    CPPUNIT_ASSERT(
        responseFault(304, HeaderFields{{"Content-Length", "9"}}).empty());
    CPPUNIT_ASSERT(!responseFault(0, {}).empty());
  }

  void fieldWhenFoldedIsFound() {
    CPPUNIT_ASSERT(!hasFoldedField("GET / HTTP/1.1\r\nA: b\r\nC: d"));
    CPPUNIT_ASSERT(hasFoldedField("GET / HTTP/1.1\r\nA: b\r\n c\r\nC: d"));
    CPPUNIT_ASSERT(hasFoldedField("GET / HTTP/1.1\r\n\tA: b"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MessageFormTest);

} // namespace ragwort::http
