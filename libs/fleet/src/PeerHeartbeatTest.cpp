//===- PeerHeartbeatTest.cpp - Tests of PeerHeartbeat.h -------------------===//
#include "ragwort/fleet/PeerHeartbeat.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::fleet {

class PeerHeartbeatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerHeartbeatTest);
  CPPUNIT_TEST(heartbeatWhenDecodedEqualsTheEncodedOne);
  CPPUNIT_TEST(heartbeatWhenTooLargeKeepsTheHighestLoads);
  CPPUNIT_TEST(heartbeatWhenTruncatedOrCorruptNeverThrows);
  CPPUNIT_TEST(noticeWhenDecodedAsHeartbeatIsRejected);
  CPPUNIT_TEST(digestsWhenEncodedHoldAllEntries);
  CPPUNIT_TEST(digestWhenTruncatedOrCorruptNeverThrows);
  CPPUNIT_TEST(leavingServersWhenEncodedAreAllSent);
  CPPUNIT_TEST(rateLimitsWhenEncodedAreAllSent);
  CPPUNIT_TEST(coldServersWhenEncodedAreAllSent);
  CPPUNIT_TEST(directoryWhenDecodedEqualsTheEncodedOne);
  CPPUNIT_TEST(engineListWhenDecodedEqualsTheEncodedOne);
  CPPUNIT_TEST_SUITE_END();

  static PeerHeartbeat heartbeat() {
    PeerHeartbeat B;
    B.Node = "n1";
    B.Incarnation = 7;
    B.ConfigVersion = 3;
    B.DirectoryVersion = {2, 44};
    B.InFlight = {{1, 2, 0}, {3, 4, 85}};
    B.PeerIps = {"10.0.0.1", "10.0.0.2"};
    return B;
  }

