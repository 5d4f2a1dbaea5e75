//===- Forwarding.cpp - One request on its way to a backend server --------===//
#include "ragwort/gateway/Forwarding.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <charconv>

namespace ragwort::gateway {

namespace {

// Within a data centre a connection opens in a few milliseconds; one lost
// packet costs a second. Trying elsewhere is better than waiting for it.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
// Callers leave a stream that is silent for this long, or for the multiples of
// the route's targets below, whichever is longest (published by the platform).
constexpr Duration StreamPatience = std::chrono::milliseconds(2000);
constexpr int PatienceInTargetLatencies = 4;
constexpr int PatienceInTargetGaps = 8;
// An idempotent request is repeated when its answer takes so many targets.
constexpr int SilenceInTargetLatencies = 3;
// Kept connections this old may be closed by the server just as a request that
// must not be repeated leaves.
constexpr Duration MaxIdleAtMostOnce = std::chrono::milliseconds(2000);
constexpr Duration MaxIdleRepeatable = std::chrono::seconds(60);
// A repeat needs at least this much time for its answer.
constexpr Duration MinRepeatTime = std::chrono::milliseconds(80);
// How often a silent run without an alternative is looked at again.
constexpr Duration SilenceCheckInterval = std::chrono::milliseconds(100);
// Return time told where nothing better is known.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
// Answers that are passed on whole may have this size.
constexpr size_t MaxWholeAnswerBytes = 8 * MiB;
// Bytes that wait for a slow caller before its server is read no further.
constexpr size_t MaxUnsentBytes = 256 * KiB;

constexpr unsigned StatusMisdirected = 421;

TimePoint now() { return SteadyClock().now(); }

int64_t millis(Duration Length) { return Length.count() / 1000; }

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }
bool isServerFailure(unsigned Status) { return Status >= 500; }

/// The seconds of a `Keep-Alive: timeout=N` field, or zero.
Duration keepAliveOf(const http::ResponseHead &Head) {
  constexpr std::string_view Parameter = "timeout=";
  std::string_view Value = Head.header("Keep-Alive");
  size_t At = Value.find(Parameter);
  if (At == std::string_view::npos)
    return Duration(0);
  Value.remove_prefix(At + Parameter.size());
  uint32_t Seconds = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

std::optional<uint64_t> parseNumber(std::string_view Text) {
  uint64_t Number = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Text.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  Text += Name;
  Text += ": ";
  Text += Value;
  Text += "\r\n";
}

bool isListed(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (isSameHeaderName(Item, Name))
      return true;
    if (Comma == std::string_view::npos)
      break;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

} // namespace

Forwarding::Forwarding(ForwardingContext &Context, AcceptedRequest Given,
                       AnswerSink &Sink)
    : Context(Context), Accepted(std::move(Given)), Sink(&Sink),
      Service(chooseService(*Accepted.Target, Accepted.RequestId)),
      Flow(Accepted.Target->Repeat, Accepted.Target->MaxAttempts),
      Timer(Context.Io) {
  std::string_view After = Accepted.Message.header(Context.Names.LastEventId);
  if (std::optional<uint64_t> Id = parseNumber(After))
    Events.resumeAfter(*Id);
}

Forwarding::~Forwarding() { leaveServer(false); }

void Forwarding::start() {
  Context.Dispatch.onRequest(Service, now());
  auto Self = shared_from_this();
  place();
}

Duration Forwarding::patience() const {
  const Route &R = *Accepted.Target;
  if (!R.IsStream)
    return Accepted.Deadline - Accepted.Arrived;
  return std::max({StreamPatience, PatienceInTargetLatencies * R.TargetLatency,
                   PatienceInTargetGaps * R.TargetGap});
}

RetryMeans Forwarding::means() {
  TimePoint At = now();
  RetryMeans Result;
  Result.IsTimeLeft = Accepted.Deadline - At > MinRepeatTime;
  Result.IsBudgetLeft =
      Flow.sends() == 0 || Context.Dispatch.hasRepeatBudget(Service, At);
  return Result;
}

void Forwarding::place() {
  Now = Phase::Placing;
  const gateway::Service *Kind = Accepted.Config->findService(Service);
  PlacementRequest R;
  R.Service = Service;
  R.Excluded = Excluded;
  R.Priority = Accepted.Priority;
  R.Arrived = Accepted.Arrived;
  R.TargetLatency = Accepted.Target->TargetLatency;
  R.UselessAt = std::min(Accepted.Deadline, Accepted.Arrived + patience());
  if (Flow.hasAnswerBegun())
    R.UselessAt = std::min(Accepted.Deadline, LastProgress + patience());
  R.IsBatched = Kind && Kind->Engine;
  Placement P = Context.Dispatch.place(R, now());
  switch (P.What) {
  case Placement::Verdict::Send:
    sendTo(P.Server);
    return;
  case Placement::Verdict::Wait:
    Now = Phase::Waiting;
    Ticket = P.Ticket;
    Context.AwaitTurn(Ticket, weak_from_this());
    armTimer();
    return;
  case Placement::Verdict::Refuse:
    if (LastFault.empty())
      LastFault = toString(P.Why);
    RetryAfter = P.RetryAfter;
    carryOut(Flow.onNoBackend());
    return;
  }
}

void Forwarding::onCalled(const Called &C) {
  if (Now != Phase::Waiting || C.Ticket != Ticket)
    return;
  auto Self = shared_from_this();
  Ticket = 0;
  if (!C.IsGivenUp) {
    place();
    return;
  }
  if (LastFault.empty())
    LastFault = "waited-in-vain";
  RetryAfter = C.RetryAfter;
  carryOut(Flow.onNoBackend());
}

void Forwarding::sendTo(const BackendInstance &Chosen) {
  Server = Chosen;
  IsCounted = true;
  Context.Dispatch.onStarted(Server.Id, now());
  Duration MaxIdle =
      Flow.isRepeatable() ? MaxIdleRepeatable : MaxIdleAtMostOnce;
  Socket = Context.Pool.take(Server.Id, now(), MaxIdle);
  IsFreshConnection = !Socket;
  if (Socket) {
    Socket->setHandler(this);
    writeRequest();
    return;
  }
  Now = Phase::Connecting;
  Context.Metrics.counter("ragwort_backend_connections_total").add();
  Socket = std::make_shared<StreamSocket>(Context.Io);
  Socket->setHandler(this);
  std::optional<Address> At = parseAddress(Server.Address);
  Socket->connect(endpointOf<asio::ip::tcp>(At.value_or(Address{"0.0.0.0", 0})),
                  ConnectTimeout);
  armTimer();
}

void Forwarding::onConnected() {
  auto Self = shared_from_this();
  writeRequest();
}

std::string Forwarding::requestHead() const {
  const ProtocolNames &Names = Context.Names;
  const http::Request &M = Accepted.Message;
  std::string_view PerConnection = M.header("Connection");
  std::string Text = M.Method + " " + M.Target + " HTTP/1.1\r\n";
  bool IsBodyFramed = false;
  for (const HeaderField &Field : M.Headers) {
    std::string_view Name = Field.Name;
    IsBodyFramed |= isSameHeaderName(Name, "Content-Length") ||
                    isSameHeaderName(Name, "Transfer-Encoding");
    // Whatever the caller lists as its connection's own, these identify the
    // request.
    bool IsEssential = isSameHeaderName(Name, "Host") ||
                       isSameHeaderName(Name, Names.RequestId);
    if ((!IsEssential &&
         (http::isHopByHop(Name) || isListed(PerConnection, Name))) ||
        isSameHeaderName(Name, "Authorization") ||
        isSameHeaderName(Name, Names.TimeLeftMillis) ||
        isSameHeaderName(Name, Names.ExpectedInstance) ||
        isSameHeaderName(Name, Names.Organisation) ||
        isSameHeaderName(Name, Names.Urgency) ||
        isSameHeaderName(Name, Names.ExpectedWeights) ||
        isSameHeaderName(Name, Names.LastEventId))
      continue;
    appendField(Text, Name, Field.Value);
  }
  if (IsBodyFramed || !M.Body.empty())
    appendField(Text, "Content-Length", std::to_string(M.Body.size()));
  int64_t Left = std::max<int64_t>(1, millis(Accepted.Deadline - now()));
  appendField(Text, Names.TimeLeftMillis, std::to_string(Left));
  appendField(Text, Names.ExpectedInstance, Server.Id);
  if (!Accepted.Organisation.empty())
    appendField(Text, Names.Organisation, Accepted.Organisation);
  if (Accepted.Target->IsStream)
    appendField(Text, Names.Urgency,
                std::to_string(std::min<uint32_t>(Accepted.Priority, 9)));
  if (Flow.hasAnswerBegun() && Events.lastId())
    appendField(Text, Names.LastEventId, std::to_string(*Events.lastId()));
  else if (std::string_view After = M.header(Names.LastEventId); !After.empty())
    appendField(Text, Names.LastEventId, After);
  Text += "\r\n";
  return Text;
}

void Forwarding::writeRequest() {
  Now = Phase::Sent;
  Parser = ResponseParser();
  if (Accepted.Message.Method == "HEAD")
    Parser.expectNoBody();
  Unparsed.clear();
  Body.clear();
  HasHead = false;
  IsEventStream = false;
  HasBytes = false;
  HasEvent = false;
  if (Flow.sends() > 0)
    Context.Dispatch.onRepeat(Service, now());
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
  if (Now != Phase::Sent)
    return;
  HasBytes = true;
  Unparsed += Bytes;
  parse();
}

bool Forwarding::skipsAnswer() const {
  return Parser.head().header(Context.Names.RequestId) != Accepted.RequestId;
}

void Forwarding::parse() {
  while (Now == Phase::Sent) {
    Unparsed.erase(0, Parser.feed(Unparsed));
    ParseStage Stage = Parser.stage();
    if (Stage == ParseStage::Failed) {
      onServerFault(ServerFault::Garbled, "garbled");
      return;
    }
    if (Stage == ParseStage::Head)
      return;
    if (Parser.isInterim() || skipsAnswer()) {
      // A late answer to an earlier request may precede this one's.
      Parser.takeBody();
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
    if (Now != Phase::Sent)
      return;
    if (Stage == ParseStage::Done)
      finishAnswer();
    return;
  }
}

bool Forwarding::acceptHead() {
  HasHead = true;
  const http::ResponseHead &H = Parser.head();
  bool IsStamped = !H.header(Context.Names.AnswerStamp).empty();
  if (isSuccess(H.Status) && !IsStamped) {
    onServerFault(ServerFault::Garbled, "unstamped");
    return false;
  }
  IsEventStream = Accepted.Target->IsStream && isSuccess(H.Status) &&
                  H.header("Content-Type").starts_with("text/event-stream");
  return true;
}

void Forwarding::forwardBody() {
  std::string Bytes = Parser.takeBody();
  if (Bytes.empty())
    return;
  if (!IsEventStream) {
    Body += Bytes;
    if (Body.size() > MaxWholeAnswerBytes)
      onServerFault(ServerFault::Garbled, "answer-too-large");
    return;
  }
  if (!Events.push(Bytes)) {
    onServerFault(ServerFault::Garbled, "event-out-of-order");
    return;
  }
  std::string Whole = Events.takeCompleteEvents();
  if (Whole.empty())
    return;
  TimePoint Before = std::exchange(LastProgress, now());
  if (std::exchange(HasEvent, true)) {
    Duration Gap = LastProgress - Before;
    LongestGap = std::max(LongestGap, Gap);
    Context.Dispatch.board().onEvent(Server.Id, Gap, LastProgress);
  }
  if (!Flow.hasAnswerBegun()) {
    Head = Parser.head();
    FirstByteAfter = LastProgress - Accepted.Arrived;
    Context.Dispatch.board().onAnswered(Server.Id, LastProgress - SentAt,
                                        LastProgress);
    Flow.onAnswerBegun();
    Sink->beginStream(Head);
  }
  Sink->continueStream(Whole);
  armTimer();
  if (Sink->unsent() > MaxUnsentBytes)
    Socket->pauseReading();
}

void Forwarding::onSinkDrained() {
  if (Now == Phase::Sent && Socket)
    Socket->resumeReading();
}

void Forwarding::finishAnswer() {
  const http::ResponseHead &H = Parser.head();
  bool IsDeclined =
      H.Status == StatusMisdirected || !H.header(Context.Names.NotRun).empty();
  if (IsDeclined) {
    onDeclined();
    return;
  }
  if (IsEventStream) {
    finishStream();
    return;
  }
  if (isServerFailure(H.Status)) {
    onFailureAnswer();
    return;
  }
  if (isSuccess(H.Status))
    Context.Dispatch.board().onAnswered(Server.Id, now() - SentAt, now());
  relayWhole();
}

void Forwarding::finishStream() {
  if (Events.hasPartialEvent()) {
    onServerFault(ServerFault::Garbled, "torn-event");
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

void Forwarding::relayWhole() {
  http::ResponseHead Answer = Parser.head();
  if (FirstByteAfter.count() == 0)
    FirstByteAfter = now() - Accepted.Arrived;
  leaveServer(true);
  AnswerSink *Last = Sink;
  Sink = nullptr;
  finish(isSuccess(Answer.Status) ? "completed" : "server-failure",
         Answer.Status);
  Last->answerWhole(Answer, Body);
}

void Forwarding::onDeclined() {
  const http::ResponseHead &H = Parser.head();
  LoadBoard &Board = Context.Dispatch.board();
  std::string_view Answering = H.header(Context.Names.AnsweringInstance);
  bool IsReplaced = H.Status == StatusMisdirected && !Answering.empty() &&
                    Answering != Server.Id;
  // A server that declines with slots free is not full but unable to work.
  bool IsUnavailable = H.Status == StatusMisdirected ||
                       !H.header(Context.Names.InstanceAtFault).empty() ||
                       Board.inFlight(Server.Id) < Server.Slots;
  LastFault = "declined-" + std::to_string(H.Status);
  if (IsReplaced)
    Board.onReplaced(Server.Id);
  else
    Board.onFault(Server.Id,
                  IsUnavailable ? ServerFault::Unavailable : ServerFault::Full,
                  now());
  Excluded.push_back(Server.Id);
  leaveServer(!IsReplaced);
  RetryAfter =
      IsUnavailable ? Dispatcher::RecoveringRetryAfter : DefaultRetryAfter;
  carryOut(IsReplaced ? Flow.onMisdirected(means()) : Flow.onDeclined(means()));
}

void Forwarding::onFailureAnswer() {
  LastFault = "status-" + std::to_string(Parser.head().Status);
  Context.Dispatch.board().onFault(Server.Id, ServerFault::Failure, now());
  Step Next = Flow.onFailureAnswer(means());
  if (Next == Step::RelayAnswer) {
    relayWhole();
    return;
  }
  Excluded.push_back(Server.Id);
  leaveServer(true);
  carryOut(Next);
}

void Forwarding::onServerFault(ServerFault Fault, std::string_view Text) {
  LastFault = Text;
  Context.Dispatch.board().onFault(Server.Id, Fault, now());
  Excluded.push_back(Server.Id);
  leaveServer(false);
  carryOut(Flow.onBroken(means()));
}

void Forwarding::onEnd(SocketEnd End) {
  auto Self = shared_from_this();
  if (Now == Phase::Connecting) {
    LastFault = "connect-failed";
    Context.Dispatch.board().onFault(Server.Id, ServerFault::Unreachable,
                                     now());
    Excluded.push_back(Server.Id);
    leaveServer(false);
    carryOut(Flow.onConnectFailed(means()));
    return;
  }
  if (Now != Phase::Sent)
    return;
  if (End == SocketEnd::Closed && HasHead) {
    // An answer without a length ends with its connection.
    Parser.feedEnd();
    if (Parser.stage() == ParseStage::Done) {
      finishAnswer();
      return;
    }
  }
  if (!IsFreshConnection && !HasBytes) {
    // The server closed a kept connection as the request left; that says
    // nothing about its health.
    LastFault = "kept-connection-closed";
    leaveServer(false);
    carryOut(Flow.onBroken(means()));
    return;
  }
  onServerFault(ServerFault::Unreachable, "connection-broken");
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
    answerOwn(503, "not-run", RetryAfter.value_or(DefaultRetryAfter));
    return;
  case Step::FailUnknown:
    answerOwn(502, "outcome-unknown", std::nullopt);
    return;
  case Step::FailTimeout:
    answerOwn(504, "timeout", std::nullopt);
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

void Forwarding::answerOwn(unsigned Status, std::string_view Reason,
                           std::optional<Duration> RetryAfterTime) {
  AnswerSink *Last = Sink;
  Sink = nullptr;
  finish(Reason, Status);
  Last->answerOwn({Status, Reason, RetryAfterTime});
}

void Forwarding::releaseServer() {
  if (!IsCounted)
    return;
  IsCounted = false;
  Context.Dispatch.onEnded(Service, Server.Id, now());
  Context.OnSlotFree();
}

void Forwarding::leaveServer(bool IsReusable) {
  if (Socket) {
    bool IsClean = IsReusable && Parser.stage() == ParseStage::Done &&
                   Parser.isKeepAlive() && Unparsed.empty() &&
                   Socket->unsent() == 0 && Socket->isOpen();
    if (IsClean)
      Context.Pool.keep(Server.Id, std::move(Socket),
                        keepAliveOf(Parser.head()), now());
    else
      Socket->close();
    Socket.reset();
  }
  releaseServer();
}

void Forwarding::onCallerGone() {
  if (Now == Phase::Done)
    return;
  auto Self = shared_from_this();
  Sink = nullptr;
  Flow.onCallerGone();
  leaveServer(false);
  finish("caller-gone", 0);
}

bool Forwarding::isFreeElsewhere(TimePoint At) {
  std::vector<std::string> Tried = Excluded;
  Tried.push_back(Server.Id);
  return Context.Dispatch.hasFreeServer(Service, Tried, At);
}

void Forwarding::onTick(TimePoint At) {
  // The streams of a slow rank make every stream of its group late, and are
  // late themselves.
  if (Now != Phase::Sent ||
      !Context.Dispatch.board().isStraggler(Server.Id, At) ||
      !Flow.couldRepeat(means()) || !isFreeElsewhere(At))
    return;
  auto Self = shared_from_this();
  logEvent(LogLevel::Info, "request-moved",
           {{"request", Accepted.RequestId},
            {"cause", "straggler"},
            {"instance", Server.Id},
            {"events", Events.events()},
            {"sends", Flow.sends()}});
  LastFault = "straggler";
  Excluded.push_back(Server.Id);
  leaveServer(false);
  carryOut(Flow.onBroken(means()));
}

TimePoint Forwarding::silenceLimit() const {
  const Route &R = *Accepted.Target;
  if (R.IsStream)
    return LastProgress + patience() / 2;
  return SentAt + std::min((Accepted.Deadline - SentAt) / 2,
                           SilenceInTargetLatencies * R.TargetLatency);
}

void Forwarding::armTimer() {
  TimePoint Due = Accepted.Deadline;
  if (Now == Phase::Sent && !IsSilenceAccepted)
    Due = std::min(Due, std::max(silenceLimit(), NextSilenceCheck));
  Timer.expires_at(std::chrono::steady_clock::time_point(Due));
  Timer.async_wait([Weak = weak_from_this()](error_code Error) {
    if (Error)
      return;
    if (auto Self = Weak.lock())
      Self->onTimer();
  });
}

void Forwarding::onTimer() {
  if (Now == Phase::Done)
    return;
  TimePoint At = now();
  if (At >= Accepted.Deadline) {
    if (LastFault.empty())
      LastFault = "time-up";
    leaveServer(false);
    carryOut(Flow.onTimeUp());
    return;
  }
  if (Now == Phase::Sent && At >= silenceLimit()) {
    if (!Flow.couldRepeat(means())) {
      // Nothing better than to wait for the rest of the time.
      IsSilenceAccepted = true;
    } else if (isFreeElsewhere(At)) {
      onServerFault(ServerFault::Silent, "silent");
      return;
    } else {
      // Giving up a run without another place for it would only lose it.
      NextSilenceCheck = At + SilenceCheckInterval;
    }
  }
  armTimer();
}

void Forwarding::finish(std::string_view Outcome, unsigned Status) {
  Now = Phase::Done;
  Timer.cancel();
  if (Ticket != 0)
    Context.Dispatch.cancelWait(Service, Ticket);
  Duration Total = now() - Accepted.Arrived;
  Context.Metrics
      .counter("ragwort_requests_total",
               "outcome=\"" + std::string(Outcome) + "\"")
      .add();
  Context.Metrics.histogram("ragwort_request_seconds").record(Total);
  if (FirstByteAfter.count() > 0)
    Context.Metrics.histogram("ragwort_first_byte_seconds")
        .record(FirstByteAfter);
  bool IsRoutine = Outcome == "completed" || Outcome == "caller-gone";
  logEvent(IsRoutine ? LogLevel::Info : LogLevel::Warning, "request-finished",
           {{"request", Accepted.RequestId},
            {"outcome", Outcome},
            {"status", Status},
            {"route", Accepted.Target->Name},
            {"organisation", Accepted.Organisation},
            {"service", Service},
            {"instance", Server.Id},
            {"sends", Flow.sends()},
            {"fault", LastFault},
            {"events", Events.events()},
            {"first_ms", millis(FirstByteAfter)},
            {"longest_gap_ms", millis(LongestGap)},
            {"total_ms", millis(Total)},
            {"in_flight", Context.Dispatch.board().inFlight(Server.Id)},
            {"waiting", Context.Dispatch.waiting()},
            {"config", Accepted.Config->Version},
            {"directory", Context.DirectoryVersion()}});
}

} // namespace ragwort::gateway
