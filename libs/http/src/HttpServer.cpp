//===- HttpServer.cpp - Server connections over Boost.Beast ---------------===//
#include "ragwort/http/HttpServer.h"
#include "ragwort/http/MessageForm.h"
#include "ragwort/transport/Listen.h"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace ragwort::http {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using namespace std::chrono_literals;

constexpr Duration AcceptRetryDelay = 50ms;

std::string problemBody(unsigned Status, std::string_view Detail) {
  return "{\"type\":\"about:blank\",\"title\":\"bad-request\",\"status\":" +
         std::to_string(Status) + ",\"detail\":\"" + std::string(Detail) +
         "\",\"outcome\":\"not-run\"}\n";
}

} // namespace

class Session;

struct ServerState : std::enable_shared_from_this<ServerState> {
  ServerState(asio::io_context &Io, Handler OnRequest, ServerLimits Limits)
      : Io(Io), OnRequest(std::move(OnRequest)), Limits(Limits),
        Acceptor(asio::make_strand(Io)) {}

  asio::awaitable<void> acceptLoop();

  asio::io_context &Io;
  const Handler OnRequest;
  const ServerLimits Limits;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<uint16_t> Port = 0;
  std::atomic<bool> IsStopping = false;
  std::atomic<size_t> Active = 0;
  std::atomic<uint64_t> Malformed = 0;
  mutable std::mutex Mutex; // Leaf lock. Guards Sessions.
  std::set<Session *> Sessions;
};

/// One connection from a caller.
class Session final : public Exchange,
                      public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket Socket, std::shared_ptr<ServerState> Owner)
      : Stream(std::move(Socket)), Owner(std::move(Owner)) {
    error_code Ignored;
    Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
    std::lock_guard Lock(this->Owner->Mutex);
    this->Owner->Sessions.insert(this);
  }

  ~Session() override {
    std::lock_guard Lock(Owner->Mutex);
    Owner->Sessions.erase(this);
  }

  asio::awaitable<void> run() {
    auto KeepAlive = shared_from_this();
    while (IsOpen && co_await readRequest()) {
      ++Owner->Active;
      IsAnswered = false;
      co_await Owner->OnRequest(*this);
      --Owner->Active;
      if (!IsAnswered || !KeepConnection)
        break;
    }
    close();
  }

  void closeIfIdle() {
    asio::post(Stream.get_executor(), [Self = shared_from_this()] {
      if (Self->IsIdle)
        Self->close();
    });
  }

  const Request &request() const override { return Current; }
  asio::any_io_executor executor() override { return Stream.get_executor(); }

  asio::awaitable<bool> respond(Response R) override {
    bhttp::response<bhttp::string_body> Message(
        bhttp::int_to_status(R.Head.Status), 11, std::move(R.Body));
    fillHead(Message, R.Head);
    if (isHead(Current.Method)) {
      // A HEAD response announces the length but carries no body.
      auto Length = Message.body().size();
      Message.body().clear();
      Message.content_length(Length);
    } else if (R.Head.Status != 204 && R.Head.Status != 304) {
      Message.prepare_payload();
    }
    IsAnswered = true;
    Stream.expires_after(Owner->Limits.WriteTimeout);
    error_code Error;
    bhttp::response_serializer<bhttp::string_body> Serializer(Message);
    co_await bhttp::async_write(
        Stream, Serializer, asio::redirect_error(asio::use_awaitable, Error));
    co_return !failed(Error);
  }

  asio::awaitable<bool> startStream(ResponseHead Head) override {
    bhttp::response<bhttp::empty_body> Message(
        bhttp::int_to_status(Head.Status), 11);
    fillHead(Message, Head);
    Message.chunked(true);
    Stream.expires_after(Owner->Limits.WriteTimeout);
    error_code Error;
    bhttp::response_serializer<bhttp::empty_body> Serializer(Message);
    co_await bhttp::async_write_header(
        Stream, Serializer, asio::redirect_error(asio::use_awaitable, Error));
    co_return !failed(Error);
  }

  asio::awaitable<bool> writeChunk(std::string_view Data) override {
    if (Data.empty())
      co_return IsOpen;
    Stream.expires_after(Owner->Limits.WriteTimeout);
    error_code Error;
    auto Chunk = bhttp::make_chunk(asio::buffer(Data.data(), Data.size()));
    co_await asio::async_write(
        Stream, Chunk, asio::redirect_error(asio::use_awaitable, Error));
    co_return !failed(Error);
  }

  asio::awaitable<bool> finishStream() override {
    IsAnswered = true;
    Stream.expires_after(Owner->Limits.WriteTimeout);
    error_code Error;
    auto Last = bhttp::make_chunk_last();
    co_await asio::async_write(
        Stream, Last, asio::redirect_error(asio::use_awaitable, Error));
    co_return !failed(Error);
  }

