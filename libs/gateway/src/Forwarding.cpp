//===- Forwarding.cpp - Forwards one request to a backend server ----------===//
#include "ragwort/gateway/Forwarding.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/gateway/RequestHead.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <charconv>

namespace ragwort::gateway {

namespace {

// Within a data centre a connection opens in a few milliseconds, but one lost
// packet delays it by a second. Trying another server is faster.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
// Callers abandon a stream without new events after the longest of this time
// and the multiples of the route's targets below. The platform publishes the
// rule.
constexpr Duration MinStreamTimeout = std::chrono::milliseconds(2000);
constexpr int StreamTimeoutTargetLatencies = 4;
constexpr int StreamTimeoutTargetGaps = 8;
// A repeatable request without an answer is retried after this multiple of the
// target latency, or after half of the time that was left when it was sent.
constexpr int ResponseTimeoutTargetLatencies = 3;
// Maximum idle time of a connection that is reused for an at-most-once request:
// the server may close an older one just as the request is sent, and the
// request could not be retried.
constexpr Duration MaxIdleAtMostOnce = std::chrono::milliseconds(2000);
constexpr Duration MaxIdleRepeatable = std::chrono::seconds(60);
// Time without an event after which a request leaves a server behind a lost
// path.
constexpr Duration LostPathSilence = std::chrono::milliseconds(300);
// A retry needs at least this much time before the deadline for its answer.
constexpr Duration MinRetryTime = std::chrono::milliseconds(80);
// Interval at which a request that makes no progress is checked again while no
// other server is free.
constexpr Duration ProgressCheckInterval = std::chrono::milliseconds(100);
// A server that has written a stream for this long survives its prompt; one
// that crashes of a prompt does so within its first events.
constexpr Duration SurvivalTime = std::chrono::milliseconds(1000);
// Retry-After time if no better estimate is available.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
// Maximum size of an answer that is not an event stream, and of what may come
// before the answer to a request.
constexpr size_t MaxWholeAnswerBytes = 8 * MiB;
// Part of an answer that is read even while memory is exhausted.
constexpr size_t SmallAnswerBytes = 64 * KiB;

constexpr size_t MaxLoggedPartsBytes = 160;

TimePoint now() { return SteadyClock().now(); }

int64_t millis(Duration Length) { return Length.count() / 1000; }

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }
bool isServerFailure(unsigned Status) { return Status >= 500; }

std::optional<uint64_t> parseNumber(std::string_view Text) {
  uint64_t Number = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Text.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

} // namespace

Forwarding::Forwarding(ForwardingContext &Context, AcceptedRequest Given,
                       AnswerSink &Sink)
    : Context(Context), Accepted(std::move(Given)), Sink(&Sink),
      Service(chooseService(*Accepted.Target, Accepted.RequestId)),
      Flow(Accepted.Target->Repeat, Accepted.Target->MaxAttempts),
      Timer(Context.Io), AnswerCharge(Context.Memory, dispatch::Held::Servers) {
  std::string_view After = Accepted.Message.header(Context.Names.LastEventId);
  if (std::optional<uint64_t> Id = parseNumber(After))
    Events.resumeAfter(*Id);
}

Forwarding::~Forwarding() { leaveServer(false); }

void Forwarding::start() {
  Context.Dispatch.onRequest(Service, now());
  Context.Quarantine.onRequest(Accepted.Traits, now());
  auto Self = shared_from_this();
  place();
}

Duration Forwarding::callerTimeout() const {
  const Route &R = *Accepted.Target;
  if (!R.IsStream)
    return Accepted.Deadline - Accepted.Arrived;
  return std::max({MinStreamTimeout,
                   StreamTimeoutTargetLatencies * R.TargetLatency,
                   StreamTimeoutTargetGaps * R.TargetGap});
}

RetryConditions Forwarding::retryConditions() {
  TimePoint At = now();
  RetryConditions Result;
  Result.IsTimeLeft = Accepted.Deadline - At > MinRetryTime;
  Result.IsBudgetLeft =
      Flow.arrivals() == 0 || Context.Dispatch.hasRetryBudget(Service, At);
  return Result;
}

bool Forwarding::endIfQuarantined() {
  TimePoint At = now();
  auto Active = Context.Quarantine.find(Accepted.Traits, At);
  if (!Active)
    return false;
  LastFault = quarantineReason(Active->Subject.Kind);
  RetryAfter = Active->Until - At;
  leaveServer(false);
  carryOut(Flow.onNoBackend());
  return true;
}

bool Forwarding::moveIfEvacuated() {
  if (!Context.Dispatch.loadTracker().isEvacuated(Server.Id))
    return false;
  logEvent(LogLevel::Info, "request-moved",
           {{"request", Accepted.RequestId},
            {"cause", "evacuation"},
            {"instance", Server.Id},
            {"events", Events.events()},
            {"sends", Flow.sends()}});
  leaveServer(false);
  place();
  return true;
}

void Forwarding::noteSurvival() {
  if (!std::exchange(HasSurvived, true))
    Context.Quarantine.onSurvived(Accepted.Traits, SentAt, now());
}

void Forwarding::noteConnectionEnd() {
  if (HasSurvived || Context.Dispatch.loadTracker().isStopping(Server.Id))
    return;
  Context.Crashes.onBroken(Server, Accepted.Traits, now());
}

dispatch::PlacementRequest Forwarding::placementRequest() const {
  dispatch::PlacementRequest R;
  R.Service = Service;
  R.Excluded = Excluded;
  R.Regions = Accepted.regions();
  R.Priority = Accepted.Priority;
  R.Arrived = Accepted.Arrived;
  R.TargetLatency = Accepted.Target->TargetLatency;
  R.ExpiresAt = std::min(Accepted.Deadline, Accepted.Arrived + callerTimeout());
  if (Flow.hasAnswerBegun())
    R.ExpiresAt = std::min(Accepted.Deadline, LastProgress + callerTimeout());
  R.HasComeBack = Accepted.HasComeBack;
  R.HasBeenSent = Flow.arrivals() > 0;
  const gateway::Service *ServiceConfig = Accepted.Config->findService(Service);
  R.IsBatched = ServiceConfig && ServiceConfig->Engine;
  if (R.IsBatched) {
    R.Speed = ServiceConfig->Engine->Speed;
    RequestTokens Tokens = readTokens(Accepted.Message, Context.Names);
    R.PromptTokens = Tokens.Prompt;
    R.AnswerTokens = Tokens.Answer;
  }
  return R;
}

void Forwarding::logPlacement(const dispatch::Placement &P) const {
  if (P.Result == dispatch::Placement::Decision::Send)
    return;
  bool Waits = P.Result == dispatch::Placement::Decision::Wait;
  std::string_view Reason = Waits ? "waits" : toString(P.Refusal);
  Context.Metrics
      .counter("ragwort_unplaced_requests_total",
               "decision=\"" + std::string(Reason) + "\"")
      .add();
  logEvent(LogLevel::Info, Waits ? "request-waits" : "request-turned-away",
           {{"request", Accepted.RequestId},
            {"service", Service},
            {"reason", Reason},
            {"priority", Accepted.Priority},
            {"work", std::to_string(P.Work)},
            {"work_ahead", std::to_string(P.Expected.WorkAhead)},
            {"predicted_ms",
             P.Expected.Wait ? std::to_string(millis(*P.Expected.Wait)) : ""},
            {"waiting", P.Waiting},
            {"came_back", static_cast<int>(Accepted.HasComeBack)},
            {"retry_ms", millis(P.RetryAfter)}});
}

void Forwarding::logTurnedAway(const dispatch::DequeuedRequest &C) const {
  Context.Metrics
      .counter("ragwort_unplaced_requests_total",
               "decision=\"" + std::string(toString(C.Refusal)) + "\"")
      .add();
  logEvent(LogLevel::Info, "request-turned-away",
           {{"request", Accepted.RequestId},
            {"service", Service},
            {"reason", toString(C.Refusal)},
            {"priority", Accepted.Priority},
            {"work", std::to_string(Work)},
            {"waited_ms", millis(now() - Accepted.Arrived)},
            {"came_back", static_cast<int>(Accepted.HasComeBack)},
            {"retry_ms", millis(C.RetryAfter)}});
}

void Forwarding::place() {
  CurrentPhase = Phase::Placing;
  if (endIfQuarantined())
    return;
  dispatch::Placement P = Context.Dispatch.place(placementRequest(), now());
  Work = P.Work;
  logPlacement(P);
  switch (P.Result) {
  case dispatch::Placement::Decision::Send:
    sendTo(P.Server);
    return;
  case dispatch::Placement::Decision::Wait:
    CurrentPhase = Phase::Waiting;
    Ticket = P.Ticket;
    Context.OnQueued(Ticket, weak_from_this());
    armTimer();
    return;
  case dispatch::Placement::Decision::Refuse:
    if (LastFault.empty())
      LastFault = toString(P.Refusal);
    RetryAfter = P.RetryAfter;
    carryOut(Flow.onNoBackend());
    return;
  }
}

void Forwarding::onDequeued(const dispatch::DequeuedRequest &C) {
  if (CurrentPhase != Phase::Waiting || C.Ticket != Ticket)
    return;
  auto Self = shared_from_this();
  Ticket = 0;
  if (endIfQuarantined())
    return;
  if (C.Server) {
    sendTo(*C.Server);
    return;
  }
  if (LastFault.empty())
    LastFault = toString(C.Refusal);
  logTurnedAway(C);
  RetryAfter = C.RetryAfter;
  carryOut(Flow.onNoBackend());
}

void Forwarding::sendTo(const dispatch::BackendInstance &Chosen) {
  Server = Chosen;
  IsCounted = true;
  Context.Dispatch.onStarted(Server.Id, now());
  Duration MaxIdle =
      Flow.isRepeatable() ? MaxIdleRepeatable : MaxIdleAtMostOnce;
  // On a path that is not good, what is written to a kept connection may never
  // arrive; a new connection shows that before the request is sent.
  const dispatch::PathHealth &Paths = Context.Dispatch.loadTracker().paths();
  if (Paths.areAllGood() ||
      Paths.state(Server.DataCentre) == dispatch::PathState::Good)
    Socket = Context.Pool.take(Server.Id, now(), MaxIdle);
  IsFreshConnection = !Socket;
  if (Socket) {
    Socket->setHandler(this);
    writeRequest();
    return;
  }
  CurrentPhase = Phase::Connecting;
  ConnectBegun = now();
  Context.Metrics.counter("ragwort_backend_connections_total").add();
  Socket = std::make_shared<StreamSocket>(Context.Io);
  Socket->setCharge({Context.Memory, dispatch::Held::Servers});
  Socket->setHandler(this);
  std::optional<Address> At = parseAddress(Server.Address);
  Socket->connect(endpointOf<asio::ip::tcp>(At.value_or(Address{"0.0.0.0", 0})),
                  ConnectTimeout);
  armTimer();
}

void Forwarding::onConnected() {
  auto Self = shared_from_this();
  Context.Dispatch.loadTracker().onConnected(Server.Id);
  Context.Dispatch.loadTracker().onReached(Server, ConnectBegun, now());
  if (!endIfQuarantined() && !moveIfEvacuated())
    writeRequest();
}

std::string Forwarding::requestHead() const {
  SystemFields Fields;
  Fields.TimeLeft = Accepted.Deadline - now();
  Fields.Instance = Server.Id;
  Fields.Organisation = Accepted.Organisation;
  if (Accepted.Target->IsStream)
    Fields.Priority = Accepted.Priority;
  if (Flow.hasAnswerBegun())
    Fields.LastEventId = Events.lastId();
  return makeRequestHead(Accepted.Message, Context.Names, Fields);
}

void Forwarding::writeRequest() {
  CurrentPhase = Phase::Sent;
  Parser = ResponseParser();
  if (Accepted.Message.Method == "HEAD")
    Parser.expectNoBody();
  Unparsed.clear();
  Body.clear();
  HasHead = false;
  Stated = ServerStatement();
  IsEventStream = false;
  SkippedBytes = 0;
  HasBytes = false;
  HasEvent = false;
  HasSurvived = false;
  if (Flow.arrivals() > 0)
    Context.Dispatch.onRetry(Service, now());
  std::string Bytes = requestHead();
  Bytes += Accepted.Message.Body;
  Flow.onSent();
  SentAt = now();
  LastProgress = SentAt;
  Socket->write(Bytes);
  armTimer();
}

void Forwarding::onBytes(std::string_view Bytes) {
  auto Self = shared_from_this();
  if (CurrentPhase != Phase::Sent)
    return;
  if (!std::exchange(HasBytes, true))
    Context.Dispatch.loadTracker().onReached(Server, SentAt, now());
  Unparsed += Bytes;
  parse();
  if (CurrentPhase == Phase::Sent)
    AnswerCharge.set(Body.capacity() + Unparsed.capacity());
}

bool Forwarding::isOtherRequestsAnswer() const {
  return Parser.head().header(Context.Names.RequestId) != Accepted.RequestId;
}

void Forwarding::parse() {
  while (CurrentPhase == Phase::Sent) {
    size_t Taken = Parser.feed(Unparsed);
    Unparsed.erase(0, Taken);
    ParseStage Stage = Parser.stage();
    if (Stage == ParseStage::Failed || SkippedBytes > MaxWholeAnswerBytes) {
      onServerFault(dispatch::ServerFault::Malformed, "malformed-response");
      return;
    }
    if (Stage == ParseStage::Head)
      return;
    if (Parser.isInterim() || isOtherRequestsAnswer()) {
      // A late answer to an earlier request may precede the answer to this one.
      Parser.takeBody();
      SkippedBytes += Taken;
      if (Stage == ParseStage::Done && !Parser.isInterim())
        noteForeignAnswer();
      if (Stage != ParseStage::Done)
        return;
      Parser = ResponseParser();
      if (Unparsed.empty())
        return;
      continue;
    }
    if (!HasHead && !acceptHead())
      return;
    forwardBody();
    if (CurrentPhase != Phase::Sent)
      return;
    if (Stage == ParseStage::Done)
      finishAnswer();
    return;
  }
}

void Forwarding::noteForeignAnswer() const {
  Context.Metrics.counter("ragwort_foreign_answers_total").add();
  const http::ResponseHead &H = Parser.head();
  logEvent(LogLevel::Info, "foreign-answer",
           {{"request", Accepted.RequestId},
            {"instance", Server.Id},
            {"answered", H.header(Context.Names.RequestId)},
            {"status", H.Status}});
}

void Forwarding::noteStatement() {
  dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
  Stated = readStatement(Parser.head(), Context.Names, Server.Id);
  for (const HeaderField &Field : Stated.Malformed)
    Tracker.onMalformedField(Server.Id, Field.Name, Field.Value);
  if (Stated.IsLeaving)
    Tracker.onLeaving(Server, now());
  if (Stated.IsRateLimitKnown)
    Tracker.onRateLimit(Server, Stated.RateLimit, now());
  if (Stated.Pause)
    Tracker.onPaused(Server, *Stated.Pause, now());
}

bool Forwarding::acceptHead() {
  HasHead = true;
  const http::ResponseHead &H = Parser.head();
  noteStatement();
  bool IsStamped = !H.header(Context.Names.AnswerStamp).empty();
  if (isSuccess(H.Status) && !IsStamped) {
    onServerFault(dispatch::ServerFault::Malformed, "missing-answer-stamp");
    return false;
  }
  IsEventStream = Accepted.Target->IsStream && isSuccess(H.Status) &&
                  H.header("Content-Type").starts_with("text/event-stream");
  return true;
}

void Forwarding::noteEvents() {
  TimePoint Before = std::exchange(LastProgress, now());
  if (!std::exchange(HasEvent, true)) {
    FirstEventAt = LastProgress;
    return;
  }
  Duration Gap = LastProgress - Before;
  LongestGap = std::max(LongestGap, Gap);
  Context.Dispatch.loadTracker().onEvent(Server.Id, Gap, LastProgress);
  if (LastProgress - FirstEventAt >= SurvivalTime)
    noteSurvival();
}

void Forwarding::forwardBody() {
  std::string Bytes = Parser.takeBody();
  if (Bytes.empty())
    return;
  if (!IsEventStream) {
    Body += Bytes;
    if (Body.size() > MaxWholeAnswerBytes)
      onServerFault(dispatch::ServerFault::Malformed, "answer-too-large");
    else if (Body.size() > SmallAnswerBytes &&
             Context.Memory->level() == dispatch::MemoryLevel::Exhausted)
      pauseServer();
    return;
  }
  if (!Events.push(Bytes)) {
    onServerFault(dispatch::ServerFault::Malformed, "malformed-event");
    return;
  }
  std::string Complete = Events.takeCompleteEvents();
  if (Complete.empty())
    return;
  noteEvents();
  if (!Flow.hasAnswerBegun()) {
    Head = Parser.head();
    TimeToFirstByte = LastProgress - Accepted.Arrived;
    Context.Dispatch.loadTracker().onAnswered(Server.Id, LastProgress - SentAt,
                                              LastProgress);
    Flow.onAnswerBegun();
    Sink->beginStream(Head);
  }
  AnswerBytes += Complete.size();
  Sink->continueStream(Complete);
  armTimer();
  if (Sink->unsent() > Context.Memory->unreadLimit())
    pauseServer();
}

void Forwarding::pauseServer() {
  Sink->pace().onPaused(now());
  Socket->pauseReading();
}

void Forwarding::resumeServer() {
  // The server was not silent: it was not read.
  LastProgress = now();
  Socket->resumeReading();
  armTimer();
}

void Forwarding::onSinkDrained() {
  if (CurrentPhase == Phase::Sent && IsEventStream && Socket->isReadingPaused())
    resumeServer();
}

void Forwarding::whilePaused(TimePoint At) {
  bool IsExhausted =
      Context.Memory->level() == dispatch::MemoryLevel::Exhausted;
  dispatch::CallerPace &Pace = Sink->pace();
  dispatch::PausedStep Step =
      IsEventStream
          ? Pace.whilePaused(Context.Memory->unreadLimit(), IsExhausted, At)
          : Pace.whileAnswerPaused(IsExhausted, At);
  if (Step == dispatch::PausedStep::Resume)
    resumeServer();
  else if (Step == dispatch::PausedStep::GiveUp)
    giveUpSlowCaller();
}

void Forwarding::giveUpSlowCaller() {
  logEvent(LogLevel::Warning, "slow-caller",
           {{"request", Accepted.RequestId},
            {"unread", Sink->unsent()},
            {"level", toString(Context.Memory->level())},
            {"instance", Server.Id}});
  Context.Metrics.counter("ragwort_slow_callers_total").add();
  AnswerSink *Last = std::exchange(Sink, nullptr);
  Flow.onCallerGone();
  leaveServer(false);
  finish("slow-caller", 0);
  Last->cut();
}

void Forwarding::finishAnswer() {
  const http::ResponseHead &H = Parser.head();
  bool IsDeclined =
      H.Status == StatusMisdirected || !H.header(Context.Names.NotRun).empty();
  if (IsDeclined) {
    onDeclined();
    return;
  }
  // An answer that ends with its connection looks the same after a crash.
  if (isSuccess(H.Status) && Parser.isFramed())
    noteSurvival();
  if (IsEventStream) {
    finishStream();
    return;
  }
  if (isServerFailure(H.Status)) {
    onFailureAnswer();
    return;
  }
  if (isSuccess(H.Status))
    Context.Dispatch.loadTracker().onAnswered(Server.Id, now() - SentAt, now());
  relayAnswer();
}

void Forwarding::finishStream() {
  if (Events.hasPartialEvent()) {
    onServerFault(dispatch::ServerFault::Malformed, "incomplete-event");
    return;
  }
  if (!Flow.hasAnswerBegun()) {
    Flow.onAnswerBegun();
    Sink->beginStream(Parser.head());
  }
  unsigned Status = Parser.head().Status;
  leaveServer(true);
  AnswerSink *Last = Sink;
  Sink = nullptr;
  finish("completed", Status);
  Last->endStream();
}

void Forwarding::relayAnswer() {
  http::ResponseHead Answer = Parser.head();
  if (TimeToFirstByte.count() == 0)
    TimeToFirstByte = now() - Accepted.Arrived;
  AnswerBytes += Body.size();
  leaveServer(true);
  AnswerSink *Last = Sink;
  Sink = nullptr;
  finish(isSuccess(Answer.Status) ? "completed" : "server-failure",
         Answer.Status);
  Last->sendResponse(Answer, Body);
}

void Forwarding::onDeclined() {
  const http::ResponseHead &H = Parser.head();
  dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
  // A server that declines a request although it has free slots is not full but
  // unavailable.
  bool IsUnavailable = H.Status == StatusMisdirected ||
                       !H.header(Context.Names.InstanceAtFault).empty() ||
                       Tracker.inFlight(Server.Id) < Server.Slots;
  LastFault = "declined-" + std::to_string(H.Status);
  if (Stated.IsReplaced)
    Tracker.onReplaced(Server.Id);
  else if (!Stated.Pause) // Otherwise, the server has stated when to come back.
    Tracker.onFault(Server.Id,
                    IsUnavailable ? dispatch::ServerFault::Unavailable
                                  : dispatch::ServerFault::Full,
                    now());
  Excluded.push_back(Server.Id);
  Work = 0;
  leaveServer(!Stated.IsReplaced);
  if (Stated.Pause)
    RetryAfter = Context.Dispatch.spread(*Stated.Pause);
  else
    RetryAfter = IsUnavailable ? dispatch::Dispatcher::RecoveringRetryAfter
                               : DefaultRetryAfter;
  carryOut(Stated.IsReplaced ? Flow.onMisdirected(retryConditions())
                             : Flow.onDeclined(retryConditions()));
}

void Forwarding::onFailureAnswer() {
  LastFault = "status-" + std::to_string(Parser.head().Status);
  Context.Dispatch.loadTracker().onFault(Server.Id,
                                         dispatch::ServerFault::Failure, now());
  Step Next = Flow.onFailureAnswer(retryConditions());
  if (Next == Step::RelayAnswer) {
    relayAnswer();
    return;
  }
  Excluded.push_back(Server.Id);
  leaveServer(true);
  carryOut(Next);
}

void Forwarding::logFailedSend(std::string_view Fault) const {
  Context.Metrics
      .counter("ragwort_failed_sends_total",
               "fault=\"" + std::string(Fault) + "\"")
      .add();
  std::string_view Parts = Accepted.Message.header(Context.Names.PromptParts);
  logEvent(
      LogLevel::Info, "send-failed",
      {{"request", Accepted.RequestId},
       {"instance", Server.Id},
       {"fault", Fault},
       {"send", Flow.sends()},
       {"events", Events.events()},
       {"sent_ms", millis(now() - SentAt)},
       {"silent_ms", millis(now() - LastProgress)},
       {"organisation", Accepted.Organisation},
       {"fingerprint", quarantine::toString(Accepted.Traits.fingerprint())},
       {"parts", Parts.substr(0, MaxLoggedPartsBytes)}});
}

void Forwarding::onServerFault(dispatch::ServerFault Fault,
                               std::string_view Text) {
  logFailedSend(Text);
  LastFault = Text;
  dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
  bool IsSilent = Fault == dispatch::ServerFault::TimedOut ||
                  (Socket && Socket->hasTimedOut());
  if (IsSilent && !HasBytes)
    Tracker.onSilence(Server, dispatch::Silence::Send, SentAt, now());
  else
    Tracker.onFault(Server.Id, Fault, now());
  Excluded.push_back(Server.Id);
  leaveServer(false);
  carryOut(Flow.onBroken(retryConditions()));
}

void Forwarding::onEnd(SocketEnd End) {
  auto Self = shared_from_this();
  if (CurrentPhase == Phase::Connecting) {
    LastFault = "connect-failed";
    dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
    if (Socket->hasTimedOut()) {
      Tracker.onSilence(Server, dispatch::Silence::Connect, ConnectBegun,
                        now());
    } else {
      // A refusal passed both ways.
      Tracker.onReached(Server, ConnectBegun, now());
      Tracker.onFault(Server.Id, dispatch::ServerFault::NotConnected, now());
    }
    Excluded.push_back(Server.Id);
    Work = 0;
    leaveServer(false);
    carryOut(Flow.onConnectFailed(retryConditions()));
    return;
  }
  if (CurrentPhase != Phase::Sent)
    return;
  noteConnectionEnd();
  if (End == SocketEnd::Closed && HasHead) {
    // An answer without a length ends when the connection is closed.
    Parser.feedEnd();
    if (Parser.stage() == ParseStage::Done) {
      finishAnswer();
      return;
    }
  }
  if (!IsFreshConnection && !HasBytes) {
    // The server closed a reused idle connection just as the request was sent;
    // this is not a sign of bad health.
    LastFault = "idle-connection-closed";
    logFailedSend(LastFault);
    leaveServer(false);
    carryOut(Flow.onBroken(retryConditions()));
    return;
  }
  onServerFault(dispatch::ServerFault::Unreachable, "connection-broken");
}

void Forwarding::carryOut(Step Next) {
  switch (Next) {
  case Step::Continue:
  case Step::RelayAnswer:
  case Step::Abandon:
    return;
  case Step::TryAnother:
    Events.beginContinuation();
    place();
    return;
  case Step::RefuseNotRun:
    Context.Dispatch.refused().add(Accepted.Traits.fingerprint(), now());
    sendLocalReply(503, "not-run", RetryAfter.value_or(DefaultRetryAfter));
    return;
  case Step::FailUnknown:
    sendLocalReply(502, "outcome-unknown", std::nullopt);
    return;
  case Step::FailTimeout:
    sendLocalReply(504, "timeout", std::nullopt);
    return;
  case Step::CutAnswer: {
    AnswerSink *Last = Sink;
    Sink = nullptr;
    finish("cut", 0);
    Last->cut();
    return;
  }
  }
}

void Forwarding::sendLocalReply(unsigned Status, std::string_view Reason,
                                std::optional<Duration> RetryAfterTime) {
  AnswerSink *Last = Sink;
  Sink = nullptr;
  finish(Reason, Status);
  Last->sendLocalReply({Status, Reason, RetryAfterTime});
}

void Forwarding::releaseServer() {
  if (!IsCounted)
    return;
  IsCounted = false;
  Context.Dispatch.onEnded(Service, Server.Id, now(), Work);
  Context.OnSlotFree();
}

void Forwarding::leaveServer(bool IsReusable) {
  if (Socket) {
    bool IsClean = IsReusable && Parser.stage() == ParseStage::Done &&
                   Parser.isKeepAlive() && Unparsed.empty() &&
                   Socket->unsent() == 0 && Socket->isOpen();
    if (IsClean)
      Socket->resumeReading();
    if (IsClean)
      Context.Pool.keep(Server.Id, std::move(Socket),
                        keepAliveTime(Parser.head()), now());
    else if (Parser.stage() == ParseStage::Done)
      Socket->close();
    else
      Socket->abort();
    Socket.reset();
  }
  Unparsed = std::string();
  AnswerCharge.set(Body.capacity());
  releaseServer();
}

void Forwarding::onCallerGone() {
  if (CurrentPhase == Phase::Done)
    return;
  auto Self = shared_from_this();
  Sink = nullptr;
  Flow.onCallerGone();
  leaveServer(false);
  finish("caller-gone", 0);
}

bool Forwarding::hasOtherFreeServer(TimePoint At) {
  std::vector<std::string> Tried = Excluded;
  Tried.push_back(Server.Id);
  return Context.Dispatch.hasFreeServer({Service, Tried, Accepted.regions()},
                                        At);
}

void Forwarding::onTick(TimePoint At) {
  auto Self = shared_from_this();
  if (CurrentPhase == Phase::Sent && !HasEvent && endIfQuarantined())
    return;
  if (CurrentPhase == Phase::Sent && Socket->isReadingPaused())
    whilePaused(At);
  moveFromServer(At);
}

void Forwarding::moveFromServer(TimePoint At) {
  if (CurrentPhase != Phase::Sent)
    return;
  const dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
  bool IsPathLost =
      !Tracker.paths().areAllGood() &&
      Tracker.paths().state(Server.DataCentre) == dispatch::PathState::Lost &&
      At - LastProgress >= LostPathSilence;
  // A slow rank delays not only its own streams but all streams of its group.
  if ((!IsPathLost && !Tracker.isStraggler(Server.Id, At)) ||
      !Flow.mayRetry(retryConditions()) || !hasOtherFreeServer(At))
    return;
  std::string_view Cause = IsPathLost ? "path-lost" : "straggler";
  logEvent(LogLevel::Info, "request-moved",
           {{"request", Accepted.RequestId},
            {"cause", Cause},
            {"instance", Server.Id},
            {"events", Events.events()},
            {"sends", Flow.sends()}});
  LastFault = Cause;
  Excluded.push_back(Server.Id);
  leaveServer(false);
  carryOut(Flow.onBroken(retryConditions()));
}

TimePoint Forwarding::progressDeadline() const {
  const Route &R = *Accepted.Target;
  if (Socket && Socket->isReadingPaused())
    return Accepted.Deadline;
  if (R.IsStream)
    return LastProgress + callerTimeout() / 2;
  return SentAt + std::min((Accepted.Deadline - SentAt) / 2,
                           ResponseTimeoutTargetLatencies * R.TargetLatency);
}

void Forwarding::armTimer() {
  TimePoint Due = Accepted.Deadline;
  if (CurrentPhase == Phase::Sent && !IsProgressTimeoutOff)
    Due = std::min(Due, std::max(progressDeadline(), NextProgressCheck));
  Timer.expires_at(std::chrono::steady_clock::time_point(Due));
  Timer.async_wait([Weak = weak_from_this()](error_code Error) {
    if (Error)
      return;
    if (auto Self = Weak.lock())
      Self->onTimer();
  });
}

void Forwarding::onTimer() {
  if (CurrentPhase == Phase::Done)
    return;
  TimePoint At = now();
  if (At >= Accepted.Deadline) {
    if (LastFault.empty())
      LastFault = "deadline-reached";
    leaveServer(false);
    carryOut(Flow.onTimeUp());
    return;
  }
  if (CurrentPhase == Phase::Sent && At >= progressDeadline()) {
    if (!Flow.mayRetry(retryConditions())) {
      // No retry is possible; wait until the deadline.
      IsProgressTimeoutOff = true;
    } else if (hasOtherFreeServer(At)) {
      onServerFault(dispatch::ServerFault::TimedOut, "response-timeout");
      return;
    } else {
      // No other server is free: keep waiting instead of losing this run.
      NextProgressCheck = At + ProgressCheckInterval;
    }
  }
  armTimer();
}

void Forwarding::finish(std::string_view Outcome, unsigned Status) {
  CurrentPhase = Phase::Done;
  Timer.cancel();
  if (Ticket != 0)
    Context.Dispatch.cancelWait(Service, Ticket);
  Duration Total = now() - Accepted.Arrived;
  Context.Metrics
      .counter("ragwort_requests_total",
               "outcome=\"" + std::string(Outcome) + "\"")
      .add();
  Context.Metrics.histogram("ragwort_request_seconds").record(Total);
  if (TimeToFirstByte.count() > 0)
    Context.Metrics.histogram("ragwort_first_byte_seconds")
        .record(TimeToFirstByte);
  bool IsRoutine = Outcome == "completed" || Outcome == "caller-gone";
  logEvent(
      IsRoutine ? LogLevel::Info : LogLevel::Warning, "request-finished",
      {{"request", Accepted.RequestId},
       {"outcome", Outcome},
       {"status", Status},
       {"route", Accepted.Target->Name},
       {"organisation", Accepted.Organisation},
       {"fingerprint", quarantine::toString(Accepted.Traits.fingerprint())},
       {"service", Service},
       {"instance", Server.Id},
       {"sends", Flow.sends()},
       {"fault", LastFault},
       {"events", Events.events()},
       {"bytes", AnswerBytes},
       {"framed", static_cast<int>(Parser.isFramed())},
       {"first_ms", millis(TimeToFirstByte)},
       {"longest_gap_ms", millis(LongestGap)},
       {"total_ms", millis(Total)},
       {"in_flight", Context.Dispatch.loadTracker().inFlight(Server.Id)},
       {"waiting", Context.Dispatch.waiting()},
       {"config", Accepted.Config->Version},
       {"directory", Context.DirectoryVersion()}});
}

} // namespace ragwort::gateway
