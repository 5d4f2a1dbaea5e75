//===- HttpServerTest.cpp - Tests of server and client --------------------===//
#include "ragwort/http/HttpServer.h"
#include "ragwort/http/HttpClient.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

namespace ragwort::http {

using namespace std::chrono_literals;

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(requestWhenCompleteIsAnswered);
  CPPUNIT_TEST(streamWhenFinishedIsReadToItsEnd);
  CPPUNIT_TEST(streamWhenNotFinishedIsAnErrorForTheClient);
  CPPUNIT_TEST(requestWhenMalformedGetsAProblemDocument);
  CPPUNIT_TEST(requestWhenBodyIsTooLargeGets413);
  CPPUNIT_TEST(requestWhenHeaderIsTooLongGets431);
  CPPUNIT_TEST(requestWhenItsEndIsOpenGets400AndHidesNoOther);
  CPPUNIT_TEST(responseWhenWithoutLengthOrChunksIsDataLoss);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto TestTimeout = 30s;
  asio::io_context Io;
  Handler OnRequest;
  std::unique_ptr<Server> Subject;

  void serve(Handler H) {
    ServerLimits Limits;
    Limits.MaxBodyBytes = 1000;
    Limits.MaxHeaderBytes = 2000;
    OnRequest = std::move(H);
    Subject = std::make_unique<Server>(Io, OnRequest, Limits);
    CPPUNIT_ASSERT(Subject->listen({"127.0.0.1", 0}).ok());
  }

  Address server() const { return {"127.0.0.1", Subject->port()}; }

  static asio::awaitable<void> echo(Exchange &X) {
    Response R = makeResponse(200, "text/plain",
                              X.request().Method + " " + X.request().Target +
                                  " " + X.request().Body);
    co_await X.respond(std::move(R));
  }

  void run(std::function<asio::awaitable<void>()> Test) {
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

  /// Sends raw bytes and returns what the server sends until it closes.
  asio::awaitable<std::string> sendRaw(std::string Bytes) {
    asio::ip::tcp::socket Socket(Io);
    auto Endpoint = endpointOf<asio::ip::tcp>(server());
    error_code Error;
    co_await Socket.async_connect(
        Endpoint, asio::redirect_error(asio::use_awaitable, Error));
    co_await asio::async_write(
        Socket, asio::buffer(Bytes),
        asio::redirect_error(asio::use_awaitable, Error));
    std::string Reply;
    while (!Error) {
      char Buffer[512];
      size_t Count = co_await Socket.async_read_some(
          asio::buffer(Buffer),
          asio::redirect_error(asio::use_awaitable, Error));
      Reply.append(Buffer, Count);
    }
    co_return Reply;
  }

public:
  void requestWhenCompleteIsAnswered() {
    serve(echo);
    run([&]() -> asio::awaitable<void> {
      ClientConnection Client(Io.get_executor(), server());
      for (int I = 0; I < 3; ++I) {
        Request Req;
        Req.Method = "POST";
        Req.Target = "/p?q=1";
        Req.Body = std::to_string(I);
        auto R = co_await Client.exchange(Req, TestTimeout);
        CPPUNIT_ASSERT_EQUAL("POST /p?q=1 " + std::to_string(I), R->Body);
      }
      CPPUNIT_ASSERT_EQUAL(size_t(1), Subject->connections());
    });
  }

  void streamWhenFinishedIsReadToItsEnd() {
    serve([](Exchange &X) -> asio::awaitable<void> {
      ResponseHead Head;
      co_await X.startStream(Head);
      co_await X.writeChunk("one ");
      co_await X.writeChunk("two");
      co_await X.finishStream();
    });
    run([&]() -> asio::awaitable<void> {
      Request Req;
      auto R = co_await fetch(server(), Req, TestTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("one two"), R->Body);
    });
  }

  void streamWhenNotFinishedIsAnErrorForTheClient() {
    serve([](Exchange &X) -> asio::awaitable<void> {
      ResponseHead Head;
      co_await X.startStream(Head);
      co_await X.writeChunk("one ");
    });
    run([&]() -> asio::awaitable<void> {
      Request Req;
      auto R = co_await fetch(server(), Req, TestTimeout);
      CPPUNIT_ASSERT(!R.ok());
    });
  }

  void requestWhenMalformedGetsAProblemDocument() {
    serve(echo);
    run([&]() -> asio::awaitable<void> {
      for (const char *Text :
           {"NONSENSE\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
            "GET / HTTP/1.1\r\nbad header\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"}) {
        std::string Reply = co_await sendRaw(Text);
        CPPUNIT_ASSERT_MESSAGE(Reply, Reply.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(Reply.find("Ragwort-Outcome: not-run") !=
                       std::string::npos);
      }
    });
  }

  void requestWhenBodyIsTooLargeGets413() {
    serve(echo);
    run([&]() -> asio::awaitable<void> {
      std::string Reply =
          co_await sendRaw("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Reply, Reply.starts_with("HTTP/1.1 413"));
    });
  }

  void requestWhenHeaderIsTooLongGets431() {
    serve(echo);
    run([&]() -> asio::awaitable<void> {
      std::string Reply =
          co_await sendRaw("GET / HTTP/1.1\r\nX: " + std::string(3000, 'x'));
      CPPUNIT_ASSERT_MESSAGE(Reply, Reply.starts_with("HTTP/1.1 431"));
    });
  }

  // Guards against requests that hide in the body of another one.
  void requestWhenItsEndIsOpenGets400AndHidesNoOther() {
    serve(echo);
    run([&]() -> asio::awaitable<void> {
      std::string Reply = co_await sendRaw(
          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n"
          "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Reply, Reply.starts_with("HTTP/1.1 400"));
      CPPUNIT_ASSERT_EQUAL(Reply.find("HTTP/1.1"), Reply.rfind("HTTP/1.1"));
    });
  }

  void responseWhenWithoutLengthOrChunksIsDataLoss() {
    asio::ip::tcp::acceptor Acceptor(
        Io, endpointOf<asio::ip::tcp>(Address{"127.0.0.1", 0}));
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          auto Socket = co_await Acceptor.async_accept(asio::use_awaitable);
          std::string Reply = "HTTP/1.1 200 OK\r\n\r\npartial";
          co_await asio::async_write(Socket, asio::buffer(Reply),
                                     asio::use_awaitable);
        },
        asio::detached);
    run([&]() -> asio::awaitable<void> {
      Address Server{"127.0.0.1", Acceptor.local_endpoint().port()};
      Request Req;
      auto R = co_await fetch(Server, Req, TestTimeout);
      CPPUNIT_ASSERT(absl::IsDataLoss(R.status()));
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace ragwort::http
