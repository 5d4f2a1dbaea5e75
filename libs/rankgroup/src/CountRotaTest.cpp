//===- CountRotaTest.cpp - Tests of CountRota.h ---------------------------===//
#include "ragwort/rankgroup/CountRota.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/HeartbeatSchedule.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

class CountRotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CountRotaTest);
  CPPUNIT_TEST(ranksWhenTheirCountsFitReportInEveryInterval);
  CPPUNIT_TEST(ranksWhenTheLinkIsUnknownReportInEveryInterval);
  CPPUNIT_TEST(countsWhenGroupsAreLargeFitTheControllersLink);
  CPPUNIT_TEST(ranksWhenTheyTakeTurnsReportEquallyOften);
  CPPUNIT_TEST(reportWhenItIsDueFollowsAReadingOfTheBase);
  CPPUNIT_TEST(turnWhenIntervalsBecomeLongerComesSooner);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration Usual = HeartbeatSchedule::UsualInterval;

  static CountRota rota(double LinkMbps, uint32_t Ranks, uint32_t Rank,
                        uint32_t Sets, uint32_t Experts) {
    CountRota Rota(LinkMbps * 1e6 / 8);
    Rota.setGroup(Ranks, Rank, countBytes(Sets, Experts));
    return Rota;
  }

public:
  void ranksWhenTheirCountsFitReportInEveryInterval() {
    CountRota Rota = rota(8, 32, 5, 12, 128);
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT(Rota.next(Usual) == CountTurn::Report);
  }

  void ranksWhenTheLinkIsUnknownReportInEveryInterval() {
    CountRota Rota = rota(0, 192, 5, 16, 192);
    CPPUNIT_ASSERT_EQUAL(1u, Rota.period(Usual));
  }

  void countsWhenGroupsAreLargeFitTheControllersLink() {
    struct Group {
      double LinkMbps;
      uint32_t Ranks, Sets, Experts;
    };
    for (Group G :
         {Group{8, 32, 12, 128}, Group{8, 63, 8, 252}, Group{6, 96, 16, 192},
          Group{6, 192, 16, 192}, Group{8, 63, 4, 64}, Group{6, 192, 4, 64}})
      for (Duration Interval : {Usual, HeartbeatSchedule::OpeningInterval}) {
        CountRota Rota = rota(G.LinkMbps, G.Ranks, 0, G.Sets, G.Experts);
        uint32_t Period = Rota.period(Interval);
        double BytesPerSecond = G.Ranks *
                                double(countBytes(G.Sets, G.Experts)) /
                                std::chrono::duration<double>(Interval).count();
        double Share = BytesPerSecond / Period / (G.LinkMbps * 1e6 / 8);
        // All ranks of a group that has just opened report twice as often.
        double Bound = Period > 1          ? CountRota::ShareInTurns
                       : Interval == Usual ? CountRota::MaxShareOfAll
                                           : 2 * CountRota::MaxShareOfAll;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(G.Ranks) +
                                   " ranks: " + std::to_string(Share),
                               Share <= Bound);
      }
  }

  void ranksWhenTheyTakeTurnsReportEquallyOften() {
    constexpr uint32_t Ranks = 96;
    constexpr int Intervals = 200;
    std::vector<int> PerInterval(Intervals, 0);
    for (uint32_t Rank = 0; Rank < Ranks; ++Rank) {
      CountRota Rota = rota(6, Ranks, Rank, 16, 192);
      uint32_t Period = Rota.period(Usual);
      CPPUNIT_ASSERT(Period > 1);
      int Reports = 0;
      for (int I = 0; I < Intervals; ++I) {
        bool IsReport = Rota.next(Usual) == CountTurn::Report;
        Reports += IsReport;
        PerInterval[static_cast<size_t>(I)] += IsReport;
      }
      CPPUNIT_ASSERT(std::abs(Reports - Intervals / static_cast<int>(Period)) <=
                     1);
    }
    // No interval is without counts, and none has those of many ranks.
    uint32_t Period = rota(6, Ranks, 0, 16, 192).period(Usual);
    for (int Reports : PerInterval)
      CPPUNIT_ASSERT(Reports >= static_cast<int>(Ranks / Period) &&
                     Reports <= static_cast<int>(Ranks / Period + 1));
  }

  void reportWhenItIsDueFollowsAReadingOfTheBase() {
    CountRota Rota = rota(6, 96, 40, 16, 192);
    CountTurn Last = CountTurn::None;
    bool IsFirst = true;
    for (int I = 0; I < 100; ++I) {
      CountTurn Turn = Rota.next(Usual);
      if (Turn == CountTurn::Report && !std::exchange(IsFirst, false))
        CPPUNIT_ASSERT(Last == CountTurn::ReadBase);
      Last = Turn;
    }
    CPPUNIT_ASSERT(!IsFirst);
  }

  void turnWhenIntervalsBecomeLongerComesSooner() {
    CountRota Rota = rota(6, 96, 1, 16, 192);
    Duration Opening = HeartbeatSchedule::OpeningInterval;
    CPPUNIT_ASSERT(Rota.period(Opening) > Rota.period(Usual));
    while (Rota.next(Opening) != CountTurn::Report) {
    }
    uint32_t Intervals = 1;
    while (Rota.next(Usual) != CountTurn::Report)
      ++Intervals;
    CPPUNIT_ASSERT(Intervals <= Rota.period(Usual));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CountRotaTest);

} // namespace ragwort::rankgroup
