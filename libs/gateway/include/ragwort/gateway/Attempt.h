//===- Attempt.h - One send of a request to one backend server ------------===//
//
// Opens or reuses a connection to the server, writes the request and reads the
// answer to it. All state of one send is here: connection, parser, events and
// what the answer says of its server. A request that is sent again gets a new
// attempt. One that has ended or was abandoned reports nothing more, so that
// nothing of it can reach the caller.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_ATTEMPT_H
#define RAGWORT_GATEWAY_ATTEMPT_H

#include "ragwort/gateway/AcceptedRequest.h"
#include "ragwort/gateway/EventStream.h"
#include "ragwort/gateway/ForwardingContext.h"
#include "ragwort/gateway/MessageParser.h"
#include "ragwort/gateway/ServerStatement.h"

namespace ragwort::gateway {

/// How an attempt ended.
enum class AttemptEnd : uint8_t {
  /// No connection was opened; nothing was written.
  NotConnected,
  /// The server closed a reused connection just as the request was written.
  IdleClosed,
  /// The server states that it has not run the request.
  Declined,
  /// A whole answer that is not an event stream.
  Answered,
  /// An event stream that ends after a complete event.
  StreamEnded,
  /// The connection broke, or what the server sent is not an answer to the
  /// request.
  Broken,
};

/// Receives the reports of one attempt after another.
class AttemptObserver {
public:
  virtual ~AttemptObserver() = default;
  /// A new connection is open; the request has not been written.
  virtual void onConnected() = 0;
  /// The next complete events of the stream.
  virtual void onEvents(std::string_view Events) = 0;
  /// An answer that is not an event stream has grown to \p Size bytes.
  virtual void onBodyGrown(size_t Size) = 0;
  /// The last report. The connection has been closed or kept for reuse.
  virtual void onAttemptEnd(AttemptEnd End) = 0;
};

/// \code
///   auto Current = std::make_shared<Attempt>(Context, Request, Server,
///                                            Service, Work, *this);
///   if (Current->connect(MaxIdle))
///     Current->send(Head, LastEventId);  // Otherwise from onConnected().
/// \endcode
class Attempt final : public SocketHandler,
                      public std::enable_shared_from_this<Attempt> {
public:
  /// Counts the request as in flight at \p Server until the attempt has ended.
  /// \p Request must outlive the last report.
  Attempt(ForwardingContext &Context, const AcceptedRequest &Request,
          dispatch::BackendInstance Server, std::string_view Service,
          double Work, AttemptObserver &Observer);
  ~Attempt() override;

  /// Takes a connection that has been idle for at most \p MaxIdle, or begins to
  /// open one. \returns whether it is open.
  bool connect(Duration MaxIdle);
  /// Writes the request with the head \p Head. The server is expected to go on
  /// after the event \p After, if it has a value. \p IsContinuation: events of
  /// an earlier attempt have been forwarded.
  void send(std::string_view Head, std::optional<uint64_t> After,
            bool IsContinuation);
  /// Gives up without a report.
  void abandon();
  /// Gives up because of the server and reports AttemptEnd::Broken. \p Text is
  /// for the log.
  void fail(dispatch::ServerFault Fault, std::string_view Text);
  void pauseReading() { Socket->pauseReading(); }
  /// The time until now does not count as silence of the server.
  void resumeReading();

  const dispatch::BackendInstance &server() const { return Server; }
  bool isSent() const { return CurrentStage == Stage::Sent; }
  bool isReadingPaused() const { return Socket && Socket->isReadingPaused(); }
  /// Whether a complete event has arrived.
  bool hasEvent() const { return Events.events() > 0; }
  /// The same, without comments.
  bool hasContent() const { return Events.hasContent(); }
  bool isEventMissing() const { return Events.isEventMissing(); }
  bool isPositionConfirmed() const { return Events.isPositionConfirmed(); }
  bool isEventStream() const { return IsEventStream; }
  uint64_t events() const { return Events.events(); }
  std::optional<uint64_t> lastEventId() const { return Events.lastId(); }
  TimePoint sentAt() const { return SentAt; }
  /// Time of the last complete event, or of the send.
  TimePoint lastProgress() const { return LastProgress; }
  Duration longestGap() const { return LongestGap; }
  /// Valid once a part of the answer was reported.
  const http::ResponseHead &head() const { return Parser.head(); }
  const std::string &body() const { return Body; }
  /// Whether the answer shows where it ends.
  bool isFramed() const { return Parser.isFramed(); }
  const ServerStatement &statement() const { return Stated; }
  /// After AttemptEnd::Declined: whether the server is not merely full.
  bool isServerUnavailable() const { return IsServerUnavailable; }
  /// Why the attempt ended, for the log; empty if the answer is a success.
  const std::string &fault() const { return FaultText; }

  void onConnected() override;
  void onBytes(std::string_view Bytes) override;
  void onEnd(SocketEnd End) override;

private:
  enum class Stage : uint8_t { New, Connecting, Sent, Ended };

  dispatch::LoadTracker &tracker();
  void resetParser();
  /// Reads a part of an answer. \returns whether another may follow in
  /// Unparsed.
  bool readAnswer();
  /// Skips an interim response or the answer to another request. \returns
  /// whether it is complete.
  bool skipAnswer(size_t Taken);
  bool isOthersAnswer() const;
  /// Whether the answer has ids that differ.
  bool namesSeveralRequests() const;
  void acceptHead();
  void readBody();
  void readEvents(std::string_view Bytes);
  void finishAnswer();
  /// Whether bytes follow the answer that are no other one: the stated length
  /// may be too small.
  bool isLengthWrong() const;
  void noteStatement();
  void noteDecline();
  void noteEvents();
  /// Records how a new stream has begun.
  void noteStart(bool IsSound);
  void noteSurvival();
  void endConnect();
  void end(AttemptEnd How);
  void leaveServer(bool IsReusable);

  ForwardingContext &Context;
  const AcceptedRequest &Request;
  const dispatch::BackendInstance Server;
  const std::string Service;
  // Null once the attempt has ended.
  AttemptObserver *Observer;
  // The work that the dispatcher expects of the request; 0 once it is known
  // that the server has not run it.
  double Work;
  // Invariant: the dispatcher counts the request as in flight at the server
  // exactly while IsCounted.
  bool IsCounted = true;
  Stage CurrentStage = Stage::New;
  bool IsFreshConnection = false;
  std::shared_ptr<StreamSocket> Socket;
  // Of the connection, this request included once it is sent.
  CarriedIds Carried;
  ResponseParser Parser;
  std::string Unparsed;
  // Bytes of answers to other requests.
  size_t SkippedBytes = 0;
  uint32_t InterimAnswers = 0;
  bool HasBytes = false;
  bool HasHead = false;
  bool IsEventStream = false;
  // Whether this send has counted as one that its server survived.
  bool HasSurvived = false;
  // Whether the stream begins anew, and how has not been recorded yet.
  bool IsStartOpen = false;
  bool IsServerUnavailable = false;
  ServerStatement Stated;
  EventStream Events;
  std::string Body;
  // Body and Unparsed.
  dispatch::MemoryCharge AnswerCharge;
  TimePoint ConnectBegun{};
  TimePoint SentAt{};
  TimePoint LastProgress{};
  TimePoint FirstEventAt{};
  // Longest pause between two events.
  Duration LongestGap{0};
  std::string FaultText;
};

} // namespace ragwort::gateway

#endif
