//===- RetryBudgetTest.cpp - Tests of RetryBudget.h -----------------------===//
#include "ragwort/dispatch/RetryBudget.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::dispatch {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(budgetsWhenAllRequestsFailStayWithinTheFleetsBound);
  CPPUNIT_TEST(budgetWhenTheWindowHasPassedHasRoomAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void budgetsWhenAllRequestsFailStayWithinTheFleetsBound() {
    // Ten nodes with uneven traffic make every retry that is allowed. In each
    // window the retries of all nodes together must not exceed the ratio of its
    // requests plus the allowance.
    constexpr size_t Nodes = 10;
    constexpr RetryBudgetLimits Limits{0.2, 184, std::chrono::seconds(10)};
    std::mt19937_64 Random(7);
    std::vector<RetryBudget> Budgets(Nodes, RetryBudget(Limits));
    std::vector<int64_t> Requests;
    std::vector<int64_t> Retries;
    for (int64_t Millis = 0; Millis < 60'000; Millis += 5) {
      TimePoint Now(std::chrono::milliseconds(Millis + 1));
      size_t Node = std::min(Random() % Nodes, Random() % Nodes);
      Budgets[Node].recordRequest(Now);
      Requests.push_back(Millis);
      while (Budgets[Node].hasRoom(Now, Nodes)) {
        Budgets[Node].spend(Now);
        Retries.push_back(Millis);
      }
    }
    for (int64_t Start = 0; Start < 50'000; Start += 250) {
      auto CountIn = [Start](const std::vector<int64_t> &Times) {
        return static_cast<double>(
            std::count_if(Times.begin(), Times.end(), [Start](int64_t T) {
              return T >= Start && T < Start + 10'000;
            }));
      };
      CPPUNIT_ASSERT(CountIn(Retries) <=
                     Limits.Ratio * CountIn(Requests) + Limits.Allowance);
    }
    CPPUNIT_ASSERT(Retries.size() > 500);
  }

  void budgetWhenTheWindowHasPassedHasRoomAgain() {
    RetryBudget Budget({0, 10, std::chrono::seconds(10)});
    TimePoint Start(std::chrono::seconds(1));
    while (Budget.hasRoom(Start, 1))
      Budget.spend(Start);
    CPPUNIT_ASSERT(!Budget.hasRoom(Start + std::chrono::seconds(9), 1));
    CPPUNIT_ASSERT(Budget.hasRoom(Start + std::chrono::seconds(11), 1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace ragwort::dispatch
