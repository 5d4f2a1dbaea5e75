//===- BeatPaceTest.cpp - Tests of BeatPace.h -----------------------------===//
#include "ragwort/rankgroup/BeatPace.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

class BeatPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BeatPaceTest);
  CPPUNIT_TEST(reportsWhenNothingHappensAreSentAtTheUsualInterval);
  CPPUNIT_TEST(reportsWhenAGroupHasOpenedAreSentOften);
  CPPUNIT_TEST(reportWhenAMapIsCopiedIsSentAtOnceAndOnce);
  CPPUNIT_TEST(copyWhenItNeverEndsIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 10'000));
  }

  static EngineReport report(uint64_t Epoch) {
    EngineReport R;
    R.Epoch = Epoch;
    R.IsOpen = true;
    return R;
  }

  /// Reports sent between two times, with the engine read as the pace says.
  static int sent(BeatPace &Pace, const EngineReport &R, int64_t From,
                  int64_t To) {
    int Sent = 0;
    for (int64_t Millis = From; Millis < To;) {
      Sent += Pace.onReport(R, at(Millis));
      Millis += Pace.interval(at(Millis)).count() / 1000;
    }
    return Sent;
  }

public:
  void reportsWhenNothingHappensAreSentAtTheUsualInterval() {
    BeatPace Pace;
    sent(Pace, report(1), 0, 1000);
    int Sent = sent(Pace, report(1), 1000, 16'000);
    CPPUNIT_ASSERT(Sent >= 99 && Sent <= 101);
  }

  void reportsWhenAGroupHasOpenedAreSentOften() {
    BeatPace Pace;
    sent(Pace, report(1), 0, 3000);
    CPPUNIT_ASSERT(sent(Pace, report(2), 3000, 3800) >= 10);
    CPPUNIT_ASSERT(sent(Pace, report(2), 3900, 4500) <= 5);
  }

  void reportWhenAMapIsCopiedIsSentAtOnceAndOnce() {
    BeatPace Pace;
    EngineReport R = report(1);
    sent(Pace, R, 0, 3000);
    CPPUNIT_ASSERT(Pace.onReport(R, at(3200)));
    Pace.onPrepareAccepted(7, at(3200));
    CPPUNIT_ASSERT(Pace.interval(at(3200)) == BeatPace::CopyInterval);
    CPPUNIT_ASSERT(!Pace.onReport(R, at(3240)));
    R.Prepared = 7;
    CPPUNIT_ASSERT(Pace.onReport(R, at(3280)));
    CPPUNIT_ASSERT(!Pace.onReport(R, at(3320)));
    CPPUNIT_ASSERT(Pace.interval(at(3320)) == BeatPace::UsualInterval);
  }

  void copyWhenItNeverEndsIsGivenUp() {
    BeatPace Pace;
    sent(Pace, report(1), 0, 3000);
    Pace.onPrepareAccepted(7, at(3000));
    sent(Pace, report(1), 3000, 5100);
    CPPUNIT_ASSERT(Pace.interval(at(5100)) == BeatPace::UsualInterval);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BeatPaceTest);

} // namespace ragwort::rankgroup
