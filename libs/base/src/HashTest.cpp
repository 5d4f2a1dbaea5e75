//===- HashTest.cpp - Tests of Hash.h -------------------------------------===//
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class HashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HashTest);
  CPPUNIT_TEST(rendezvousWhenANameLeavesKeepsTheOthers);
  CPPUNIT_TEST(rendezvousWhenMoreAreAskedThanExistReturnsAll);
  CPPUNIT_TEST_SUITE_END();

public:
  void rendezvousWhenANameLeavesKeepsTheOthers() {
    std::vector<std::string> Names;
    Names.reserve(50);
    for (int I = 0; I < 50; ++I)
      Names.push_back("agent-" + std::to_string(I));
    std::vector<size_t> Before = rendezvousPick("entry-1", Names, 8);
    std::string Removed = Names[Before[3]];
    std::vector<std::string> Remaining = Names;
    std::erase(Remaining, Removed);
    std::vector<size_t> After = rendezvousPick("entry-1", Remaining, 8);
    size_t Kept = 0;
    for (size_t I : Before)
      for (size_t J : After)
        Kept += Names[I] == Remaining[J];
    CPPUNIT_ASSERT_EQUAL(size_t(7), Kept);
  }

  void rendezvousWhenMoreAreAskedThanExistReturnsAll() {
    std::vector<std::string> Names = {"a", "b"};
    CPPUNIT_ASSERT_EQUAL(size_t(2), rendezvousPick("k", Names, 16).size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

} // namespace ragwort
