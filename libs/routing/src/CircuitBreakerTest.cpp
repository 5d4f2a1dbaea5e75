//===- CircuitBreakerTest.cpp - Tests of CircuitBreaker.h -----------------===//
#include "ragwort/routing/CircuitBreaker.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::routing {

using namespace std::chrono_literals;

class CircuitBreakerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CircuitBreakerTest);
  CPPUNIT_TEST(breakerAfterConsecutiveFailuresOpens);
  CPPUNIT_TEST(breakerWhenOpenAllowsOneProbePerBackoff);
  CPPUNIT_TEST(breakerWhenProbeSucceedsCloses);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  CircuitBreaker Subject{BreakerLimits{3, 500ms, 30s}};

  void open() {
    for (int I = 0; I < 3; ++I)
      Subject.onFailure(Clock.now());
  }

public:
  void breakerAfterConsecutiveFailuresOpens() {
    Subject.onFailure(Clock.now());
    Subject.onFailure(Clock.now());
    Subject.onSuccess();
    Subject.onFailure(Clock.now());
    CPPUNIT_ASSERT(Subject.allows(Clock.now()));
    open();
    CPPUNIT_ASSERT(!Subject.allows(Clock.now()));
  }

  void breakerWhenOpenAllowsOneProbePerBackoff() {
    open();
    Clock.advance(500ms);
    CPPUNIT_ASSERT(Subject.allows(Clock.now()));
    Subject.onSent(Clock.now());
    CPPUNIT_ASSERT(!Subject.allows(Clock.now()));
    Subject.onFailure(Clock.now());
    Clock.advance(999ms);
    CPPUNIT_ASSERT(!Subject.allows(Clock.now()));
    Clock.advance(1ms);
    CPPUNIT_ASSERT(Subject.allows(Clock.now()));
  }

  void breakerWhenProbeSucceedsCloses() {
    open();
    Clock.advance(500ms);
    Subject.onSent(Clock.now());
    Subject.onSuccess();
    CPPUNIT_ASSERT(Subject.allows(Clock.now()));
    CPPUNIT_ASSERT(!Subject.isOpen());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CircuitBreakerTest);

} // namespace ragwort::routing
