//===- HttpClient.cpp - Client connection over Boost.Beast ----------------===//
#include "ragwort/http/HttpClient.h"
#include "ragwort/http/MessageForm.h"
#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>

namespace ragwort::http {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr size_t ChunkBytes = 16 * KiB;

absl::Status ioError(const char *Action, const error_code &Error) {
  std::string Text = std::string(Action) + ": " + Error.message();
  if (Error == beast::error::timeout)
    return absl::DeadlineExceededError(Text);
  return absl::UnavailableError(Text);
}

} // namespace

struct ClientConnection::Impl {
  using Parser = bhttp::response_parser<bhttp::buffer_body>;

  Impl(asio::any_io_executor Executor, Address Server, std::string IdHeader)
      : Server(std::move(Server)), IdHeader(std::move(IdHeader)),
        Stream(Executor) {}

  /// Not every server repeats the id.
  bool isOthersAnswer(const ResponseHead &Head) const {
    return !SentId.empty() &&
           std::any_of(Head.Headers.begin(), Head.Headers.end(),
                       [this](const HeaderField &Field) {
                         return isSameHeaderName(Field.Name, IdHeader) &&
                                !Field.Value.empty() && Field.Value != SentId;
                       });
  }

  const Address Server;
  // Empty if answers are not told apart by an id.
  const std::string IdHeader;
  beast::tcp_stream Stream;
  // A response whose framing does not fit is an error.
  beast::flat_buffer Buffer{MaxUnfinishedFramingBytes};
  std::optional<Parser> Body;
  // Id of the last request; empty if it has none.
  std::string SentId;
  bool IsHead = false;
  // Invariant: true only between complete exchanges on a connection that the
  // server keeps open.
  bool IsReusable = false;
};

ClientConnection::ClientConnection(asio::any_io_executor Executor,
                                   Address Server, std::string IdHeader)
    : State(std::make_unique<Impl>(Executor, std::move(Server),
                                   std::move(IdHeader))) {}

ClientConnection::~ClientConnection() = default;

bool ClientConnection::isStale() {
  // An idle connection has nothing to read. Data or an end of file mean that
  // the server closed it or violated the protocol.
  auto &Socket = State->Stream.socket();
  error_code Error;
  Socket.non_blocking(true, Error);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek,
                 Error);
  return Error != asio::error::would_block;
}

asio::awaitable<absl::Status> ClientConnection::connect(Duration Timeout) {
  if (State->IsReusable && !isStale())
    co_return absl::OkStatus();
  co_return co_await reconnect(Timeout);
}

