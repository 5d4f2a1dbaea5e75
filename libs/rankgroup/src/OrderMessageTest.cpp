//===- OrderMessageTest.cpp - Tests of OrderMessage.h ---------------------===//
#include "ragwort/rankgroup/OrderMessage.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/SetPlanner.h"
#include "ragwort/wire/Archived.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::rankgroup {

class OrderMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderMessageTest);
  CPPUNIT_TEST(orderWhenWithoutMapIsOneDatagram);
  CPPUNIT_TEST(orderWhenMapIsLargeIsAssembledFromItsParts);
  CPPUNIT_TEST(orderWhenMapIsADifferenceIsOneDatagram);
  CPPUNIT_TEST(orderWhenPartsOfTwoAreMixedIsNotAssembled);
  CPPUNIT_TEST(replyWhenEncodedIsDecodedUnchanged);
  CPPUNIT_TEST(protocolWhenMessagesAreEncodedIdentifiesTheirType);
  CPPUNIT_TEST(partWhenTruncatedOrCorruptedNeverThrows);
  CPPUNIT_TEST_SUITE_END();

  static RankOrder prepare(uint32_t Sets, uint32_t Experts, uint32_t Ranks) {
    RankOrder Order;
    Order.Kind = OrderKind::Prepare;
    Order.Epoch = 3;
    Order.Version = 1'000'007;
    for (uint32_t Set = 0; Set < Sets; ++Set)
      Order.Map.At.push_back(roundRobinMap(Experts, Ranks));
    return Order;
  }

  static std::optional<CompleteOrder>
  assembled(const std::vector<std::string> &Datagrams) {
    OrderAssembler Assembler;
    std::optional<CompleteOrder> Assembled;
    for (const std::string &Bytes : Datagrams) {
      CPPUNIT_ASSERT(!Assembled);
      CPPUNIT_ASSERT(Bytes.size() <= MaxAgentDatagramBytes);
      auto Part = decodeOrderPart(Bytes);
      CPPUNIT_ASSERT(Part.ok());
      Assembled = Assembler.add(std::move(*Part));
    }
    return Assembled;
  }

public:
  void orderWhenWithoutMapIsOneDatagram() {
    RankOrder Arm;
    Arm.Kind = OrderKind::Arm;
    Arm.Epoch = 3;
    Arm.Version = 9;
    Arm.Step = 140;
    auto Datagrams = encodeOrder("g", 5, Arm);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Datagrams.size());
    auto Assembled = assembled(Datagrams);
    CPPUNIT_ASSERT(Assembled && Assembled->Order.Kind == OrderKind::Arm);
    CPPUNIT_ASSERT_EQUAL(uint64_t(140), Assembled->Order.Step);
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), Assembled->Order.Version);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Assembled->Order.Epoch);
  }

  void orderWhenMapIsLargeIsAssembledFromItsParts() {
    for (uint32_t Experts : {128u, 600u}) {
      RankOrder Order = prepare(12, Experts, 32);
      auto Datagrams = encodeOrder("group-of-some-name", 5, Order);
      CPPUNIT_ASSERT(Datagrams.size() > 1);
      auto Assembled = assembled(Datagrams);
      CPPUNIT_ASSERT(Assembled && Assembled->Order.Map == Order.Map &&
                     !Assembled->From);
    }
  }

  void orderWhenMapIsADifferenceIsOneDatagram() {
    // 150 experts copied and as many dropped, on 32 ranks with 12 sets.
    RankOrder Before = prepare(12, 128, 32);
    RankOrder After = Before;
    for (size_t I = 0; I < 150; ++I) {
      auto &Rank = After.Map.At[I % 12][I % 31];
      Rank[I % 4] = static_cast<ExpertId>((Rank[I % 4] + 1) % 128);
    }
    ExpertMap Difference = differenceOf(Before.Map, After.Map);
    MapReference From{7, digestOf(After.Map)};
    RankOrder Order = After;
    Order.Map = Difference;
    auto Datagrams = encodeOrder("group-of-some-name", 5, Order, From);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Datagrams.size());
    CPPUNIT_ASSERT(Datagrams[0].size() < 1000);
    auto Assembled = assembled(Datagrams);
    CPPUNIT_ASSERT(Assembled && Assembled->From);
    KnownMaps Maps;
    Maps.add(7, Before.Map);
    auto Found = Maps.resolve(*Assembled->From, Assembled->Order.Map);
    CPPUNIT_ASSERT(Found && digestOf(*Found) == digestOf(After.Map));
  }

  void orderWhenPartsOfTwoAreMixedIsNotAssembled() {
    auto First = encodeOrder("g", 5, prepare(12, 128, 32));
    auto Second = encodeOrder("g", 6, prepare(12, 128, 32));
    std::vector<std::string> Mixed = First;
    Mixed.back() = Second.back();
    CPPUNIT_ASSERT(!assembled(Mixed));
  }

  void replyWhenEncodedIsDecodedUnchanged() {
    auto Decoded =
        decodeReply(encodeReply({"g", 7, 3, 11, OrderAnswer::Accepted}));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(7u, Decoded->Rank);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Decoded->Epoch);
    CPPUNIT_ASSERT_EQUAL(uint64_t(11), Decoded->Number);
    CPPUNIT_ASSERT(Decoded->Answer == OrderAnswer::Accepted);
  }

  void protocolWhenMessagesAreEncodedIdentifiesTheirType() {
    RankOrder Arm;
    Arm.Kind = OrderKind::Arm;
    CPPUNIT_ASSERT(wire::protocolOf(encodeOrder("g", 5, Arm).at(0)) ==
                   OrderPart::Protocol);
    CPPUNIT_ASSERT(wire::protocolOf(encodeReply(OrderReply())) ==
                   OrderReply::Protocol);
    CPPUNIT_ASSERT(wire::protocolOf(encodeMessage(AgentMessage())) ==
                   AgentMessage::Protocol);
    CPPUNIT_ASSERT(!wire::protocolOf("ab"));
  }

  void partWhenTruncatedOrCorruptedNeverThrows() {
    std::string Bytes = encodeOrder("g", 5, prepare(4, 16, 4)).front();
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeOrderPart(Bytes.substr(0, Size)).ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Corrupted = Bytes;
      Corrupted[Random() % Corrupted.size()] = static_cast<char>(Random());
      decodeOrderPart(Corrupted).status().IgnoreError();
      decodeReply(Corrupted).status().IgnoreError();
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OrderMessageTest);

} // namespace ragwort::rankgroup