public:
  void heartbeatWhenDecodedEqualsTheEncodedOne() {
    auto Back = decodeHeartbeat(encodeHeartbeat(heartbeat()));
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), Back->Node);
    CPPUNIT_ASSERT(Back->DirectoryVersion == dispatch::StoreVersion({2, 44}));
    CPPUNIT_ASSERT_EQUAL(size_t(2), Back->InFlight.size());
    CPPUNIT_ASSERT_EQUAL(4u, Back->InFlight[1].Count);
    CPPUNIT_ASSERT_EQUAL(85u, Back->InFlight[1].GapMillis);
    CPPUNIT_ASSERT(Back->PeerIps == heartbeat().PeerIps);
  }

  void engineListWhenDecodedEqualsTheEncodedOne() {
    EngineList List{{"10.0.0.1", "10.0.0.2"}};
    std::string Bytes = encodeEngineList(List);
    CPPUNIT_ASSERT(decodeEngineList(Bytes)->Ips == List.Ips);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeEngineList(Bytes.substr(0, Size)).ok());
  }

  void leavingServersWhenEncodedAreAllSent() {
    std::vector<dispatch::ServerRun> Runs;
    for (uint64_t I = 0; I < 300; ++I)
      Runs.push_back({I, I * 1000});
    std::vector<dispatch::ServerRun> Back;
    for (const std::string &Bytes : encodeLeaving(Runs)) {
      CPPUNIT_ASSERT(Bytes.size() <= MaxPeerDatagramBytes);
      auto Digest = decodeLeaving(Bytes);
      CPPUNIT_ASSERT(Digest.ok());
      Back.insert(Back.end(), Digest->Leaving.begin(), Digest->Leaving.end());
      for (size_t Size = 0; Size < Bytes.size(); ++Size)
        CPPUNIT_ASSERT(!decodeLeaving(Bytes.substr(0, Size)).ok());
    }
    CPPUNIT_ASSERT(Back == Runs);
    CPPUNIT_ASSERT(encodeLeaving({}).empty());
  }

  void heartbeatWhenTooLargeKeepsTheHighestLoads() {
    PeerHeartbeat Large = heartbeat();
    for (uint32_t I = 0; I < 1000; ++I)
      Large.InFlight.push_back({I + 10, I % 10, 0});
    Large.InFlight.push_back({5, 500, 0});
    std::string Bytes = encodeHeartbeat(Large);
    CPPUNIT_ASSERT(Bytes.size() <= MaxPeerDatagramBytes);
    auto Back = decodeHeartbeat(Bytes);
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT(Back->InFlight.size() > 50);
    CPPUNIT_ASSERT_EQUAL(500u, Back->InFlight[0].Count);
  }

  void heartbeatWhenTruncatedOrCorruptNeverThrows() {
    std::string Bytes = encodeHeartbeat(heartbeat());
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeHeartbeat(Bytes.substr(0, Size)).ok());
    CPPUNIT_ASSERT(!decodeHeartbeat(Bytes + "x").ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Changed = Bytes;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      decodeHeartbeat(Changed).status().IgnoreError();
    }
  }

  void noticeWhenDecodedAsHeartbeatIsRejected() {
    std::string Bytes =
        encodeNotice({"10.0.0.1:8405", dispatch::EngineCondition::Closed});
    auto Back = decodeNotice(Bytes);
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8405"), Back->EngineAddress);
    CPPUNIT_ASSERT(Back->Condition == dispatch::EngineCondition::Closed);
    CPPUNIT_ASSERT(!decodeHeartbeat(Bytes).ok());
    CPPUNIT_ASSERT(!decodeNotice(encodeHeartbeat(heartbeat())).ok());
    CPPUNIT_ASSERT(!decodeNotice(Bytes.substr(0, 9)).ok());
  }

  void digestsWhenEncodedHoldAllEntries() {
    CPPUNIT_ASSERT(encodeDigests({}).empty());
    std::vector<dispatch::EngineConditionReport> Entries;
    for (uint64_t Key = 0; Key < 400; ++Key)
      Entries.push_back({Key, Key % 2 == 0
                                  ? dispatch::EngineCondition::Closed
                                  : dispatch::EngineCondition::Straggles});
    std::vector<dispatch::EngineConditionReport> Back;
    for (const std::string &Bytes : encodeDigests(Entries)) {
      CPPUNIT_ASSERT(Bytes.size() <= MaxPeerDatagramBytes);
      auto Digest = decodeDigest(Bytes);
      CPPUNIT_ASSERT(Digest.ok());
      Back.insert(Back.end(), Digest->Entries.begin(), Digest->Entries.end());
    }
    CPPUNIT_ASSERT(Back == Entries);
  }

  void digestWhenTruncatedOrCorruptNeverThrows() {
    std::vector<dispatch::EngineConditionReport> Entries(3);
    std::string Bytes = encodeDigests(Entries).at(0);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeDigest(Bytes.substr(0, Size)).ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Changed = Bytes;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      decodeDigest(Changed).status().IgnoreError();
    }
  }

  void rateLimitsWhenEncodedAreAllSent() {
    std::vector<dispatch::RateLimitReport> Reports;
    for (uint64_t I = 0; I < 300; ++I)
      Reports.push_back({{I, I * 1000},
                         I % 2 ? std::optional<uint32_t>(I) : std::nullopt,
                         static_cast<uint16_t>(I)});
    std::vector<dispatch::RateLimitReport> Back;
    for (const std::string &Bytes : encodeRateLimits(Reports)) {
      CPPUNIT_ASSERT(Bytes.size() <= MaxPeerDatagramBytes);
      auto Digest = decodeRateLimits(Bytes);
      CPPUNIT_ASSERT(Digest.ok());
      Back.insert(Back.end(), Digest->Limits.begin(), Digest->Limits.end());
      for (size_t Size = 0; Size < Bytes.size(); ++Size)
        CPPUNIT_ASSERT(!decodeRateLimits(Bytes.substr(0, Size)).ok());
    }
    CPPUNIT_ASSERT_EQUAL(Reports.size(), Back.size());
    CPPUNIT_ASSERT(Back[7].Run == Reports[7].Run);
    CPPUNIT_ASSERT(Back[7].MilliPerSecond == Reports[7].MilliPerSecond);
    CPPUNIT_ASSERT(!Back[8].MilliPerSecond);
  }

  void coldServersWhenEncodedAreAllSent() {
    std::vector<dispatch::ColdReport> Reports;
    for (uint64_t I = 0; I < 300; ++I)
      Reports.push_back({{I, I * 1000}, static_cast<uint32_t>(I)});
    std::vector<dispatch::ColdReport> Back;
    for (const std::string &Bytes : encodeCold(Reports)) {
      CPPUNIT_ASSERT(Bytes.size() <= MaxPeerDatagramBytes);
      auto Digest = decodeCold(Bytes);
      CPPUNIT_ASSERT(Digest.ok());
      Back.insert(Back.end(), Digest->Cold.begin(), Digest->Cold.end());
      for (size_t Size = 0; Size < Bytes.size(); ++Size)
        CPPUNIT_ASSERT(!decodeCold(Bytes.substr(0, Size)).ok());
    }
    CPPUNIT_ASSERT_EQUAL(Reports.size(), Back.size());
    CPPUNIT_ASSERT(Back[7].Run == Reports[7].Run);
    CPPUNIT_ASSERT_EQUAL(7u, Back[7].RemainingMillis);
    // A time of hours would keep a server from being used.
    Reports = {{{1, 1}, 3'600'000}};
    auto Long = decodeCold(encodeCold(Reports).front());
    CPPUNIT_ASSERT_EQUAL(600'000u, Long->Cold.front().RemainingMillis);
  }

  void directoryWhenDecodedEqualsTheEncodedOne() {
    DirectorySnapshot S{{1, 9}, {dispatch::BackendInstance()}};
    S.Instances[0].Id = "i";
    S.Instances[0].IsDraining = true;
    auto Back = decodeDirectory(encodeDirectory(S));
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT(Back->Version == dispatch::StoreVersion({1, 9}));
    CPPUNIT_ASSERT(Back->Instances == S.Instances);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerHeartbeatTest);

} // namespace ragwort::fleet
