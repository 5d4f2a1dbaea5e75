//===- OutcomeTest.cpp - Tests of Outcome.h -------------------------------===//
#include "ragwort/base/Outcome.h"
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace ragwort {

class OutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomeTest);
  CPPUNIT_TEST(outcomeWhenPrintedHasTheHeaderSpelling);
  CPPUNIT_TEST(refusalWhenCallerIsAtFaultIsNotRetryable);
  CPPUNIT_TEST_SUITE_END();

public:
  void outcomeWhenPrintedHasTheHeaderSpelling() {
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         std::string(toString(Outcome::NotRun)));
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         std::string(toString(Outcome::Completed)));
  }

  void refusalWhenCallerIsAtFaultIsNotRetryable() {
    CPPUNIT_ASSERT(!isRetryable(RefusalReason::BadRequest));
    CPPUNIT_ASSERT(!isRetryable(RefusalReason::KeyReused));
    CPPUNIT_ASSERT(isRetryable(RefusalReason::Leaving));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

} // namespace ragwort
