//===- LinkPacerTest.cpp - Tests of LinkPacer.h ---------------------------===//
#include "ragwort/rankgroup/LinkPacer.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

class LinkPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkPacerTest);
  CPPUNIT_TEST(bytesWhenSentSteadilyStayWithinTheShare);
  CPPUNIT_TEST(roomWhenIdleIsOneBurst);
  CPPUNIT_TEST(roomWhenALargeMessageWasSentIsPaidBackFirst);
  CPPUNIT_TEST(roomWhenTheLinkIsUnknownIsNeverUsedUp);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double Link = 750'000;

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1));
  }

public:
  void bytesWhenSentSteadilyStayWithinTheShare() {
    LinkPacer Pacer(Link);
    size_t Sent = 0;
    for (int64_t Millis = 0; Millis < 2000; ++Millis)
      while (Pacer.room(at(Millis)) >= 1400) {
        Pacer.spend(1400);
        Sent += 1400;
      }
    double Allowed = 2 * Link * LinkPacer::LinkShare;
    CPPUNIT_ASSERT(static_cast<double>(Sent) <=
                   Allowed + LinkPacer::BurstBytes);
    CPPUNIT_ASSERT(static_cast<double>(Sent) >= 0.95 * Allowed);
  }

  void roomWhenIdleIsOneBurst() {
    LinkPacer Pacer(Link);
    Pacer.room(at(0));
    CPPUNIT_ASSERT_EQUAL(LinkPacer::BurstBytes, Pacer.room(at(60'000)));
  }

  void roomWhenALargeMessageWasSentIsPaidBackFirst() {
    LinkPacer Pacer(Link);
    Pacer.room(at(0));
    Pacer.spend(2 * LinkPacer::BurstBytes);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Pacer.room(at(1)));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Pacer.room(at(40)));
    CPPUNIT_ASSERT(Pacer.room(at(50)) > 0);
  }

  void roomWhenTheLinkIsUnknownIsNeverUsedUp() {
    LinkPacer Pacer(0);
    for (int I = 0; I < 100; ++I)
      Pacer.spend(LinkPacer::BurstBytes);
    CPPUNIT_ASSERT_EQUAL(LinkPacer::BurstBytes, Pacer.room(at(0)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LinkPacerTest);

} // namespace ragwort::rankgroup
