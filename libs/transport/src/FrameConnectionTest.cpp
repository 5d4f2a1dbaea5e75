//===- FrameConnectionTest.cpp - Tests of the frame transport -------------===//
//
// Client and server in one process over loopback; the system chooses the port.
//
//===----------------------------------------------------------------------===//
#include "ragwort/transport/FrameServer.h"
#include "ragwort/transport/PeerChannel.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

using namespace std::chrono_literals;

class FrameConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameConnectionTest);
  CPPUNIT_TEST(streamsWhenAnswersAreReorderedReceiveTheirOwn);
  CPPUNIT_TEST(channelWhenPeerClosesEndsEveryStream);
  CPPUNIT_TEST(channelWhenKeyDiffersCannotConnect);
  CPPUNIT_TEST(channelWhenNodeIsAnotherRefusesIt);
  CPPUNIT_TEST(serverWhenDataIsMalformedCountsItAndKeepsAccepting);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto TestTimeout = 30s;
  const wire::Keyring Keys{{1, "0123456789abcdef"}};
  asio::io_context Io;
  std::vector<std::shared_ptr<FrameConnection>> Accepted;
  // The server collects requests and answers them in reverse order.
  std::vector<wire::StartRequest> PendingRequests;
  size_t AnswerAfter = 1;
  bool CloseInstead = false;

  FrameServer Server{Io, Keys, helloOf("server"),
                     [this](std::shared_ptr<FrameConnection> Connection,
                            const wire::Hello &) { serve(Connection); }};

  static wire::Hello helloOf(const char *Node) {
    wire::Hello Hello;
    Hello.Node = Node;
    Hello.Incarnation = 5;
    return Hello;
  }

  void serve(const std::shared_ptr<FrameConnection> &Connection) {
    Accepted.push_back(Connection);
    Connection->start(
        [this, Connection](wire::Message &&M) {
          PendingRequests.push_back(std::get<wire::StartRequest>(M));
          if (PendingRequests.size() < AnswerAfter)
            return;
          if (CloseInstead)
            return Connection->close();
          for (auto It = PendingRequests.rbegin(); It != PendingRequests.rend();
               ++It) {
            wire::Answer Answer;
            Answer.Stream = It->Stream;
            Answer.Body = "echo " + It->Body;
            Connection->send(Answer);
          }
        },
        [](const absl::Status &) {});
  }

  std::shared_ptr<PeerChannel> channel(const wire::Keyring &With,
                                       const char *Name = "server") {
    return std::make_shared<PeerChannel>(
        Io, Address{"127.0.0.1", Server.port()}, Name, With, helloOf("client"));
  }

  /// Runs \p Body as a coroutine until it ends.
  template <class Body> void run(Body Test) {
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          co_await Test();
          Io.stop();
        },
        [](std::exception_ptr Error) {
          if (Error)
            std::rethrow_exception(Error);
        });
    Io.run();
  }

public:
  void setUp() override {
    CPPUNIT_ASSERT(Server.listen({"127.0.0.1", 0}).ok());
  }

  void streamsWhenAnswersAreReorderedReceiveTheirOwn() {
    AnswerAfter = 50;
    run([&]() -> asio::awaitable<void> {
      auto Channel = channel(Keys);
      CPPUNIT_ASSERT((co_await Channel->connect(TestTimeout)).ok());
      std::vector<std::shared_ptr<StreamBox>> Boxes;
      auto Executor = co_await asio::this_coro::executor;
      for (int I = 0; I < 50; ++I) {
        Boxes.push_back(std::make_shared<StreamBox>(Executor, 8));
        wire::StartRequest Request;
        Request.Stream = Channel->open(Boxes.back());
        Request.Body = std::to_string(I);
        CPPUNIT_ASSERT(Channel->send(Request));
      }
      for (int I = 0; I < 50; ++I) {
        auto M = co_await Boxes[I]->receive(std::chrono::steady_clock::now() +
                                            TestTimeout);
        CPPUNIT_ASSERT_EQUAL("echo " + std::to_string(I),
                             std::get<wire::Answer>(M.value()).Body);
      }
    });
  }

  void channelWhenPeerClosesEndsEveryStream() {
    CloseInstead = true;
    run([&]() -> asio::awaitable<void> {
      auto Channel = channel(Keys);
      CPPUNIT_ASSERT((co_await Channel->connect(TestTimeout)).ok());
      auto Box =
          std::make_shared<StreamBox>(co_await asio::this_coro::executor, 8);
      wire::StartRequest Request;
      Request.Stream = Channel->open(Box);
      Channel->send(Request);
      auto M =
          co_await Box->receive(std::chrono::steady_clock::now() + TestTimeout);
      CPPUNIT_ASSERT(absl::IsUnavailable(M.status()));
      CPPUNIT_ASSERT(!Channel->isConnected());
    });
  }

  void channelWhenKeyDiffersCannotConnect() {
    run([&]() -> asio::awaitable<void> {
      auto Channel = channel(wire::Keyring{{1, "another-secret-key"}});
      CPPUNIT_ASSERT(!(co_await Channel->connect(TestTimeout)).ok());
    });
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Server.rejected());
  }

  void channelWhenNodeIsAnotherRefusesIt() {
    run([&]() -> asio::awaitable<void> {
      auto Channel = channel(Keys, "someone-else");
      absl::StatusOr<wire::Hello> Hello =
          co_await Channel->connect(TestTimeout);
      CPPUNIT_ASSERT(absl::IsFailedPrecondition(Hello.status()));
    });
  }

  void serverWhenDataIsMalformedCountsItAndKeepsAccepting() {
    run([&]() -> asio::awaitable<void> {
      asio::ip::tcp::socket Socket(Io);
      error_code Error;
      // g++ 12 destroys braced temporaries in a co_await expression twice.
      Address Peer{"127.0.0.1", Server.port()};
      co_await Socket.async_connect(
          endpointOf<asio::ip::tcp>(Peer),
          asio::redirect_error(asio::use_awaitable, Error));
      std::string Malformed = "GET / HTTP/1.1\r\n\r\n";
      co_await asio::async_write(
          Socket, asio::buffer(Malformed),
          asio::redirect_error(asio::use_awaitable, Error));
      char Byte = 0;
      co_await Socket.async_read_some(
          asio::buffer(&Byte, 1),
          asio::redirect_error(asio::use_awaitable, Error));
      CPPUNIT_ASSERT(Error); // The server closed the connection.
      auto Channel = channel(Keys);
      CPPUNIT_ASSERT((co_await Channel->connect(TestTimeout)).ok());
    });
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Server.rejected());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrameConnectionTest);

} // namespace ragwort
