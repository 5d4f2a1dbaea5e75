//===- SubsetTest.cpp - Tests of Subset.h ---------------------------------===//
#include "ragwort/routing/Subset.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace ragwort::routing {

class SubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubsetTest);
  CPPUNIT_TEST(subsetsWhenEntryNodesAreManyCoverServersEvenly);
  CPPUNIT_TEST(subsetWhenServersAreFewContainsAllOfThem);
  CPPUNIT_TEST(subsetWhenSelfIsNotConfiguredHasFullSize);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> names(const char *Prefix, int Count) {
    std::vector<std::string> Result;
    Result.reserve(static_cast<size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Result.push_back(Prefix + std::to_string(I));
    return Result;
  }

public:
  void subsetsWhenEntryNodesAreManyCoverServersEvenly() {
    auto Entries = names("entry-", 94);
    auto Servers = names("agent-", 294);
    std::vector<int> Coverage(Servers.size(), 0);
    for (const std::string &Entry : Entries) {
      auto Mine = deterministicSubset(Entry, Entries, Servers, 16);
      CPPUNIT_ASSERT_EQUAL(size_t(16),
                           std::set<size_t>(Mine.begin(), Mine.end()).size());
      for (size_t Index : Mine)
        ++Coverage[Index];
    }
    auto [Low, High] = std::minmax_element(Coverage.begin(), Coverage.end());
    // The mean coverage is 94 * 16 / 294 = 5.1. Subsets that span two rounds
    // and skip duplicates may add one more.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(*Low) + " to " +
                               std::to_string(*High),
                           *Low >= 4 && *High <= 7);
  }

  void subsetWhenServersAreFewContainsAllOfThem() {
    auto Mine =
        deterministicSubset("entry-1", names("entry-", 3), names("a-", 5), 16);
    CPPUNIT_ASSERT_EQUAL(size_t(5),
                         std::set<size_t>(Mine.begin(), Mine.end()).size());
  }

  void subsetWhenSelfIsNotConfiguredHasFullSize() {
    auto Mine =
        deterministicSubset("stranger", names("entry-", 3), names("a-", 50), 8);
    CPPUNIT_ASSERT_EQUAL(size_t(8), Mine.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SubsetTest);

} // namespace ragwort::routing
