//===- BatchRoomTest.cpp - Tests of the room of batching servers ----------===//
#include "ragwort/dispatch/BatchRoom.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class BatchRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BatchRoomTest);
  CPPUNIT_TEST(roomWhenSpeedOrTargetIsUnknownIsThatOfTheSlots);
  CPPUNIT_TEST(passWithTheFittingRequestsIsWithinTheTarget);
  CPPUNIT_TEST(roomWhenPausesAreLongerThanPredictedShrinks);
  CPPUNIT_TEST(roomWhenPausesAreShorterThanPredictedIsUnchanged);
  CPPUNIT_TEST(roomStaysBetweenHalfTheSlotsAndAFewMore);
  CPPUNIT_TEST_SUITE_END();

  static EngineSpeed speed() { return {5.0, 1.0, 0.02, 60.0, 5, 840, 100}; }
  static constexpr Duration Target = std::chrono::milliseconds(120);

public:
  void roomWhenSpeedOrTargetIsUnknownIsThatOfTheSlots() {
    uint32_t NoSpeed = BatchRoom({}, Target).fitting({4, 500, 500});
    uint32_t NoTarget = BatchRoom(speed(), Duration(0)).fitting({4, 500, 500});
    CPPUNIT_ASSERT_EQUAL(12u, roomOf(10, 2, NoSpeed));
    CPPUNIT_ASSERT_EQUAL(12u, roomOf(10, 2, NoTarget));
  }

  void passWithTheFittingRequestsIsWithinTheTarget() {
    for (int64_t Millis : {60, 90, 120, 300}) {
      BatchRoom Room(speed(), std::chrono::milliseconds(Millis));
      uint32_t Fitting = Room.fitting({});
      auto Limit = static_cast<double>(Millis);
      CPPUNIT_ASSERT(Room.passMillis(Fitting) <= Limit);
      CPPUNIT_ASSERT(Room.passMillis(Fitting + 1) > Limit);
    }
  }

  void roomWhenPausesAreLongerThanPredictedShrinks() {
    BatchRoom Room(speed(), Target);
    uint32_t Before = Room.fitting({});
    ObservedPauses Observed{8, 0, 1.25 * Room.passMillis(8)};
    uint32_t After = Room.fitting(Observed);
    CPPUNIT_ASSERT(After < Before);
    CPPUNIT_ASSERT(1.25 * Room.passMillis(After) <= 120);
  }

  void roomWhenPausesAreShorterThanPredictedIsUnchanged() {
    BatchRoom Room(speed(), Target);
    CPPUNIT_ASSERT_EQUAL(Room.fitting({}), Room.fitting({8, 10, 12}));
  }

  void roomStaysBetweenHalfTheSlotsAndAFewMore() {
    CPPUNIT_ASSERT_EQUAL(5u, roomOf(10, 2, 0));
    CPPUNIT_ASSERT_EQUAL(7u, roomOf(10, 2, 7));
    CPPUNIT_ASSERT_EQUAL(12u, roomOf(10, 2, 100));
    CPPUNIT_ASSERT_EQUAL(1u, roomOf(1, 0, 0));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BatchRoomTest);

} // namespace ragwort::dispatch
