//===- AgentMessageTest.cpp - Tests of AgentMessage.h ---------------------===//
#include "ragwort/rankgroup/AgentMessage.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::rankgroup {

class AgentMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentMessageTest);
  CPPUNIT_TEST(heartbeatWhenEncodedIsDecodedUnchanged);
  CPPUNIT_TEST(heartbeatsWhenInPartsContainEverythingOnce);
  CPPUNIT_TEST(heartbeatsWhenCountsAreLargeKeepTheirProportions);
  CPPUNIT_TEST(heartbeatsWhenGroupIsLargeFitTheControllersLink);
  CPPUNIT_TEST(messageWhenTruncatedOrCorruptedNeverThrows);
  CPPUNIT_TEST_SUITE_END();

  static AgentMessage heartbeat() {
    AgentMessage M;
    M.Kind = AgentMessageKind::Heartbeat;
    M.Group = "g";
    M.Token = 9;
    M.Engine = "10.0.0.1:80";
    M.Report.Epoch = 3;
    M.Report.IsOpen = true;
    M.Report.Held = 12;
    M.Report.Armed = ArmedMap{4, 12};
    M.Experts = {4, {{1, 2}, {3}}};
    M.Counts = {5, 6, 7};
    return M;
  }

public:
  void heartbeatWhenEncodedIsDecodedUnchanged() {
    auto Decoded = decodeMessage(encodeMessage(heartbeat()));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(Decoded->Kind == AgentMessageKind::Heartbeat);
    CPPUNIT_ASSERT(Decoded->Report.Armed == heartbeat().Report.Armed);
    CPPUNIT_ASSERT(Decoded->Report.Held == uint64_t(12));
    CPPUNIT_ASSERT(!Decoded->Report.Prepared);
    CPPUNIT_ASSERT(Decoded->Experts.Sets == heartbeat().Experts.Sets);
    CPPUNIT_ASSERT(Decoded->Counts == heartbeat().Counts);
  }

  static RankExperts held(uint32_t Sets, uint32_t PerSet, ExpertId First) {
    RankExperts Result;
    Result.MapVersion = 4;
    for (uint32_t Set = 0; Set < Sets; ++Set) {
      Result.Sets.emplace_back();
      for (uint32_t I = 0; I < PerSet; ++I)
        Result.Sets.back().push_back(static_cast<ExpertId>(First + I));
    }
    return Result;
  }

  void heartbeatsWhenInPartsContainEverythingOnce() {
    for (uint32_t PerSet : {5u, 40u}) {
      for (ExpertId First : {ExpertId(1), ExpertId(900)}) {
        RankExperts Experts = held(12, PerSet, First);
        std::vector<std::vector<uint64_t>> Selections(
            12, std::vector<uint64_t>(128, 0));
        for (uint32_t Set = 0; Set < 12; ++Set)
          Selections[Set][size_t(Set) * 3] = Set + 1;
        std::vector<std::vector<uint64_t>> Sum(12,
                                               std::vector<uint64_t>(128, 0));
        size_t MessagesWithExperts = 0;
        for (const std::string &Bytes :
             encodeHeartbeats(heartbeat(), Experts, Selections)) {
          CPPUNIT_ASSERT(Bytes.size() <= MaxAgentDatagramBytes);
          auto Part = decodeMessage(Bytes);
          CPPUNIT_ASSERT(Part.ok());
          MessagesWithExperts += Part->Experts.Sets == Experts.Sets;
          auto Received = selectionsOf(*Part, 12, 128);
          for (size_t Set = 0; Set < Received.size(); ++Set)
            for (size_t E = 0; E < 128; ++E)
              Sum[Set][E] += Received[Set][E];
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), MessagesWithExperts);
        CPPUNIT_ASSERT(Sum == Selections);
      }
    }
  }

  void heartbeatsWhenCountsAreLargeKeepTheirProportions() {
    std::vector<std::vector<uint64_t>> Selections = {{100'000, 50'000, 400, 0}};
    auto Parts = encodeHeartbeats(heartbeat(), RankExperts(), Selections);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Parts.size());
    auto Received = selectionsOf(*decodeMessage(Parts[0]), 1, 4);
    for (size_t E = 0; E < 4; ++E) {
      auto Error = static_cast<int64_t>(Received[0][E] - Selections[0][E]);
      CPPUNIT_ASSERT(std::abs(Error) <= 100'000 / 255 + 1);
    }
    CPPUNIT_ASSERT(selectionsOf(*decodeMessage(Parts[0]), 1, 5).empty());
  }

  void heartbeatsWhenGroupIsLargeFitTheControllersLink() {
    // 32 ranks, 12 sets of 128 experts, and a link of 8 Mbit/s: half of it must
    // be left for orders and other traffic.
    constexpr size_t LinkBytesPerSecond = 1'000'000;
    std::vector<std::vector<uint64_t>> Selections(
        12, std::vector<uint64_t>(128, 30));
    size_t Bytes = 0;
    for (const std::string &Part :
         encodeHeartbeats(heartbeat(), held(12, 5, 1), Selections))
      Bytes += Part.size();
    // From all ranks but rank 0, whose agent is the controller, each at
    // HeartbeatSchedule::UsualInterval.
    size_t HeartbeatsPerSecond = 31 * 1000 / 150;
    CPPUNIT_ASSERT(Bytes * HeartbeatsPerSecond <= LinkBytesPerSecond / 2);
  }

  void messageWhenTruncatedOrCorruptedNeverThrows() {
    std::string Bytes = encodeMessage(heartbeat());
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeMessage(Bytes.substr(0, Size)).ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Corrupted = Bytes;
      Corrupted[Random() % Corrupted.size()] = static_cast<char>(Random());
      decodeMessage(Corrupted).status().IgnoreError();
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AgentMessageTest);

} // namespace ragwort::rankgroup
