//===- HttpClientTest.cpp - Client of servers that misbehave --------------===//
//
// A server writes more than one answer to a request. Bytes that belong to no
// request must not be taken for the answer to the next one.
//
//===----------------------------------------------------------------------===//
#include "ragwort/http/HttpClient.h"
#include <boost/asio/read_until.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <functional>

namespace ragwort::http {

using namespace std::chrono_literals;

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(answerWhenWrittenTwiceAtOnceIsNotTheNext);
  CPPUNIT_TEST(answerWhenRepeatedWhileIdleIsNotTheNext);
  CPPUNIT_TEST(bodyWhenSentForHeadIsNotTheNextAnswer);
  CPPUNIT_TEST(answerWhenItFollowsAnInterimOneIsNotTheNext);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto TestTimeout = 5s;
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor{
      Io, endpointOf<asio::ip::tcp>(Address{"127.0.0.1", 0})};
  // What the server writes for each request.
  std::deque<std::string> Script;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Sockets;

  static std::string answer(const std::string &Body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  asio::awaitable<void> serve(asio::ip::tcp::socket &Socket) {
    std::string Request;
    error_code Error;
    while (!Error) {
      size_t End = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error || Script.empty())
        co_return;
      Request.erase(0, End);
      std::string Text = Script.front();
      Script.pop_front();
      co_await asio::async_write(
          Socket, asio::buffer(Text),
          asio::redirect_error(asio::use_awaitable, Error));
    }
  }

  void accept() {
    Acceptor.async_accept([this](error_code Error, asio::ip::tcp::socket S) {
      if (Error)
        return;
      Sockets.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(S)));
      asio::co_spawn(Io, serve(*Sockets.back()), asio::detached);
      accept();
    });
  }

  void run(std::function<asio::awaitable<void>(ClientConnection &)> Test) {
    accept();
    ClientConnection Client(
        Io.get_executor(),
        Address{"127.0.0.1", Acceptor.local_endpoint().port()});
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          co_await Test(Client);
          Io.stop();
        },
        [](std::exception_ptr Error) {
          if (Error)
            std::rethrow_exception(Error);
        });
    Io.run();
    Io.restart();
    for (auto &Each : Sockets)
      Each->close();
    Acceptor.close();
    Io.run();
  }

public:
  void answerWhenWrittenTwiceAtOnceIsNotTheNext() {
    Script = {answer("first") + answer("copy"), answer("second")};
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      auto First = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("first"), First->Body);
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
      CPPUNIT_ASSERT_EQUAL(size_t(2), Sockets.size());
    });
  }

  void answerWhenRepeatedWhileIdleIsNotTheNext() {
    Script = {answer("first"), answer("second")};
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      auto First = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("first"), First->Body);
      asio::write(*Sockets.front(), asio::buffer(answer("copy")));
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
      CPPUNIT_ASSERT_EQUAL(size_t(2), Sockets.size());
    });
  }

  void answerWhenItFollowsAnInterimOneIsNotTheNext() {
    Script = {"HTTP/1.1 102 Processing\r\n\r\n" + answer("first"),
              answer("second")};
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      co_await Client.exchange(Request(), TestTimeout);
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
    });
  }

  void bodyWhenSentForHeadIsNotTheNextAnswer() {
    Script = {answer(answer("body of HEAD")), answer("second")};
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      Request Head;
      Head.Method = "HEAD";
      auto First = co_await Client.exchange(Head, TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string(), First->Body);
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace ragwort::http