private:
  template <class Message>
  void fillHead(Message &Target, const ResponseHead &Head) {
    for (const HeaderField &Field : Head.Headers)
      Target.insert(Field.Name, Field.Value);
    if (Owner->IsStopping)
      KeepConnection = false;
    Target.keep_alive(KeepConnection);
  }

  bool failed(const error_code &Error) {
    if (Error)
      IsOpen = false;
    return static_cast<bool>(Error);
  }

  asio::awaitable<bool> readRequest() {
    bhttp::request_parser<bhttp::string_body> Parser;
    Parser.body_limit(Owner->Limits.MaxBodyBytes);
    Parser.header_limit(Owner->Limits.MaxHeaderBytes);
    Stream.expires_after(Owner->Limits.IdleTimeout);
    error_code Error;
    IsIdle = Buffer.size() == 0;
    if (IsIdle) {
      // Wait for the first bytes in a separate read, so that closing an idle
      // connection never cuts off a request of which a part has arrived.
      auto Space = Buffer.prepare(4096);
      size_t Count = co_await Stream.async_read_some(
          Space, asio::redirect_error(asio::use_awaitable, Error));
      IsIdle = false;
      if (failed(Error))
        co_return false;
      Buffer.commit(Count);
    }
    co_await bhttp::async_read(
        Stream, Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error) {
      co_await refuse(Error);
      co_return false;
    }
    storeRequest(Parser.release());
    if (!framingFault(Current.Headers).empty()) {
      co_await refuse(bhttp::error::bad_value);
      co_return false;
    }
    co_return true;
  }

  void storeRequest(bhttp::request<bhttp::string_body> &&Message) {
    KeepConnection = Message.keep_alive();
    Current = Request();
    Current.Method = std::string(Message.method_string());
    Current.Target = std::string(Message.target());
    for (const auto &Field : Message)
      Current.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Current.Body = std::move(Message.body());
  }

  /// Answers a malformed request with the reason, unless the connection failed.
  asio::awaitable<void> refuse(error_code Error) {
    IsOpen = false;
    if (Error.category() !=
        make_error_code(bhttp::error::end_of_stream).category())
      co_return;
    if (Error == bhttp::error::end_of_stream ||
        Error == bhttp::error::partial_message)
      co_return;
    ++Owner->Malformed;
    unsigned Status = 400;
    if (Error == bhttp::error::body_limit)
      Status = 413;
    else if (Error == bhttp::error::header_limit ||
             Error == bhttp::error::buffer_overflow)
      Status = 431;
    Response R = makeResponse(Status, "application/problem+json",
                              problemBody(Status, Error.message()));
    R.Head.Headers.push_back({"Ragwort-Outcome", "not-run"});
    Current = Request();
    KeepConnection = false;
    co_await respond(std::move(R));
  }

  void close() {
    IsOpen = false;
    error_code Ignored;
    Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Stream.close();
  }

  // The members below are used on the strand only.
  beast::tcp_stream Stream;
  // A message whose framing does not fit is refused.
  beast::flat_buffer Buffer{MaxUnfinishedFramingBytes};
  std::shared_ptr<ServerState> Owner;
  Request Current;
  bool IsOpen = true;
  bool IsIdle = false;
  bool IsAnswered = false;
  bool KeepConnection = true;
};

asio::awaitable<void> ServerState::acceptLoop() {
  auto KeepAlive = shared_from_this();
  while (Acceptor.is_open()) {
    error_code Error;
    asio::ip::tcp::socket Socket = co_await Acceptor.async_accept(
        asio::make_strand(Io),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      co_await sleepFor(AcceptRetryDelay);
      continue;
    }
    size_t Open = 0;
    {
      std::lock_guard Lock(Mutex);
      Open = Sessions.size();
    }
    if (Open >= Limits.MaxConnections)
      continue;
    auto Executor = Socket.get_executor();
    auto NewSession = std::make_shared<Session>(std::move(Socket), KeepAlive);
    asio::co_spawn(
        Executor, [NewSession] { return NewSession->run(); }, asio::detached);
  }
}

Server::Server(asio::io_context &Io, Handler OnRequest, ServerLimits Limits)
    : State(std::make_shared<ServerState>(Io, std::move(OnRequest), Limits)) {}

Server::~Server() = default;

absl::Status Server::listen(const Address &Local) {
  absl::Status Listening = listenOn(State->Acceptor, Local);
  if (!Listening.ok())
    return Listening;
  State->Port = State->Acceptor.local_endpoint().port();
  asio::co_spawn(
      State->Acceptor.get_executor(),
      [Self = State] { return Self->acceptLoop(); }, asio::detached);
  return absl::OkStatus();
}

uint16_t Server::port() const { return State->Port; }

void Server::stopAccepting() {
  State->IsStopping = true;
  asio::post(State->Acceptor.get_executor(), [Self = State] {
    error_code Ignored;
    Self->Acceptor.close(Ignored);
  });
}

void Server::closeIdle() {
  std::lock_guard Lock(State->Mutex);
  for (Session *Open : State->Sessions)
    // lock() returns null for a session that is being destroyed.
    if (auto Alive = Open->weak_from_this().lock())
      Alive->closeIfIdle();
}

size_t Server::activeRequests() const { return State->Active; }

size_t Server::connections() const {
  std::lock_guard Lock(State->Mutex);
  return State->Sessions.size();
}

uint64_t Server::malformed() const { return State->Malformed; }

} // namespace ragwort::http
