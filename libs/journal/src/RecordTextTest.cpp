//===- RecordTextTest.cpp - Tests of RecordText.h -------------------------===//
#include "ragwort/journal/RecordText.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::journal {

class RecordTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordTextTest);
  CPPUNIT_TEST(batchWhenPrintedAndParsedIsUnchanged);
  CPPUNIT_TEST(batchWhenBodyIsNotUtf8IsMarkedAsNotKept);
  CPPUNIT_TEST(rowWhenMalformedIsAnError);
  CPPUNIT_TEST_SUITE_END();

  static Batch sample(std::string Body) {
    Batch B{4, "id", {}};
    B.Records.push_back(Intent{{"k"}, "f", {1, ~0ull}, {"agent-1", {7}, {}}});
    B.Records.push_back(Conclusion{
        {"k"}, {1, 2}, AttemptResult::Completed, {201, "t", Body, true}});
    return B;
  }

public:
  void batchWhenPrintedAndParsedIsUnchanged() {
    Batch B = parseBatch(printBatch(sample("serial 7 \u00e9"))).value();
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), B.Sequence);
    CPPUNIT_ASSERT_EQUAL(~uint64_t(0),
                         std::get<Intent>(B.Records[0]).Attempt.Number);
    CPPUNIT_ASSERT_EQUAL(std::string("serial 7 \u00e9"),
                         std::get<Conclusion>(B.Records[1]).Answer.Body);
  }

  void batchWhenBodyIsNotUtf8IsMarkedAsNotKept() {
    Batch B = parseBatch(printBatch(sample("\xff\xfe"))).value();
    CPPUNIT_ASSERT(!std::get<Conclusion>(B.Records[1]).Answer.IsKept);
    CPPUNIT_ASSERT_EQUAL(uint32_t(201),
                         std::get<Conclusion>(B.Records[1]).Answer.Status);
  }

  void rowWhenMalformedIsAnError() {
    for (const char *Text : {"", "{}", "[]", "{\"sequence\":-1}", "nonsense"}) {
      CPPUNIT_ASSERT(!parseBatch(Text).ok());
      CPPUNIT_ASSERT(!parseHead(Text).ok());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RecordTextTest);

} // namespace ragwort::journal
