//===- CodecTest.cpp - Tests of Codec.h -----------------------------------===//
#include "ragwort/wire/Codec.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::wire {

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(frameWhenSentArrivesUnchanged);
  CPPUNIT_TEST(frameWhenReplayedIsRefused);
  CPPUNIT_TEST(frameWhenSignedWithAnotherKeyIsRefused);
  CPPUNIT_TEST(frameWhenFromAnotherSessionIsRefused);
  CPPUNIT_TEST(lengthWhenForgedIsRefusedBeforeAllocation);
  CPPUNIT_TEST(parserWhenFedMutationsNeverThrows);
  CPPUNIT_TEST(heartbeatWhenTruncatedIsRefused);
  CPPUNIT_TEST_SUITE_END();

  const Keyring Keys{{1, "key"}};
  FrameCodec Client{Keys, Direction::FromClient};
  FrameCodec Server{Keys, Direction::FromServer};

  static std::string_view withoutLength(const std::string &Frame) {
    return std::string_view(Frame).substr(LengthBytes);
  }

  static StartRequest sampleRequest() {
    StartRequest Request;
    Request.Stream = 7;
    Request.RequestId = "r-1";
    Request.Attempt = {11, 12};
    Request.Method = "POST";
    Request.Target = "/portal/certificates";
    Request.Headers = {{"Content-Type", "application/json"}};
    Request.Body = "{\"plant\":4}";
    return Request;
  }

public:
  void frameWhenSentArrivesUnchanged() {
    std::string Frame = Client.encode(sampleRequest()).value();
    size_t Length = parseFrameLength(Frame.substr(0, LengthBytes)).value();
    CPPUNIT_ASSERT_EQUAL(Frame.size() - LengthBytes, Length);
    Message M = Server.decode(withoutLength(Frame)).value();
    const auto &Request = std::get<StartRequest>(M);
    CPPUNIT_ASSERT_EQUAL(uint64_t(7), Request.Stream);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"plant\":4}"), Request.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("application/json"),
                         Request.Headers[0].Value);
  }

  void frameWhenReplayedIsRefused() {
    std::string Frame = Client.encode(sampleRequest()).value();
    CPPUNIT_ASSERT(Server.decode(withoutLength(Frame)).ok());
    CPPUNIT_ASSERT(!Server.decode(withoutLength(Frame)).ok());
  }

  void frameWhenSignedWithAnotherKeyIsRefused() {
    FrameCodec OtherClient(Keyring{{1, "other"}}, Direction::FromClient);
    std::string Frame = OtherClient.encode(sampleRequest()).value();
    CPPUNIT_ASSERT_EQUAL(
        int(absl::StatusCode::kUnauthenticated),
        int(Server.decode(withoutLength(Frame)).status().code()));
  }

  void frameWhenFromAnotherSessionIsRefused() {
    Client.startSession("c1", "s1");
    Server.startSession("c1", "s2");
    std::string Frame = Client.encode(sampleRequest()).value();
    CPPUNIT_ASSERT(!Server.decode(withoutLength(Frame)).ok());
  }

  void lengthWhenForgedIsRefusedBeforeAllocation() {
    CPPUNIT_ASSERT(!parseFrameLength(std::string("\xff\xff\xff\xff")).ok());
    std::string Payload = serializeMessage(sampleRequest()).value();
    // The request id's length prefix follows the variant index and stream.
    size_t Position = Payload.find("r-1") - 8;
    for (size_t I = 0; I < 8; ++I)
      Payload[Position + I] = '\x7f';
    CPPUNIT_ASSERT(!parseMessage(Payload).ok());
  }

  void parserWhenFedMutationsNeverThrows() {
    std::mt19937_64 Random(42);
    const std::string Original = serializeMessage(sampleRequest()).value();
    for (int Round = 0; Round < 20000; ++Round) {
      std::string Bytes = Original;
      size_t Edits = 1 + Random() % 4;
      for (size_t I = 0; I < Edits; ++I)
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      if (Random() % 2)
        Bytes.resize(Random() % Bytes.size());
      // Both success and an error are valid; an exception fails the test.
      (void)parseMessage(Bytes).ok();
    }
  }

  void heartbeatWhenTruncatedIsRefused() {
    DatagramCodec Codec(Keys);
    Heartbeat H;
    H.Node = "agent-1";
    std::string Datagram = Codec.encode(H).value();
    CPPUNIT_ASSERT(Codec.decode(Datagram).ok());
    for (size_t Size = 0; Size < Datagram.size(); ++Size)
      CPPUNIT_ASSERT(!Codec.decode(Datagram.substr(0, Size)).ok());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace ragwort::wire
