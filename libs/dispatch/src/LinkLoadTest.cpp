//===- LinkLoadTest.cpp - Tests of LinkLoad.h -----------------------------===//
#include "ragwort/dispatch/LinkLoad.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class LinkLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkLoadTest);
  CPPUNIT_TEST(linkWhenMostCallersWaitIsFullBeforeHalfASecond);
  CPPUNIT_TEST(linkWhenOnlySlowCallersWaitIsNotFull);
  CPPUNIT_TEST(linkWhenItsBandwidthIsUnknownIsNeverFull);
  CPPUNIT_TEST_SUITE_END();

  // 28 Mbit/s are 3,500 bytes a millisecond.
  static constexpr double Mbps = 28;
  static constexpr size_t BytesPerMilli = 3500;

public:
  void linkWhenMostCallersWaitIsFullBeforeHalfASecond() {
    LinkLoad Link(Mbps);
    Link.update({100, 60, 300 * BytesPerMilli});
    CPPUNIT_ASSERT(!Link.isFull());
    CPPUNIT_ASSERT(Link.queued() == std::chrono::milliseconds(300));
    Link.update({100, 60, 499 * BytesPerMilli});
    CPPUNIT_ASSERT(Link.isFull());
    Link.update({100, 60, 200 * BytesPerMilli});
    CPPUNIT_ASSERT(Link.isFull());
    Link.update({100, 60, 100 * BytesPerMilli});
    CPPUNIT_ASSERT(!Link.isFull());
  }

  void linkWhenOnlySlowCallersWaitIsNotFull() {
    LinkLoad Link(Mbps);
    Link.update({100, 20, 5000 * BytesPerMilli});
    CPPUNIT_ASSERT(!Link.isFull());
    Link.update({3, 3, 5000 * BytesPerMilli});
    CPPUNIT_ASSERT(!Link.isFull());
  }

  void linkWhenItsBandwidthIsUnknownIsNeverFull() {
    LinkLoad Link(0);
    Link.update({100, 100, 5000 * BytesPerMilli});
    CPPUNIT_ASSERT(!Link.isFull());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkLoadTest);

} // namespace ragwort::dispatch
