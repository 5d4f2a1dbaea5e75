//===- AffinityTableTest.cpp - Tests of AffinityTable.h -------------------===//
#include "ragwort/routing/AffinityTable.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::routing {

using namespace std::chrono_literals;

class AffinityTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AffinityTableTest);
  CPPUNIT_TEST(likelihoodAfterOneHalfLifeIsHalved);
  CPPUNIT_TEST(likelihoodAfterEvictionOrRestartIsZero);
  CPPUNIT_TEST(keyWhenOrganisationsDifferDiffers);
  CPPUNIT_TEST(tableWhenFullEvictsTheOldestEntry);
  CPPUNIT_TEST_SUITE_END();

  VirtualClock Clock;
  AffinityTable Table{60s, 3};

public:
  void likelihoodAfterOneHalfLifeIsHalved() {
    Table.onSent(1, "a", Clock.now());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Table.likelihood(1, "a", Clock.now()),
                                 1e-9);
    Clock.advance(60s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Table.likelihood(1, "a", Clock.now()),
                                 1e-9);
    CPPUNIT_ASSERT_EQUAL(0.0, Table.likelihood(1, "b", Clock.now()));
  }

  void likelihoodAfterEvictionOrRestartIsZero() {
    Table.onSent(1, "a", Clock.now());
    Table.onSent(2, "a", Clock.now());
    Table.onEvicted(1, "b");
    CPPUNIT_ASSERT(Table.likelihood(1, "a", Clock.now()) > 0);
    Table.onEvicted(1, "a");
    CPPUNIT_ASSERT_EQUAL(0.0, Table.likelihood(1, "a", Clock.now()));
    Table.onRestart("a");
    CPPUNIT_ASSERT_EQUAL(0.0, Table.likelihood(2, "a", Clock.now()));
  }

  void keyWhenOrganisationsDifferDiffers() {
    CPPUNIT_ASSERT(prefixKey("x", "same") != prefixKey("y", "same"));
    CPPUNIT_ASSERT(prefixKey("x", std::string(256, 'p') + "1") ==
                   prefixKey("x", std::string(256, 'p') + "2"));
  }

  void tableWhenFullEvictsTheOldestEntry() {
    for (PrefixKey Key = 1; Key <= 4; ++Key)
      Table.onSent(Key, "a", Clock.now());
    CPPUNIT_ASSERT_EQUAL(size_t(3), Table.size());
    CPPUNIT_ASSERT_EQUAL(0.0, Table.likelihood(1, "a", Clock.now()));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AffinityTableTest);

} // namespace ragwort::routing
