//===- KnownMapsTest.cpp - Tests of KnownMaps.h ---------------------------===//
#include "ragwort/rankgroup/KnownMaps.h"
#include "ragwort/rankgroup/SetPlanner.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

class KnownMapsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownMapsTest);
  CPPUNIT_TEST(differenceWhenAppliedGivesTheOtherMap);
  CPPUNIT_TEST(digestWhenExpertOrderDiffersIsTheSame);
  CPPUNIT_TEST(mapWhenSentAsDifferenceIsResolved);
  CPPUNIT_TEST(mapWhenBaseIsUnknownOrWrongIsNotResolved);
  CPPUNIT_TEST_SUITE_END();

  static ExpertMap roundRobin() {
    ExpertMap Map;
    Map.At.assign(3, roundRobinMap(16, 4));
    return Map;
  }

  /// Like roundRobin(), with a few experts moved, added or dropped.
  static ExpertMap moved() {
    ExpertMap Map = roundRobin();
    Map.At[0][1].push_back(0);
    std::swap(Map.At[2][0], Map.At[2][3]);
    Map.At[1][2].pop_back();
    for (auto &Set : Map.At)
      for (auto &Rank : Set)
        std::sort(Rank.begin(), Rank.end());
    return Map;
  }

public:
  void differenceWhenAppliedGivesTheOtherMap() {
    ExpertMap Difference = differenceOf(roundRobin(), moved());
    CPPUNIT_ASSERT(differenceOf(roundRobin(), Difference) == moved());
    CPPUNIT_ASSERT(differenceOf(moved(), Difference) == roundRobin());
    CPPUNIT_ASSERT(Difference.At[1][0].empty());
  }

  void digestWhenExpertOrderDiffersIsTheSame() {
    ExpertMap Other = moved();
    std::reverse(Other.At[0][1].begin(), Other.At[0][1].end());
    CPPUNIT_ASSERT_EQUAL(digestOf(moved()), digestOf(Other));
    CPPUNIT_ASSERT(digestOf(moved()) != digestOf(roundRobin()));
    // Swapping the experts of two ranks gives a different map.
    std::swap(Other.At[0][1], Other.At[0][2]);
    CPPUNIT_ASSERT(digestOf(moved()) != digestOf(Other));
  }

  void mapWhenSentAsDifferenceIsResolved() {
    KnownMaps Maps;
    Maps.setInitialMap(3, 16, 4);
    ExpertMap Difference = differenceOf(roundRobin(), moved());
    auto Found = Maps.resolve({0, digestOf(moved())}, Difference);
    CPPUNIT_ASSERT(Found && *Found == moved());
    Maps.add(7, moved());
    Found = Maps.resolve({7, digestOf(roundRobin())}, Difference);
    CPPUNIT_ASSERT(Found && *Found == roundRobin());
  }

  void mapWhenBaseIsUnknownOrWrongIsNotResolved() {
    KnownMaps Maps;
    ExpertMap Difference = differenceOf(roundRobin(), moved());
    MapReference From{7, digestOf(moved())};
    CPPUNIT_ASSERT(!Maps.resolve(From, Difference));
    Maps.add(7, moved());
    CPPUNIT_ASSERT(!Maps.resolve(From, Difference));
    Maps.add(7, roundRobin());
    CPPUNIT_ASSERT(Maps.resolve(From, Difference));
    for (uint64_t Version = 8; Version < 12; ++Version)
      Maps.add(Version, roundRobin());
    CPPUNIT_ASSERT(!Maps.resolve(From, Difference));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KnownMapsTest);

} // namespace ragwort::rankgroup
