//===- Attempt.cpp - One send of a request to one backend server ----------===//
#include "ragwort/gateway/Attempt.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/http/MessageForm.h"
#include "ragwort/observe/Log.h"
#include <algorithm>

namespace ragwort::gateway {

namespace {

// Within a data centre a connection opens in a few milliseconds, but one lost
// packet delays it by a second. Trying another server is faster.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
// A server that has written a stream for this long survives its prompt; one
// that crashes of a prompt does so within its first events.
constexpr Duration SurvivalTime = std::chrono::milliseconds(1000);
// Maximum size of an answer that is not an event stream, and of what may come
// before the answer to a request.
constexpr size_t MaxWholeAnswerBytes = 8 * MiB;
// A server that sends more interim responses than this never answers.
constexpr uint32_t MaxInterimAnswers = 8;

// Bytes of another head at the end of a body that are taken for one. A text may
// end in fewer; the end of an answer without a length shows less.
constexpr size_t MinCopiedBytesFramed = std::string_view("HTTP/1.1 2").size();
constexpr size_t MinCopiedBytesUnframed = std::string_view("HTTP").size();

TimePoint now() { return SteadyClock().now(); }

} // namespace

Attempt::Attempt(ForwardingContext &Context, const AcceptedRequest &Request,
                 dispatch::BackendInstance Server, std::string_view Service,
                 double Work, AttemptObserver &Observer)
    : Context(Context), Request(Request), Server(std::move(Server)),
      Service(Service), Observer(&Observer), Work(Work),
      AnswerCharge(Context.Memory, dispatch::Held::Servers) {
  resetParser();
  Context.Dispatch.onStarted(this->Server.Id, now());
}

Attempt::~Attempt() { abandon(); }

dispatch::LoadTracker &Attempt::tracker() {
  return Context.Dispatch.loadTracker();
}

void Attempt::resetParser() {
  Parser = ResponseParser();
  if (http::isHead(Request.Message.Method))
    Parser.expectNoBody();
}

bool Attempt::connect(Duration MaxIdle) {
  // On a path that is not good, what is written to a kept connection may never
  // arrive; a new connection shows that before the request is sent.
  const dispatch::PathHealth &Paths = tracker().paths();
  if (Paths.areAllGood() ||
      Paths.state(Server.DataCentre) == dispatch::PathState::Good)
    if (auto Kept =
            Context.Pool.take(Server.Id, Request.RequestId, now(), MaxIdle)) {
      Socket = std::move(Kept->Socket);
      Carried = std::move(Kept->Carried);
      Socket->setHandler(this);
      return true;
    }
  IsFreshConnection = true;
  CurrentStage = Stage::Connecting;
  ConnectBegun = now();
  Context.Metrics.counter("ragwort_backend_connections_total").add();
  Socket = std::make_shared<StreamSocket>(Context.Io);
  Socket->setCharge({Context.Memory, dispatch::Held::Servers});
  Socket->setHandler(this);
  std::optional<Address> At = parseAddress(Server.Address);
  Socket->connect(endpointOf<asio::ip::tcp>(At.value_or(Address{"0.0.0.0", 0})),
                  ConnectTimeout);
  return false;
}

void Attempt::onConnected() {
  auto Self = shared_from_this();
  tracker().onConnected(Server.Id);
  tracker().onReached(Server, ConnectBegun, now());
  Observer->onConnected();
}

void Attempt::send(std::string_view Head, std::optional<uint64_t> After,
                   bool IsContinuation) {
  CurrentStage = Stage::Sent;
  if (After)
    Events.resumeAfter(*After);
  else if (Request.Message.header(Context.Names.LastEventId).empty()) {
    IsStartOpen = true;
    if (auto First = Context.Starts.usual(Service))
      Events.expectFirst(*First);
  }
  if (After && IsContinuation)
    Events.requireIds();
  SentAt = now();
  LastProgress = SentAt;
  Carried.add(Request.RequestId);
  std::string Bytes(Head);
  Bytes += Request.Message.Body;
  Socket->write(Bytes);
}

void Attempt::resumeReading() {
  LastProgress = now();
  Socket->resumeReading();
}

void Attempt::onBytes(std::string_view Bytes) {
  auto Self = shared_from_this();
  if (CurrentStage != Stage::Sent)
    return;
  if (!std::exchange(HasBytes, true))
    tracker().onReached(Server, SentAt, now());
  Unparsed += Bytes;
  while (CurrentStage == Stage::Sent && readAnswer()) {
  }
  if (CurrentStage == Stage::Sent)
    AnswerCharge.set(Body.capacity() + Unparsed.capacity());
}

bool Attempt::readAnswer() {
  size_t Taken = Parser.feed(Unparsed);
  Unparsed.erase(0, Taken);
  ParseStage Stage = Parser.stage();
  if (Stage == ParseStage::Head)
    return false;
  if (Stage == ParseStage::Failed) {
    fail(dispatch::ServerFault::Malformed, "malformed-response");
    return false;
  }
  if (!HasHead && namesSeveralRequests()) {
    fail(dispatch::ServerFault::Malformed, "ambiguous-request-id");
    return false;
  }
  // A late answer to an earlier request may precede the answer to this one.
  if (Parser.isInterim() || isOthersAnswer())
    return skipAnswer(Taken) && !Unparsed.empty();
  if (!std::exchange(HasHead, true))
    acceptHead();
  if (CurrentStage == Stage::Sent)
    readBody();
  if (CurrentStage == Stage::Sent && Stage == ParseStage::Done)
    finishAnswer();
  return false;
}

bool Attempt::isOthersAnswer() const {
  return Parser.head().header(Context.Names.RequestId) != Request.RequestId;
}

bool Attempt::namesSeveralRequests() const {
  const http::ResponseHead &H = Parser.head();
  std::string_view First = H.header(Context.Names.RequestId);
  return std::any_of(
      H.Headers.begin(), H.Headers.end(), [&](const HeaderField &Field) {
        return isSameHeaderName(Field.Name, Context.Names.RequestId) &&
               Field.Value != First;
      });
}

bool Attempt::skipAnswer(size_t Taken) {
  SkippedBytes += Taken;
  InterimAnswers += Parser.isInterim();
  // Without an end of its own it would take in the answer to this request.
  if (!Parser.isFramed() || SkippedBytes > MaxWholeAnswerBytes ||
      InterimAnswers > MaxInterimAnswers) {
    fail(dispatch::ServerFault::Malformed, "malformed-response");
    return false;
  }
  Parser.takeBody();
  if (Parser.stage() != ParseStage::Done)
    return false;
  if (!Parser.isInterim()) {
    Context.Metrics.counter("ragwort_foreign_answers_total").add();
    logEvent(LogLevel::Info, "foreign-answer",
             {{"request", Request.RequestId},
              {"instance", Server.Id},
              {"answered", Parser.head().header(Context.Names.RequestId)},
              {"status", Parser.head().Status}});
  }
  resetParser();
  return true;
}

void Attempt::noteStatement() {
  Stated = readStatement(Parser.head(), Context.Names, Server.Id);
  for (const HeaderField &Field : Stated.Malformed)
    tracker().onMalformedField(Server.Id, Field.Name, Field.Value);
  if (Stated.IsLeaving)
    tracker().onLeaving(Server, now());
  if (Stated.IsRateLimitKnown)
    tracker().onRateLimit(Server, Stated.RateLimit, now());
  if (Stated.Pause)
    tracker().onPaused(Server, *Stated.Pause, now());
}

void Attempt::acceptHead() {
  const http::ResponseHead &H = Parser.head();
  noteStatement();
  bool IsStamped = !H.header(Context.Names.AnswerStamp).empty();
  if (http::isSuccess(H.Status) && !IsStamped) {
    fail(dispatch::ServerFault::Malformed, "missing-answer-stamp");
    return;
  }
  constexpr unsigned StatusOk = 200;
  constexpr std::string_view EventStreamType = "text/event-stream";
  IsEventStream =
      Request.Target->IsStream && !http::isHead(Request.Message.Method) &&
      H.Status == StatusOk &&
      isSameHeaderName(
          H.header("Content-Type").substr(0, EventStreamType.size()),
          EventStreamType);
}

void Attempt::readBody() {
  std::string Bytes = Parser.takeBody();
  if (Bytes.empty())
    return;
  if (IsEventStream) {
    readEvents(Bytes);
    return;
  }
  Body += Bytes;
  if (Body.size() > MaxWholeAnswerBytes)
    fail(dispatch::ServerFault::Malformed, "answer-too-large");
  else
    Observer->onBodyGrown(Body.size());
}

void Attempt::readEvents(std::string_view Bytes) {
  bool IsSound = Events.push(Bytes);
  noteStart(IsSound);
  // Those before a malformed event are part of the stream, unless the malformed
  // one contradicts the only id.
  std::string Complete = Events.takeCompleteEvents();
  if (!IsSound && !Events.isPositionConfirmed())
    Complete.clear();
  if (holdsResponseHead(Complete, {}, Context.Names.RequestId)) {
    fail(dispatch::ServerFault::Malformed, "repeated-answer");
    return;
  }
  if (!Complete.empty()) {
    noteEvents();
    Observer->onEvents(Complete);
  }
  if (!IsSound)
    fail(dispatch::ServerFault::Malformed, "malformed-event");
}

void Attempt::noteStart(bool IsSound) {
  if (!IsStartOpen || (IsSound && !Events.isPositionConfirmed()))
    return;
  IsStartOpen = false;
  if (Events.isPositionConfirmed())
    Context.Starts.onConfirmed(Service, *Events.firstId());
  else if (!Events.firstId())
    Context.Starts.onRejected(Service);
}

void Attempt::noteEvents() {
  TimePoint Before = std::exchange(LastProgress, now());
  if (FirstEventAt == TimePoint()) {
    FirstEventAt = LastProgress;
    return;
  }
  Duration Gap = LastProgress - Before;
  LongestGap = std::max(LongestGap, Gap);
  tracker().onEvent(Server.Id, Gap, LastProgress);
  if (LastProgress - FirstEventAt >= SurvivalTime)
    noteSurvival();
}

void Attempt::noteSurvival() {
  if (!std::exchange(HasSurvived, true))
    Context.Quarantine.onSurvived(Request.Traits, SentAt, now());
}

void Attempt::finishAnswer() {
  const http::ResponseHead &H = Parser.head();
  if (H.Status == StatusMisdirected ||
      !H.header(Context.Names.NotRun).empty()) {
    noteDecline();
    end(AttemptEnd::Declined);
    return;
  }
  if (isLengthWrong()) {
    fail(dispatch::ServerFault::Malformed, "bytes-after-answer");
    return;
  }
  // An answer that ends with its connection looks the same after a crash.
  if (http::isSuccess(H.Status) && Parser.isFramed())
    noteSurvival();
  if (IsEventStream) {
    if (Events.isEventMissing())
      fail(dispatch::ServerFault::Malformed, "incomplete-event");
    else
      end(AttemptEnd::StreamEnded);
    return;
  }
  // A whole body may quote the answer to another request.
  bool MayQuote = Parser.isFramed() && Unparsed.empty();
  if (endsInResponseHead(Body, Unparsed,
                         Parser.isFramed() ? MinCopiedBytesFramed
                                           : MinCopiedBytesUnframed) ||
      holdsResponseHead(Body, Unparsed, Context.Names.RequestId,
                        MayQuote ? std::string_view(Request.RequestId)
                                 : std::string_view())) {
    fail(dispatch::ServerFault::Malformed, "repeated-answer");
    return;
  }
  end(AttemptEnd::Answered);
}

bool Attempt::isLengthWrong() const {
  // A server may write a body for HEAD.
  return !Unparsed.empty() && !http::beginsResponse(Unparsed) &&
         !http::isHead(Request.Message.Method) &&
         !Parser.head().header("Content-Length").empty();
}

void Attempt::noteDecline() {
  const http::ResponseHead &H = Parser.head();
  FaultText = "declined-" + std::to_string(H.Status);
  Work = 0;
  // A server that declines a request although it has free slots is not full but
  // unavailable.
  IsServerUnavailable = H.Status == StatusMisdirected ||
                        !H.header(Context.Names.InstanceAtFault).empty() ||
                        tracker().inFlight(Server.Id) < Server.Slots;
  if (Stated.IsReplaced)
    tracker().onReplaced(Server.Id);
  else if (!Stated.Pause) // Otherwise, the server has stated when to come back.
    tracker().onFault(Server.Id,
                      IsServerUnavailable ? dispatch::ServerFault::Unavailable
                                          : dispatch::ServerFault::Full,
                      now());
}

void Attempt::fail(dispatch::ServerFault Fault, std::string_view Text) {
  if (!Observer)
    return;
  FaultText = Text;
  bool IsSilent = Fault == dispatch::ServerFault::TimedOut ||
                  (Socket && Socket->hasTimedOut());
  if (IsSilent && !HasBytes)
    tracker().onSilence(Server, dispatch::Silence::Send, SentAt, now());
  else
    tracker().onFault(Server.Id, Fault, now());
  end(AttemptEnd::Broken);
}

void Attempt::endConnect() {
  FaultText = "connect-failed";
  Work = 0;
  if (Socket->hasTimedOut()) {
    tracker().onSilence(Server, dispatch::Silence::Connect, ConnectBegun,
                        now());
  } else {
    // A refusal passed both ways.
    tracker().onReached(Server, ConnectBegun, now());
    tracker().onFault(Server.Id, dispatch::ServerFault::NotConnected, now());
  }
  end(AttemptEnd::NotConnected);
}

void Attempt::onEnd(SocketEnd End) {
  auto Self = shared_from_this();
  if (CurrentStage == Stage::Connecting) {
    endConnect();
    return;
  }
  if (CurrentStage != Stage::Sent)
    return;
  if (!HasSurvived && !tracker().isStopping(Server.Id))
    Context.Crashes.onBroken(Server, Request.Traits, now());
  if (End == SocketEnd::Closed && HasHead) {
    // An answer without a length ends when the connection is closed.
    Parser.feedEnd();
    if (Parser.stage() == ParseStage::Done) {
      finishAnswer();
      return;
    }
  }
  if (!IsFreshConnection && !HasBytes) {
    // Not a sign of bad health.
    FaultText = "idle-connection-closed";
    end(AttemptEnd::IdleClosed);
    return;
  }
  fail(dispatch::ServerFault::Unreachable, "connection-broken");
}

void Attempt::end(AttemptEnd How) {
  AttemptObserver *Last = std::exchange(Observer, nullptr);
  if (!Last)
    return;
  CurrentStage = Stage::Ended;
  leaveServer(How == AttemptEnd::Answered || How == AttemptEnd::StreamEnded ||
              (How == AttemptEnd::Declined && !Stated.IsReplaced));
  Last->onAttemptEnd(How);
}

void Attempt::abandon() {
  Observer = nullptr;
  CurrentStage = Stage::Ended;
  leaveServer(false);
}

void Attempt::leaveServer(bool IsReusable) {
  if (Socket) {
    // A server that writes a body for HEAD may do so late.
    bool IsClean = IsReusable && Parser.stage() == ParseStage::Done &&
                   !http::isHead(Request.Message.Method) &&
                   Parser.isKeepAlive() && Unparsed.empty() &&
                   Socket->unsent() == 0 && Socket->isOpen();
    if (IsClean) {
      Socket->resumeReading();
      Context.Pool.keep(Server.Id, {std::move(Socket), std::move(Carried)},
                        keepAliveTime(Parser.head()), now());
    } else if (Parser.stage() == ParseStage::Done) {
      Socket->close();
    } else {
      Socket->abort();
    }
    Socket.reset();
  }
  Unparsed = std::string();
  AnswerCharge.set(Body.capacity());
  if (!std::exchange(IsCounted, false))
    return;
  Context.Dispatch.onEnded(Service, Server.Id, now(), Work);
  Context.OnSlotFree();
}

} // namespace ragwort::gateway
