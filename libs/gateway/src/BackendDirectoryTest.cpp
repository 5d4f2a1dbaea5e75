//===- BackendDirectoryTest.cpp - Tests of BackendDirectory.h -------------===//
#include "ragwort/gateway/BackendDirectory.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class BackendDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendDirectoryTest);
  CPPUNIT_TEST(listWhenOlderChangesNothing);
  CPPUNIT_TEST(entryWhenMissingWithTheStoreSettledIsGone);
  CPPUNIT_TEST(entryWhenLapsedDuringAnOutageHasItsGrace);
  CPPUNIT_TEST(entryWhenBackWithinItsGraceStays);
  CPPUNIT_TEST(entryWhenDrainingStaysListed);
  CPPUNIT_TEST_SUITE_END();

  using Completeness = BackendDirectory::Completeness;

  static BackendInstance instance(const char *Id) {
    BackendInstance B;
    B.Id = Id;
    B.Service = "s";
    B.Address = "127.0.0.1:1";
    return B;
  }
  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis));
  }

public:
  void listWhenOlderChangesNothing() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, 9, at(0),
                 Completeness::Settled);
    CPPUNIT_ASSERT(
        !D.replaceAll({instance("c")}, 8, at(1), Completeness::Settled));
    D.apply({{"a", std::nullopt}}, 7, at(1), Completeness::Settled);
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), D.version());
  }

  void entryWhenMissingWithTheStoreSettledIsGone() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, 1, at(0),
                 Completeness::Settled);
    D.replaceAll({instance("b")}, 2, at(1), Completeness::Settled);
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
    D.apply({{"b", std::nullopt}}, 3, at(1), Completeness::Settled);
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenLapsedDuringAnOutageHasItsGrace() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, 1, at(0),
                 Completeness::Settled);
    D.replaceAll({instance("b")}, 2, at(1000), Completeness::Recovering);
    D.apply({{"b", std::nullopt}}, 3, at(1500), Completeness::Recovering);
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(2900)));
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    // Peers are told only what the store still says.
    CPPUNIT_ASSERT(D.snapshot().empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.expire(at(3100)));
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.expire(at(3600)));
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenBackWithinItsGraceStays() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, 1, at(0), Completeness::Settled);
    D.replaceAll({}, 2, at(1000), Completeness::Recovering);
    D.apply({{"a", instance("a")}}, 3, at(2000), Completeness::Recovering);
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(9000)));
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
  }

  void entryWhenDrainingStaysListed() {
    BackendDirectory D;
    BackendInstance Leaving = instance("a");
    Leaving.IsDraining = true;
    D.replaceAll({instance("a")}, 1, at(0), Completeness::Settled);
    D.apply({{"a", Leaving}}, 2, at(1), Completeness::Settled);
    CPPUNIT_ASSERT(D.instances().at("a").IsDraining);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BackendDirectoryTest);

} // namespace ragwort::gateway
