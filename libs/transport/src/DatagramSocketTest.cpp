//===- DatagramSocketTest.cpp - Tests of DatagramSocket.h -----------------===//
#include "ragwort/transport/DatagramSocket.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class DatagramSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramSocketTest);
  CPPUNIT_TEST(datagramWhenSentArrivesWithItsSender);
  CPPUNIT_TEST(datagramWhenTooLargeIsSeenToBe);
  CPPUNIT_TEST(listenWhenPortIsTakenNamesIt);
  CPPUNIT_TEST(receiverWhenASendFailedGoesOn);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t MaxBytes = 100;

  /// A free port of the loopback address, known to nobody else in this test.
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
  Address At;

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
    At = {"127.0.0.1", freePort()};
    CPPUNIT_ASSERT(Receiver->listen(At).ok());
  }

  void tearDown() override {
    Receiver->close();
    Io.run_for(std::chrono::milliseconds(1));
    Receiver.reset();
  }

  void datagramWhenSentArrivesWithItsSender() {
    auto From = makeSocket();
    Address FromAt{"127.0.0.1", freePort()};
    CPPUNIT_ASSERT(From->listen(FromAt).ok());
    CPPUNIT_ASSERT(From->send("hello", At));
    runUntilReceived(1);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), Received[0]);
    CPPUNIT_ASSERT_EQUAL(toString(FromAt), toString(Sender));
    From->close();
    Io.run_for(std::chrono::milliseconds(1));
  }

  void datagramWhenTooLargeIsSeenToBe() {
    auto From = makeSocket();
    CPPUNIT_ASSERT(From->openForSending().ok());
    CPPUNIT_ASSERT(From->send(std::string(500, 'x'), At));
    runUntilReceived(1);
    CPPUNIT_ASSERT_EQUAL(MaxBytes + 1, Received[0].size());
  }

  void listenWhenPortIsTakenNamesIt() {
    absl::Status Taken = makeSocket()->listen(At);
    CPPUNIT_ASSERT(!Taken.ok());
    CPPUNIT_ASSERT(std::string(Taken.message()).find(toString(At)) !=
                   std::string::npos);
  }

  void receiverWhenASendFailedGoesOn() {
    // Nobody listens there; the refusal comes back to the socket.
    Receiver->send("lost", {"127.0.0.1", freePort()});
    Io.run_for(std::chrono::milliseconds(5));
    auto From = makeSocket();
    CPPUNIT_ASSERT(From->openForSending().ok());
    From->send("after", At);
    runUntilReceived(1);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DatagramSocketTest);

} // namespace ragwort
