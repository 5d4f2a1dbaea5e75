//===- CallerSession.h - One caller connection ----------------------------===//
//
// Reads requests one after the other, hands each to the gateway, and writes
// its answer. A request is read whole before it is passed on, so that it can be
// repeated and a torn one reaches no backend server.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_CALLERSESSION_H
#define RAGWORT_GATEWAY_CALLERSESSION_H

#include "ragwort/gateway/Forwarding.h"
#include <variant>

namespace ragwort::gateway {

/// What a session asks of its gateway.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;
  virtual std::variant<AcceptedRequest, OwnAnswer>
  accept(http::Request Message, TimePoint Arrived) = 0;
  virtual ForwardingContext &context() = 0;
  virtual CallerLimits limits() const = 0;
  /// The node is leaving: answers close their connections.
  virtual bool isDraining() const = 0;
};

class CallerSession final : public SocketHandler,
                            public AnswerSink,
                            public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(RequestHandler &Handler, asio::io_context &Io);
  ~CallerSession() override;

  void start(asio::ip::tcp::socket Accepted);
  /// Applies the time limits. Called a few times a second.
  void onTick(TimePoint Now);
  /// Closes the connection unless a request is being read or answered.
  void closeIfIdle();
  bool isClosed() const { return IsClosed; }
  bool isAnswering() const { return Active != nullptr; }

  void onBytes(std::string_view Bytes) override;
  void onEnd(SocketEnd End) override;
  void onDrained() override;

  void answerOwn(const OwnAnswer &A) override;
  void answerWhole(const http::ResponseHead &Head,
                   std::string_view Body) override;
  void beginStream(const http::ResponseHead &Head) override;
  void continueStream(std::string_view Bytes) override;
  void endStream() override;
  void cut() override;
  size_t unsent() const override { return Socket->unsent(); }

private:
  void readRequests();
  bool readOne();
  void refuse(unsigned Status, std::string_view Reason);
  void begin();
  std::string headText(const http::ResponseHead &Head) const;
  bool closesAfterAnswer() const;
  void finishAnswer();
  void close();

  RequestHandler &Handler;
  std::shared_ptr<StreamSocket> Socket;
  std::string Unparsed;
  // The request that is being read; null between requests.
  std::unique_ptr<RequestParser> Parser;
  // Requests that are being answered. At most one, the oldest.
  std::shared_ptr<Forwarding> Active;
  std::string RequestId;
  TimePoint ReadSince{};
  TimePoint IdleSince{};
  bool IsKeepAlive = true;
  bool IsClosed = false;
  bool IsReading = false;
  bool HasSentContinue = false;
};

} // namespace ragwort::gateway

#endif
