//===- BackendDirectoryTest.cpp - Tests of BackendDirectory.h -------------===//
#include "ragwort/gateway/BackendDirectory.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class BackendDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendDirectoryTest);
  CPPUNIT_TEST(listWhenOlderChangesNothing);
  CPPUNIT_TEST(entryWhenMissingWithoutGraceIsRemoved);
  CPPUNIT_TEST(entryWhenExpiredDuringAnOutageStaysUntilGraceEnds);
  CPPUNIT_TEST(entryWhenListedAgainWithinGraceStays);
  CPPUNIT_TEST(entryWhenDrainingStaysListed);
  CPPUNIT_TEST_SUITE_END();

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
    D.replaceAll({instance("a"), instance("b")}, 9, std::nullopt);
    CPPUNIT_ASSERT(!D.replaceAll({instance("c")}, 8, std::nullopt));
    D.apply({{"a", std::nullopt}}, 7, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), D.version());
  }

  void entryWhenMissingWithoutGraceIsRemoved() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, 1, std::nullopt);
    D.replaceAll({instance("b")}, 2, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
    D.apply({{"b", std::nullopt}}, 3, std::nullopt);
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenExpiredDuringAnOutageStaysUntilGraceEnds() {
    BackendDirectory D;
    D.replaceAll({instance("a"), instance("b")}, 1, std::nullopt);
    // Both grace periods end at the same time, whenever the entries were
    // removed: an entry removed after the store's recovery is a server that is
    // shutting down.
    D.replaceAll({instance("b")}, 2, at(3000));
    D.apply({{"b", std::nullopt}}, 3, at(3000));
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(2900)));
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.instances().size());
    // Entries that the store no longer lists are not sent to peers.
    CPPUNIT_ASSERT(D.snapshot().empty());
    CPPUNIT_ASSERT_EQUAL(size_t(2), D.expire(at(3000)));
    CPPUNIT_ASSERT(D.instances().empty());
  }

  void entryWhenListedAgainWithinGraceStays() {
    BackendDirectory D;
    D.replaceAll({instance("a")}, 1, std::nullopt);
    D.replaceAll({}, 2, at(3000));
    D.apply({{"a", instance("a")}}, 3, at(3000));
    CPPUNIT_ASSERT_EQUAL(size_t(0), D.expire(at(9000)));
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.instances().size());
  }

  void entryWhenDrainingStaysListed() {
    BackendDirectory D;
    BackendInstance Leaving = instance("a");
    Leaving.IsDraining = true;
    D.replaceAll({instance("a")}, 1, std::nullopt);
    D.apply({{"a", Leaving}}, 2, std::nullopt);
    CPPUNIT_ASSERT(D.instances().at("a").IsDraining);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BackendDirectoryTest);

} // namespace ragwort::gateway
