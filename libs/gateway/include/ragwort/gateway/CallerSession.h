//===- CallerSession.h - One caller connection ----------------------------===//
//
// Reads requests one at a time, passes each to the gateway, and writes the
// response. A request is buffered completely before it is forwarded, so that it
// can be retried and a truncated one never reaches a backend server.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_CALLERSESSION_H
#define RAGWORT_GATEWAY_CALLERSESSION_H

#include "ragwort/gateway/Forwarding.h"
#include <variant>

namespace ragwort::gateway {

/// The interface through which a session uses its gateway.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;
  /// Validates and routes a request. \returns the request to forward, or the
  /// response with which it is refused.
  virtual std::variant<AcceptedRequest, LocalReply>
  accept(http::Request Message, TimePoint Arrived) = 0;
  virtual ForwardingContext &context() = 0;
  virtual CallerLimits limits() const = 0;
  /// Whether the node is shutting down, so that each response closes its
  /// connection.
  virtual bool isDraining() const = 0;
};

/// Serves one caller connection from accept to close.
class CallerSession final : public SocketHandler,
                            public AnswerSink,
                            public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(RequestHandler &Handler, asio::io_context &Io);
  ~CallerSession() override;

  void start(asio::ip::tcp::socket Accepted);
  /// Applies the time limits. To be called a few times a second.
  void onTick(TimePoint Now);
  /// Closes the connection unless a request is being read or answered.
  void closeIfIdle();
  /// Ends the request in progress, if any, as Forwarding::endNow() does.
  void endRequest();
  bool isClosed() const { return IsClosed; }
  /// Whether an answer is in progress, or not yet written completely.
  bool isAnswering() const { return Active || Socket->unsent() > 0; }

  void onBytes(std::string_view Bytes) override;
  void onEnd(SocketEnd End) override;
  void onDrained() override;

  void sendLocalReply(const LocalReply &A) override;
  void sendResponse(const http::ResponseHead &Head,
                    std::string_view Body) override;
  void beginStream(const http::ResponseHead &Head) override;
  void continueStream(std::string_view Bytes) override;
  void endStream() override;
  void cut() override;
  size_t unsent() const override { return Socket->unsent(); }
  dispatch::CallerPace &pace() override;

private:
  void readRequests();
  // Returns whether a request was read completely.
  bool readRequest();
  void refuse(unsigned Status, std::string_view Reason);
  // Reserves the memory that the request being read is known to need. Returns
  // whether there is room.
  bool reserve(const http::Request &R);
  // Refuses the request being read for lack of room. Returns whether the next
  // one can be read.
  bool decline(const http::Request &R);
  void updateCharge();
  void beginRequest();
  std::string headText(const http::ResponseHead &Head) const;
  // The header that states the length of the body, if the response has one.
  std::string lengthField(const http::ResponseHead &Head,
                          std::string_view Body) const;
  bool closesAfterAnswer() const;
  void finishAnswer();
  void close();

  RequestHandler &Handler;
  std::shared_ptr<StreamSocket> Socket;
  std::string Unparsed;
  // Parser of the request that is being read; null between requests.
  std::unique_ptr<RequestParser> Parser;
  // The request that is being answered, if any. Later pipelined requests wait
  // in Unparsed.
  std::shared_ptr<Forwarding> Active;
  std::string RequestId;
  dispatch::CallerPace Pace;
  dispatch::MemoryCharge RequestCharge;
  // Bytes for the request that is being read or answered.
  size_t Reserved = 0;
  TimePoint ReadSince{};
  TimePoint IdleSince{};
  // Whether the request that is being answered is a HEAD.
  bool IsHead = false;
  bool IsKeepAlive = true;
  bool IsClosed = false;
  // The last answer is still being written; then the connection closes.
  bool IsClosing = false;
  // Guards readRequests() against reentry.
  bool IsReading = false;
  bool HasSentContinue = false;
};

} // namespace ragwort::gateway

#endif
