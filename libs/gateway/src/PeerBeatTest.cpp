//===- PeerBeatTest.cpp - Tests of PeerBeat.h -----------------------------===//
#include "ragwort/gateway/PeerBeat.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::gateway {

class PeerBeatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerBeatTest);
  CPPUNIT_TEST(beatWhenEncodedComesBack);
  CPPUNIT_TEST(beatWhenTooLargeKeepsTheHighestLoads);
  CPPUNIT_TEST(beatWhenTornOrChangedNeverThrows);
  CPPUNIT_TEST(noticeWhenEncodedIsNoBeat);
  CPPUNIT_TEST(digestsWhenEncodedHoldAllWords);
  CPPUNIT_TEST(digestWhenTornOrChangedNeverThrows);
  CPPUNIT_TEST(directoryWhenEncodedComesBack);
  CPPUNIT_TEST_SUITE_END();

  static PeerBeat beat() {
    PeerBeat B;
    B.Node = "n1";
    B.Incarnation = 7;
    B.ConfigVersion = 3;
    B.DirectoryVersion = 44;
    B.InFlight = {{1, 2, 0}, {3, 4, 85}};
    B.PeerIps = {"10.0.0.1", "10.0.0.2"};
    return B;
  }

public:
  void beatWhenEncodedComesBack() {
    auto Back = decodeBeat(encodeBeat(beat()));
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), Back->Node);
    CPPUNIT_ASSERT_EQUAL(uint64_t(44), Back->DirectoryVersion);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Back->InFlight.size());
    CPPUNIT_ASSERT_EQUAL(4u, Back->InFlight[1].Count);
    CPPUNIT_ASSERT_EQUAL(85u, Back->InFlight[1].GapMillis);
    CPPUNIT_ASSERT(Back->PeerIps == beat().PeerIps);
  }

  void beatWhenTooLargeKeepsTheHighestLoads() {
    PeerBeat Large = beat();
    for (uint32_t I = 0; I < 1000; ++I)
      Large.InFlight.push_back({I + 10, I % 10, 0});
    Large.InFlight.push_back({5, 500, 0});
    std::string Bytes = encodeBeat(Large);
    CPPUNIT_ASSERT(Bytes.size() <= MaxBeatBytes);
    auto Back = decodeBeat(Bytes);
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT(Back->InFlight.size() > 50);
    CPPUNIT_ASSERT_EQUAL(500u, Back->InFlight[0].Count);
  }

  void beatWhenTornOrChangedNeverThrows() {
    std::string Bytes = encodeBeat(beat());
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeBeat(Bytes.substr(0, Size)).ok());
    CPPUNIT_ASSERT(!decodeBeat(Bytes + "x").ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Changed = Bytes;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      decodeBeat(Changed).status().IgnoreError();
    }
  }

  void noticeWhenEncodedIsNoBeat() {
    std::string Bytes =
        encodeNotice({"10.0.0.1:8405", EngineCondition::Closed});
    auto Back = decodeNotice(Bytes);
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8405"), Back->EngineAddress);
    CPPUNIT_ASSERT(Back->Condition == EngineCondition::Closed);
    CPPUNIT_ASSERT(!decodeBeat(Bytes).ok());
    CPPUNIT_ASSERT(!decodeNotice(encodeBeat(beat())).ok());
    CPPUNIT_ASSERT(!decodeNotice(Bytes.substr(0, 9)).ok());
  }

  void digestsWhenEncodedHoldAllWords() {
    CPPUNIT_ASSERT(encodeDigests({}).empty());
    std::vector<EngineConditionReport> Words;
    for (uint64_t Key = 0; Key < 400; ++Key)
      Words.push_back({Key, Key % 2 == 0 ? EngineCondition::Closed
                                         : EngineCondition::Straggles});
    std::vector<EngineConditionReport> Back;
    for (const std::string &Bytes : encodeDigests(Words)) {
      CPPUNIT_ASSERT(Bytes.size() <= MaxBeatBytes);
      auto Digest = decodeDigest(Bytes);
      CPPUNIT_ASSERT(Digest.ok());
      Back.insert(Back.end(), Digest->Words.begin(), Digest->Words.end());
    }
    CPPUNIT_ASSERT(Back == Words);
  }

  void digestWhenTornOrChangedNeverThrows() {
    std::vector<EngineConditionReport> Words(3);
    std::string Bytes = encodeDigests(Words).at(0);
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeDigest(Bytes.substr(0, Size)).ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Changed = Bytes;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      decodeDigest(Changed).status().IgnoreError();
    }
  }

  void directoryWhenEncodedComesBack() {
    DirectorySnapshot S{9, {BackendInstance()}};
    S.Instances[0].Id = "i";
    S.Instances[0].IsDraining = true;
    auto Back = decodeDirectory(encodeDirectory(S));
    CPPUNIT_ASSERT(Back.ok());
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), Back->Version);
    CPPUNIT_ASSERT(Back->Instances == S.Instances);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerBeatTest);

} // namespace ragwort::gateway
