//===- RetryTest.cpp - Tests of Retry.h -----------------------------------===//
#include "ragwort/routing/Retry.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::routing {

class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(budgetWhenAllAttemptsFailLimitsTheLoad);
  CPPUNIT_TEST(delayWhenRetryCountGrowsStaysBelowTheMaximum);
  CPPUNIT_TEST_SUITE_END();

public:
  void budgetWhenAllAttemptsFailLimitsTheLoad() {
    RetryBudget Budget(10);
    int Sent = 0;
    for (int I = 0; I < 1000; ++I) {
      Budget.onFirstAttempt();
      ++Sent;
      while (Budget.takeRetry())
        ++Sent;
    }
    // Retries may raise the load to at most 1.2 times the offered load.
    CPPUNIT_ASSERT_MESSAGE("sent " + std::to_string(Sent), Sent <= 1200);
  }

  void delayWhenRetryCountGrowsStaysBelowTheMaximum() {
    Random Rng(1);
    for (uint32_t Retry = 0; Retry < 40; ++Retry)
      CPPUNIT_ASSERT(retryDelay(Retry, Rng) <= std::chrono::seconds(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace ragwort::routing
