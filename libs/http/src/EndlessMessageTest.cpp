//===- EndlessMessageTest.cpp - Peers that write without an end -----------===//
//
// A peer writes bytes that complete no message, until the connection is closed.
// The other side must close it before it has read much, and in time.
//
//===----------------------------------------------------------------------===//
#include "ragwort/http/HttpClient.h"
#include "ragwort/http/HttpServer.h"
#include <boost/asio/read_until.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::http {

using namespace std::chrono_literals;

class EndlessMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessMessageTest);
  CPPUNIT_TEST(answerWhenItNeverEndsIsGivenUp);
  CPPUNIT_TEST(answerWhenItTricklesIsGivenUpInTime);
  CPPUNIT_TEST(answerWhenLargerThanStatedIsGivenUp);
  CPPUNIT_TEST(requestWhenItNeverEndsIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

  /// Bytes that follow each other without an end.
  struct Endless {
    std::string Name;
    std::string First;
    std::string Repeated;
  };

  static constexpr size_t Enough = 64 * MiB;
  // What the system holds of an unread connection, and what is read of it.
  static constexpr size_t MaxTaken = 24 * MiB;
  static constexpr auto Timeout = 1s;

  static std::vector<Endless> bodies(const std::string &Head) {
    const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Block(16 * KiB, 'f');
    return {{"line of a head", Head + "X: ", Block},
            {"fields of a head", Head, "X: y\r\n"},
            {"size of a chunk", Chunked, std::string(16 * KiB, '0')},
            {"extension of a chunk", Chunked + "1;", Block},
            {"chunks", Chunked, "4000\r\n" + Block + "\r\n"},
            {"line of a trailer", Chunked + "0\r\nX: ", Block},
            {"trailers", Chunked + "0\r\n", "X: " + Block + "\r\n"}};
  }

  /// Writes until the peer closes the connection. \returns the bytes written.
  static asio::awaitable<size_t> writeEndless(asio::ip::tcp::socket &Socket,
                                              const Endless &Message,
                                              Duration Pause = Duration(0)) {
    std::string Block = Message.Repeated;
    while (Pause.count() == 0 && Block.size() < 16 * KiB)
      Block += Message.Repeated;
    size_t Written = 0;
    error_code Error;
    co_await asio::async_write(
        Socket, asio::buffer(Message.First),
        asio::redirect_error(asio::use_awaitable, Error));
    while (!Error && Written < Enough) {
      Written += co_await asio::async_write(
          Socket, asio::buffer(Block),
          asio::redirect_error(asio::use_awaitable, Error));
      if (Pause.count() > 0)
        co_await sleepFor(Pause);
    }
    co_return Written;
  }

  /// Calls a server that answers with \p Message. \returns the call's result
  /// and the bytes that the server could write.
  static std::pair<absl::Status, size_t> call(const Endless &Message,
                                              Duration Pause = Duration(0)) {
    asio::io_context Io;
    asio::ip::tcp::acceptor Acceptor(
        Io, endpointOf<asio::ip::tcp>(Address{"127.0.0.1", 0}));
    Address Server{"127.0.0.1", Acceptor.local_endpoint().port()};
    std::pair<absl::Status, size_t> Result;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          auto Socket = co_await Acceptor.async_accept(asio::use_awaitable);
          std::string Request;
          co_await asio::async_read_until(Socket, asio::dynamic_buffer(Request),
                                          "\r\n\r\n", asio::use_awaitable);
          Result.second = co_await writeEndless(Socket, Message, Pause);
        },
        asio::detached);
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          ClientConnection Client(Io.get_executor(), Server);
          auto Answer = co_await Client.exchange(Request(), Timeout, 256 * KiB);
          Result.first = Answer.status();
          Client.close();
        },
        asio::detached);
    Io.run();
    return Result;
  }

public:
  // Guards against a process that runs out of memory while it reads an answer.
  void answerWhenItNeverEndsIsGivenUp() {
    for (const Endless &Message : bodies("HTTP/1.1 200 OK\r\n")) {
      auto [Result, Written] = call(Message);
      CPPUNIT_ASSERT_MESSAGE(Message.Name, !Result.ok());
      CPPUNIT_ASSERT_MESSAGE(Message.Name, Written < MaxTaken);
    }
  }

  // Guards against a call that outlasts its timeout step by step.
  void answerWhenItTricklesIsGivenUpInTime() {
    const std::string Head = "HTTP/1.1 200 OK\r\n";
    for (const Endless &Message :
         {Endless{"body", Head + "Content-Length: 1000\r\n\r\n", "x"},
          Endless{"chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
                  "1\r\nx\r\n"}}) {
      auto Begun = SteadyClock().now();
      auto [Result, Written] = call(Message, 100ms);
      CPPUNIT_ASSERT_MESSAGE(Message.Name, absl::IsDeadlineExceeded(Result));
      CPPUNIT_ASSERT_MESSAGE(Message.Name,
                             SteadyClock().now() - Begun < 2 * Timeout);
    }
  }

  void answerWhenLargerThanStatedIsGivenUp() {
    auto [Result, Written] = call({"body",
                                   "HTTP/1.1 200 OK\r\nContent-Length: "
                                   "1000000000000\r\n\r\n",
                                   std::string(16 * KiB, 'x')});
    CPPUNIT_ASSERT(absl::IsResourceExhausted(Result));
    CPPUNIT_ASSERT(Written < MaxTaken);
  }

  // Guards against a process that runs out of memory while it reads a request.
  void requestWhenItNeverEndsIsGivenUp() {
    for (const Endless &Message : bodies("POST / HTTP/1.1\r\nHost: h\r\n")) {
      asio::io_context Io;
      ServerLimits Limits;
      Limits.MaxBodyBytes = 256 * KiB;
      Limits.IdleTimeout = Timeout;
      Server Listening(
          Io,
          [](Exchange &X) -> asio::awaitable<void> {
            co_await X.respond(makeResponse(200, "text/plain", "ok"));
          },
          Limits);
      CPPUNIT_ASSERT(Listening.listen({"127.0.0.1", 0}).ok());
      auto To =
          endpointOf<asio::ip::tcp>(Address{"127.0.0.1", Listening.port()});
      size_t Written = 0;
      asio::co_spawn(
          Io,
          [&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket Socket(Io);
            co_await Socket.async_connect(To, asio::use_awaitable);
            Written = co_await writeEndless(Socket, Message);
            Listening.stopAccepting();
          },
          asio::detached);
      Io.run();
      CPPUNIT_ASSERT_MESSAGE(Message.Name, Written < MaxTaken);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message.Name, uint64_t(1),
                                   Listening.malformed());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndlessMessageTest);

} // namespace ragwort::http