asio::awaitable<absl::Status> ClientConnection::reconnect(Duration Timeout) {
  close();
  State->Buffer.clear();
  State->Stream.expires_after(Timeout);
  error_code Error;
  auto Endpoint = endpointOf<asio::ip::tcp>(State->Server);
  co_await State->Stream.async_connect(
      Endpoint, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return ioError("connect", Error);
  State->Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  State->IsReusable = true;
  co_return absl::OkStatus();
}

asio::awaitable<absl::Status> ClientConnection::send(const Request &R,
                                                     Duration Timeout) {
  State->IsReusable = false;
  State->IsHead = isHead(R.Method);
  if (!State->IdHeader.empty())
    State->SentId = R.header(State->IdHeader);
  bhttp::request<bhttp::string_body> Message;
  Message.version(11);
  Message.method_string(R.Method);
  Message.target(R.Target);
  for (const HeaderField &Field : R.Headers)
    Message.insert(Field.Name, Field.Value);
  if (Message.find(bhttp::field::host) == Message.end())
    Message.set(bhttp::field::host, toString(State->Server));
  Message.body() = R.Body;
  Message.prepare_payload();
  State->Stream.expires_after(Timeout);
  error_code Error;
  bhttp::request_serializer<bhttp::string_body> Serializer(Message);
  co_await bhttp::async_write(State->Stream, Serializer,
                              asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return ioError("send request", Error);
  co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<ResponseHead>>
ClientConnection::receiveHead(Duration Timeout) {
  State->Body.emplace();
  Impl::Parser &Parser = *State->Body;
  // Streams have no size limit here; exchange() enforces its MaxBody.
  Parser.body_limit(std::numeric_limits<uint64_t>::max());
  Parser.skip(State->IsHead);
  State->Stream.expires_after(Timeout);
  error_code Error;
  co_await bhttp::async_read_header(
      State->Stream, State->Buffer, Parser,
      asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return ioError("receive head", Error);
  ResponseHead Head;
  Head.Status = Parser.get().result_int();
  for (const auto &Field : Parser.get())
    Head.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  if (std::string_view Fault = responseFault(Head.Status, Head.Headers);
      !Fault.empty()) {
    close();
    co_return absl::DataLossError("response with " + std::string(Fault));
  }
  if (State->isOthersAnswer(Head)) {
    close();
    co_return absl::DataLossError("response to another request");
  }
  co_return Head;
}

asio::awaitable<absl::StatusOr<ResponseHead>>
ClientConnection::sendForHead(const Request &R, Duration Timeout) {
  absl::Status Sent = co_await send(R, Timeout);
  if (!Sent.ok())
    co_return Sent;
  co_return co_await receiveHead(Timeout);
}

asio::awaitable<absl::StatusOr<std::optional<std::string>>>
ClientConnection::receiveChunk(Duration Timeout) {
  Impl::Parser &Parser = *State->Body;
  std::optional<std::string> Nothing;
  // Without a length or chunks, a lost connection looks like the body's end.
  if (Parser.need_eof() && !State->IsHead)
    co_return absl::DataLossError("response does not mark its end");
  State->Stream.expires_after(Timeout);
  std::string Chunk(ChunkBytes, '\0');
  size_t Received = 0;
  while (Received == 0 && !Parser.is_done()) {
    auto &Target = Parser.get().body();
    Target.data = Chunk.data();
    Target.size = Chunk.size();
    Target.more = true;
    error_code Error;
    co_await bhttp::async_read_some(
        State->Stream, State->Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error && Error != bhttp::error::need_buffer)
      co_return ioError("receive body", Error);
    Received = Chunk.size() - Target.size;
  }
  if (Received > 0) {
    Chunk.resize(Received);
    co_return std::optional<std::string>(std::move(Chunk));
  }
  auto Rest = State->Buffer.data();
  if (Rest.size() > 0 && !State->IsHead &&
      !beginsResponse({static_cast<const char *>(Rest.data()), Rest.size()}) &&
      Parser.get().find(bhttp::field::content_length) != Parser.get().end())
    co_return absl::DataLossError("response is longer than stated");
  // Bytes that follow an answer, the body that a server wrote for HEAD, or the
  // final answer after an interim one would be read as the next answer.
  State->IsReusable = Parser.keep_alive() && State->Buffer.size() == 0 &&
                      !State->IsHead && Parser.get().result_int() >= 200;
  co_return Nothing;
}

asio::awaitable<absl::StatusOr<Response>>
ClientConnection::exchange(const Request &R, Duration Timeout, size_t MaxBody) {
  const TimePoint Deadline = SteadyClock().now() + Timeout;
  auto TimeLeft = [Deadline] {
    return std::max(Duration(0), Deadline - SteadyClock().now());
  };
  absl::Status Connected = co_await connect(Timeout);
  if (!Connected.ok())
    co_return Connected;
  absl::Status Sent = co_await send(R, TimeLeft());
  if (!Sent.ok())
    co_return Sent;
  absl::StatusOr<ResponseHead> Head = co_await receiveHead(TimeLeft());
  if (!Head.ok())
    co_return Head.status();
  Response Result;
  Result.Head = std::move(*Head);
  for (;;) {
    absl::StatusOr<std::optional<std::string>> Chunk =
        co_await receiveChunk(TimeLeft());
    if (!Chunk.ok())
      co_return Chunk.status();
    if (!Chunk->has_value())
      co_return Result;
    if (Result.Body.size() + (*Chunk)->size() > MaxBody)
      co_return absl::ResourceExhaustedError("response body is too large");
    Result.Body += **Chunk;
  }
}

void ClientConnection::close() {
  State->IsReusable = false;
  error_code Ignored;
  State->Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                  Ignored);
  State->Stream.close();
}

asio::awaitable<absl::StatusOr<Response>>
fetch(Address Server, Request R, Duration Timeout, size_t MaxBody) {
  ClientConnection Connection(co_await asio::this_coro::executor,
                              std::move(Server));
  R.Headers.push_back({"Connection", "close"});
  co_return co_await Connection.exchange(R, Timeout, MaxBody);
}

} // namespace ragwort::http
