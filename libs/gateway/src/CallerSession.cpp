//===- CallerSession.cpp - One caller connection --------------------------===//
#include "ragwort/gateway/CallerSession.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>

namespace ragwort::gateway {

namespace {

// Bytes of pipelined requests that are buffered while a response is pending.
// Above it, reading from the caller pauses.
constexpr size_t MaxReadAhead = 64 * KiB;
// What a session and a request in progress take besides buffers and bodies.
constexpr size_t SessionBytes = 2 * KiB;
constexpr size_t RequestBytes = 12 * KiB;
// Larger buffers are released when they are empty.
constexpr size_t KeptBufferBytes = 4 * KiB;
// Retry-After time of a request for which there is no memory: slow callers are
// given up within about two seconds.
constexpr Duration NoMemoryRetryAfter = std::chrono::milliseconds(1000);
// Time for which the rest of a refused request is read and discarded.
constexpr Duration DiscardTime = std::chrono::milliseconds(1000);

TimePoint now() { return SteadyClock().now(); }

std::string statusLine(unsigned Status) {
  auto Reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Status));
  return "HTTP/1.1 " + std::to_string(Status) + " " + std::string(Reason) +
         "\r\n";
}

// Seconds with three decimals.
std::string secondsText(Duration Length) {
  int64_t Millis = Length.count() / 1000;
  std::string Fraction = std::to_string(Millis % 1000);
  Fraction.insert(0, 3 - Fraction.size(), '0');
  return std::to_string(Millis / 1000) + "." + Fraction;
}

std::string chunkHeader(size_t Size) {
  char Digits[2 * sizeof(size_t)];
  auto End = std::to_chars(Digits, Digits + sizeof(Digits), Size, 16).ptr;
  return std::string(Digits, End) + "\r\n";
}

uint64_t declaredLength(const http::Request &R) {
  std::string_view Text = R.header("Content-Length");
  uint64_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length;
}

} // namespace

CallerSession::CallerSession(RequestHandler &Handler, asio::io_context &Io)
    : Handler(Handler), Socket(std::make_shared<StreamSocket>(Io)),
      RequestCharge(Handler.context().Memory, dispatch::Held::CallerRequests) {
  Socket->setCharge({Handler.context().Memory, dispatch::Held::CallerAnswers});
  Socket->setUnsentTimeout(dispatch::CallerPace::MaxUnread);
  updateCharge();
}

CallerSession::~CallerSession() { Socket->close(); }

void CallerSession::start(asio::ip::tcp::socket Accepted) {
  IdleSince = now();
  Socket->setHandler(this);
  Socket->adopt(std::move(Accepted));
}

void CallerSession::onBytes(std::string_view Bytes) {
  auto Self = shared_from_this();
  Unparsed += Bytes;
  if (Active) {
    if (Unparsed.size() > MaxReadAhead)
      Socket->pauseReading();
    updateCharge();
    return;
  }
  readRequests();
}

void CallerSession::updateCharge() {
  RequestCharge.set(SessionBytes + Unparsed.capacity() + Reserved);
}

bool CallerSession::reserve(const http::Request &R) {
  size_t Needed =
      RequestBytes + std::max<size_t>(declaredLength(R), R.Body.capacity());
  if (Needed <= Reserved)
    return true;
  if (!Handler.context().Memory->admits(Needed - Reserved))
    return false;
  Reserved = Needed;
  updateCharge();
  return true;
}

bool CallerSession::decline(const http::Request &R) {
  IsHead = http::isHead(R.Method);
  RequestId = R.header(Handler.context().Names.RequestId);
  bool IsComplete = Parser->stage() == ParseStage::Done;
  IsKeepAlive = IsComplete && Parser->isKeepAlive();
  logEvent(
      LogLevel::Warning, "request-refused",
      {{"request", RequestId}, {"status", 503}, {"reason", "memory-full"}});
  Handler.context().Metrics.counter("ragwort_memory_refusals_total").add();
  if (IsComplete)
    Parser.reset();
  sendLocalReply({503, "memory-full",
                  Handler.context().Dispatch.spread(NoMemoryRetryAfter)});
  return IsComplete;
}

