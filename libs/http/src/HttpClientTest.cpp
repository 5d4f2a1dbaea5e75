//===- HttpClientTest.cpp - Client of servers that misbehave --------------===//
//
// A server writes more than one answer to a request. Bytes that belong to no
// request must not be taken for the answer to the next one.
//
//===----------------------------------------------------------------------===//
#include "ragwort/http/HttpClient.h"
#include "ScriptedHttpServer.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::http {

using namespace std::chrono_literals;

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(answerWhenWrittenTwiceAtOnceIsNotTheNext);
  CPPUNIT_TEST(answerWhenRepeatedWhileIdleIsNotTheNext);
  CPPUNIT_TEST(answerWhenItNamesAnotherRequestIsAnError);
  CPPUNIT_TEST(answerWhenItNamesNoRequestIsAccepted);
  CPPUNIT_TEST(bodyWhenSentForHeadIsNotTheNextAnswer);
  CPPUNIT_TEST(answerWhenItFollowsAnInterimOneIsNotTheNext);
  CPPUNIT_TEST(answerWhenItsHeadIsBrokenOffIsAnError);
  CPPUNIT_TEST(answerWhenItsStatusIsNotOfHttpIsAnError);
  CPPUNIT_TEST(answerWhenItsFramingIsSpoiledIsAnError);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto TestTimeout = 5s;
  static inline const std::string IdHeader = "Request-Id";
  asio::io_context Io;
  ScriptedHttpServer Server{Io};

  static std::string answer(const std::string &Body,
                            const std::string &Extra = "") {
    return "HTTP/1.1 200 OK\r\n" + Extra +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  static std::string answerTo(const std::string &Id, const std::string &Body) {
    return answer(Body, IdHeader + ": " + Id + "\r\n");
  }

  void run(std::function<asio::awaitable<void>(ClientConnection &)> Test) {
    ClientConnection Client(Io.get_executor(), Server.address(), IdHeader);
    runWith(Io, Server, [&] { return Test(Client); });
  }

  static Request request(const std::string &Id) {
    Request R;
    R.Headers.push_back({IdHeader, Id});
    return R;
  }

public:
  void answerWhenWrittenTwiceAtOnceIsNotTheNext() {
    Server.setScript({answer("first") + answer("copy"), answer("second")});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      auto First = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("first"), First->Body);
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
      CPPUNIT_ASSERT_EQUAL(size_t(2), Server.connections());
    });
  }

  void answerWhenRepeatedWhileIdleIsNotTheNext() {
    Server.setScript({answer("first"), answer("second")});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      auto First = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("first"), First->Body);
      Server.write(0, answer("copy"));
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
      CPPUNIT_ASSERT_EQUAL(size_t(2), Server.connections());
    });
  }

  void answerWhenItNamesAnotherRequestIsAnError() {
    Server.setScript({answerTo("a", "first"), answerTo("a", "copy"),
                      answerTo("c", "third")});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      auto First = co_await Client.exchange(request("a"), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("first"), First->Body);
      auto Second = co_await Client.exchange(request("b"), TestTimeout);
      CPPUNIT_ASSERT(absl::IsDataLoss(Second.status()));
      auto Third = co_await Client.exchange(request("c"), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("third"), Third->Body);
      CPPUNIT_ASSERT_EQUAL(size_t(2), Server.connections());
    });
  }

  void answerWhenItNamesNoRequestIsAccepted() {
    Server.setScript({answer("first"), answerTo("", "second")});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      for (const char *Body : {"first", "second"}) {
        auto R = co_await Client.exchange(request(Body), TestTimeout);
        CPPUNIT_ASSERT_EQUAL(std::string(Body), R->Body);
      }
      CPPUNIT_ASSERT_EQUAL(size_t(1), Server.connections());
    });
  }

  void answerWhenItFollowsAnInterimOneIsNotTheNext() {
    Server.setScript({"HTTP/1.1 102 Processing\r\n\r\n" + answer("first"),
                      answer("second")});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      co_await Client.exchange(Request(), TestTimeout);
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
    });
  }

  // Guards against a success with an empty or short body after a server that
  // stops within its head and closes.
  void answerWhenItsHeadIsBrokenOffIsAnError() {
    const std::string Whole = answerTo("a", "first");
    const size_t HeadSize = Whole.find("\r\n\r\n") + 4;
    for (size_t Cut = 1; Cut < HeadSize; ++Cut)
      Server.Script.push_back([=](const std::string &) {
        return Whole.substr(0, Cut) + ScriptedHttpServer::Close;
      });
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      for (size_t Cut = 1; Cut < HeadSize; ++Cut) {
        auto R = co_await Client.exchange(request("a"), TestTimeout);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Cut), !R.ok());
      }
      CPPUNIT_ASSERT_EQUAL(HeadSize - 1, Server.connections());
    });
  }

  void bodyWhenSentForHeadIsNotTheNextAnswer() {
    Server.setScript({answer(answer("body of HEAD")), answer("second")});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      Request Head;
      Head.Method = "HEAD";
      auto First = co_await Client.exchange(Head, TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string(), First->Body);
      auto Second = co_await Client.exchange(Request(), TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("second"), Second->Body);
    });
  }

  // Guards against status 000 that counts as an answer.
  void answerWhenItsStatusIsNotOfHttpIsAnError() {
    for (const char *Status : {"000", "099", "101", "600", "999", "2x0"})
      Server.Script.push_back([Status](const std::string &) {
        return "HTTP/1.1 " + std::string(Status) +
               " X\r\nContent-Length: 0\r\n\r\n";
      });
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      while (!Server.Script.empty()) {
        auto Answer = co_await Client.exchange(Request(), TestTimeout);
        CPPUNIT_ASSERT(!Answer.ok());
        Client.close();
      }
    });
  }

  // Guards against a part of a body that counts as the whole one.
  void answerWhenItsFramingIsSpoiledIsAnError() {
    Server.setScript({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n12",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkee\r\n\r\n"
                      "1\r\nx\r\n0\r\n\r\n"});
    run([&](ClientConnection &Client) -> asio::awaitable<void> {
      while (!Server.Script.empty()) {
        auto Answer = co_await Client.exchange(Request(), TestTimeout);
        CPPUNIT_ASSERT(absl::IsDataLoss(Answer.status()));
        Client.close();
      }
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace ragwort::http
