//===- DatagramSocketTest.cpp - Tests of DatagramSocket.h -----------------===//
#include "ragwort/transport/DatagramSocket.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class DatagramSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramSocketTest);
  CPPUNIT_TEST(datagramWhenSentArrivesWithItsSender);
  CPPUNIT_TEST(datagramWhenTooLargeArrivesWithOneByteMoreThanMax);
  CPPUNIT_TEST(listenWhenPortIsTakenNamesIt);
  CPPUNIT_TEST(receiverWhenASendFailedKeepsReceiving);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t MaxBytes = 100;

  /// A free port of the loopback address that no other socket of the test uses.
  static uint16_t freePort() {
    asio::io_context Io;
    asio::ip::udp::socket Probe(
        Io, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return Probe.local_endpoint().port();
  }

  asio::io_context Io;
  std::vector<std::string> Received;
  Address Sender;
  std::unique_ptr<DatagramSocket> Receiver;
  Address ReceiverAddress;

  std::unique_ptr<DatagramSocket> makeSocket() {
    return std::make_unique<DatagramSocket>(
        Io.get_executor(), MaxBytes,
        [this](std::string_view Bytes, const Address &From) {
          Received.emplace_back(Bytes);
          Sender = From;
        });
  }

  void runUntilReceived(size_t Count) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (Received.size() < Count && std::chrono::steady_clock::now() < End)
      Io.run_for(std::chrono::milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(Count, Received.size());
  }

public:
  void setUp() override {
    Received.clear();
    Receiver = makeSocket();
    ReceiverAddress = {"127.0.0.1", freePort()};
    CPPUNIT_ASSERT(Receiver->listen(ReceiverAddress).ok());
  }

  void tearDown() override {
    Receiver->close();
    Io.run_for(std::chrono::milliseconds(1));
    Receiver.reset();
  }

  void datagramWhenSentArrivesWithItsSender() {
    auto From = makeSocket();
    Address FromAddress{"127.0.0.1", freePort()};
    CPPUNIT_ASSERT(From->listen(FromAddress).ok());
    CPPUNIT_ASSERT(From->send("hello", ReceiverAddress));
    runUntilReceived(1);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), Received[0]);
    CPPUNIT_ASSERT_EQUAL(toString(FromAddress), toString(Sender));
    From->close();
    Io.run_for(std::chrono::milliseconds(1));
  }

  void datagramWhenTooLargeArrivesWithOneByteMoreThanMax() {
    auto From = makeSocket();
    CPPUNIT_ASSERT(From->openForSending().ok());
    CPPUNIT_ASSERT(From->send(std::string(500, 'x'), ReceiverAddress));
    runUntilReceived(1);
    CPPUNIT_ASSERT_EQUAL(MaxBytes + 1, Received[0].size());
  }

  void listenWhenPortIsTakenNamesIt() {
    absl::Status Taken = makeSocket()->listen(ReceiverAddress);
    CPPUNIT_ASSERT(!Taken.ok());
    CPPUNIT_ASSERT(
        std::string(Taken.message()).find(toString(ReceiverAddress)) !=
        std::string::npos);
  }

  void receiverWhenASendFailedKeepsReceiving() {
    // Nothing listens on that port; the ICMP error is reported to the socket.
    Receiver->send("lost", {"127.0.0.1", freePort()});
    Io.run_for(std::chrono::milliseconds(5));
    auto From = makeSocket();
    CPPUNIT_ASSERT(From->openForSending().ok());
    From->send("after", ReceiverAddress);
    runUntilReceived(1);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DatagramSocketTest);

} // namespace ragwort