void CallerSession::readRequests() {
  // finishAnswer() calls this function again when a response is finished within
  // beginRequest(); the loop below then continues.
  if (IsReading)
    return;
  IsReading = true;
  while (!Active && !IsClosed && !Unparsed.empty() && readRequest()) {
  }
  IsReading = false;
  if (Unparsed.empty() && Unparsed.capacity() > KeptBufferBytes)
    Unparsed = std::string();
  updateCharge();
}

bool CallerSession::readRequest() {
  const CallerLimits Limits = Handler.limits();
  if (!Parser) {
    Parser = std::make_unique<RequestParser>(Limits.MaxHeaderBytes);
    ReadSince = now();
    HasSentContinue = false;
  }
  Unparsed.erase(0, Parser->feed(Unparsed));
  ParseStage Stage = Parser->stage();
  if (Stage == ParseStage::Failed) {
    bool IsTooLarge = Parser->failure() == ParseFailure::HeadTooLarge;
    refuse(IsTooLarge ? 431 : 400,
           IsTooLarge ? "header-too-large" : "malformed-request");
    return false;
  }
  if (Stage == ParseStage::Head)
    return false;
  const http::Request &R = Parser->request();
  if (declaredLength(R) > Limits.MaxBodyBytes ||
      R.Body.size() > Limits.MaxBodyBytes) {
    refuse(413, "body-too-large");
    return false;
  }
  if (!reserve(R))
    return decline(R);
  if (Stage == ParseStage::Body) {
    if (!HasSentContinue &&
        isSameHeaderName(R.header("Expect"), "100-continue")) {
      HasSentContinue = true;
      Socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
  }
  beginRequest();
  return true;
}

void CallerSession::refuse(unsigned Status, std::string_view Reason) {
  // The rest of an incompletely read request cannot be distinguished from the
  // next request, so the connection must close.
  IsKeepAlive = false;
  IsHead = http::isHead(Parser->request().Method);
  RequestId.clear();
  logEvent(LogLevel::Warning, "request-refused",
           {{"status", Status}, {"reason", Reason}});
  sendLocalReply({Status, Reason, std::nullopt});
}

void CallerSession::beginRequest() {
  IsKeepAlive = Parser->isKeepAlive();
  http::Request Message = Parser->takeRequest();
  Parser.reset();
  IsHead = http::isHead(Message.Method);
  RequestId = Message.header(Handler.context().Names.RequestId);
  auto Result = Handler.accept(std::move(Message), ReadSince);
  if (LocalReply *Own = std::get_if<LocalReply>(&Result)) {
    logEvent(LogLevel::Warning, "request-refused",
             {{"request", RequestId},
              {"status", Own->Status},
              {"reason", Own->Reason},
              {"detail", Own->Detail}});
    sendLocalReply(*Own);
    return;
  }
  Active = std::make_shared<Forwarding>(
      Handler.context(), std::move(std::get<AcceptedRequest>(Result)), *this);
  // A second reference, since finishing within start() resets Active.
  auto Started = Active;
  Started->start();
}

bool CallerSession::closesAfterAnswer() const {
  return !IsKeepAlive || Handler.isDraining();
}

std::string CallerSession::headText(const http::ResponseHead &Head) const {
  std::string Text = statusLine(Head.Status);
  std::string_view ConnectionField = Head.header("Connection");
  for (const HeaderField &Field : Head.Headers) {
    if (http::isHopByHop(Field.Name) ||
        (!ConnectionField.empty() &&
         !isSameHeaderName(ConnectionField, "close") &&
         isSameHeaderName(ConnectionField, Field.Name)))
      continue;
    Text += Field.Name + ": " + Field.Value + "\r\n";
  }
  if (closesAfterAnswer())
    Text += "Connection: close\r\n";
  return Text;
}

std::string CallerSession::lengthField(const http::ResponseHead &Head,
                                       std::string_view Body) const {
  if (Head.Status == 204 || Head.Status == 304)
    return "";
  std::string Length = std::to_string(Body.size());
  // The server states the length that the body would have, or none.
  if (IsHead && Body.empty())
    Length = Head.header("Content-Length");
  return Length.empty() ? "" : "Content-Length: " + Length + "\r\n";
}

void CallerSession::sendLocalReply(const LocalReply &A) {
  std::string Body = "{\"status\":" + std::to_string(A.Status) +
                     ",\"reason\":\"" + std::string(A.Reason) + "\"}\n";
  http::ResponseHead Head;
  Head.Status = A.Status;
  Head.Headers.push_back({"Content-Type", "application/problem+json"});
  if (!RequestId.empty())
    Head.Headers.push_back({Handler.context().Names.RequestId, RequestId});
  if (A.RetryAfter)
    Head.Headers.push_back({"Retry-After", secondsText(*A.RetryAfter)});
  sendResponse(Head, Body);
}

void CallerSession::sendResponse(const http::ResponseHead &Head,
                                 std::string_view Body) {
  std::string Text = headText(Head);
  Text += lengthField(Head, Body);
  Text += "\r\n";
  if (IsHead)
    Body = {};
  // A large answer is not copied once more.
  if (Body.size() > KeptBufferBytes) {
    Socket->write(Text);
    Socket->write(Body);
  } else {
    Text += Body;
    Socket->write(Text);
  }
  finishAnswer();
}

void CallerSession::beginStream(const http::ResponseHead &Head) {
  Socket->write(headText(Head) + "Transfer-Encoding: chunked\r\n\r\n");
}

void CallerSession::continueStream(std::string_view Bytes) {
  std::string Text = chunkHeader(Bytes.size());
  Text += Bytes;
  Text += "\r\n";
  Socket->write(Text);
}

void CallerSession::endStream() {
  Socket->write("0\r\n\r\n");
  finishAnswer();
}

void CallerSession::finishAnswer() {
  bool Closes = closesAfterAnswer();
  Active.reset();
  RequestId.clear();
  Reserved = 0;
  updateCharge();
  IdleSince = now();
  if (Closes) {
    IsClosing = Socket->unsent() > 0;
    IsClosed = !IsClosing;
    if (Parser && Parser->stage() == ParseStage::Body)
      Socket->closeAfterReading(DiscardTime);
    else
      Socket->closeAfterWrite();
    // Nothing more is read; what has been must not stay without a charge.
    Parser.reset();
    Unparsed = std::string();
    updateCharge();
    return;
  }
  Socket->resumeReading();
  readRequests();
}

void CallerSession::cut() {
  Active.reset();
  close();
}

void CallerSession::close() {
  IsClosed = true;
  Socket->close();
}

void CallerSession::onEnd(SocketEnd) {
  auto Self = shared_from_this();
  IsClosed = true;
  if (auto Last = std::move(Active))
    Last->onCallerGone();
}

void CallerSession::onDrained() {
  if (Active)
    Active->onSinkDrained();
}

dispatch::CallerPace &CallerSession::pace() {
  Pace.update(Socket->written(), Socket->unsent(), now());
  return Pace;
}

void CallerSession::onTick(TimePoint Now) {
  if (IsClosed)
    return;
  auto Self = shared_from_this();
  Pace.update(Socket->written(), Socket->unsent(), Now);
  if (Active) {
    Active->onTick(Now);
    return;
  }
  if (Pace.hasStopped(Now)) {
    logEvent(LogLevel::Warning, "slow-caller",
             {{"unread", Socket->unsent()},
              {"level", toString(Handler.context().Memory->level())}});
    Handler.context().Metrics.counter("ragwort_slow_callers_total").add();
    close();
    return;
  }
  if (IsClosing) {
    IsClosed = !Socket->isOpen();
    return;
  }
  if (Socket->unsent() > 0) {
    IdleSince = Now;
    return;
  }
  const CallerLimits Limits = Handler.limits();
  if (Parser) {
    if (Now - ReadSince > Limits.HeaderTimeout)
      refuse(408, "request-read-timeout");
    return;
  }
  if (Now - IdleSince > Limits.IdleTimeout)
    close();
}

void CallerSession::endRequest() {
  // A second reference, since finishing resets Active.
  if (auto Last = Active)
    Last->endNow("stopping");
}

void CallerSession::closeIfIdle() {
  if (!IsClosed && !isAnswering() && !Parser && Unparsed.empty())
    close();
}

} // namespace ragwort::gateway
