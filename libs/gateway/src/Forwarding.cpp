//===- Forwarding.cpp - Forwards one request to backend servers -----------===//
#include "ragwort/gateway/Forwarding.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/gateway/RequestHead.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <charconv>

namespace ragwort::gateway {

namespace {

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
// Retry-After time if no better estimate is available.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
// Part of an answer that is read even while memory is exhausted.
constexpr size_t SmallAnswerBytes = 64 * KiB;

TimePoint now() { return SteadyClock().now(); }

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
      Timer(Context.Io),
      LastEventId(
          parseNumber(Accepted.Message.header(Context.Names.LastEventId))) {}

Forwarding::~Forwarding() { abandonAttempt(); }

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
  Result.IsTimeLeft =
      Accepted.Deadline - At > MinRetryTime && At <= latestSend();
  Result.IsBudgetLeft =
      Flow.arrivals() == 0 || Context.Dispatch.hasRetryBudget(Service, At);
  Result.IsPositionKnown = !HasContent || IsPositionConfirmed;
  return Result;
}

bool Forwarding::endIfQuarantined() {
  TimePoint At = now();
  auto Active = Context.Quarantine.find(Accepted.Traits, At);
  if (!Active)
    return false;
  LastFault = quarantineReason(Active->Subject.Kind);
  RetryAfter = Active->Until - At;
  abandonAttempt();
  carryOut(Flow.onNoBackend());
  return true;
}

TimePoint Forwarding::latestSend() const {
  // What has begun is continued as long as the process lives.
  if (!Context.Stop || Flow.hasAnswerBegun())
    return TimePoint::max();
  double Tokens = readTokens(Accepted.Message, Context.Names).Answer;
  return Context.Stop->latestSend(
      Accepted.Deadline,
      assumedDuration(Context.Durations, *Accepted.Target, Tokens));
}

bool Forwarding::endIfTooLate(TimePoint StartsAt) {
  if (StartsAt <= latestSend())
    return false;
  LastFault = "stopping";
  RetryAfter = Context.Stop->retryAfter(now());
  abandonAttempt();
  carryOut(Flow.onNoBackend());
  return true;
}

bool Forwarding::moveIfEvacuated() {
  if (!Context.Dispatch.loadTracker().isEvacuated(ServerId))
    return false;
  logMoved("evacuation");
  abandonAttempt();
  place();
  return true;
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

void Forwarding::place() {
  if (endIfQuarantined() || endIfTooLate(now()))
    return;
  dispatch::Placement P = Context.Dispatch.place(placementRequest(), now());
  Work = P.Work;
  logPlacement(P);
  switch (P.Result) {
  case dispatch::Placement::Decision::Send:
    sendTo(P.Server);
    return;
  case dispatch::Placement::Decision::Wait:
    Ticket = P.Ticket;
    if (P.Expected.Wait && endIfTooLate(now() + *P.Expected.Wait))
      return;
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
  if (IsDone || Ticket == 0 || C.Ticket != Ticket)
    return;
  auto Self = shared_from_this();
  Ticket = 0;
  if (endIfQuarantined() || (C.Server && endIfTooLate(now())))
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
  ServerId = Chosen.Id;
  Current = std::make_shared<Attempt>(Context, Accepted, Chosen, Service, Work,
                                      *this);
  if (Current->connect(Flow.isRepeatable() ? MaxIdleRepeatable
                                           : MaxIdleAtMostOnce))
    writeRequest();
  else
    armTimer();
}

void Forwarding::onConnected() {
  auto Self = shared_from_this();
  if (!endIfQuarantined() && !endIfTooLate(now()) && !moveIfEvacuated())
    writeRequest();
}

std::string Forwarding::requestHead() const {
  SystemFields Fields;
  Fields.TimeLeft = Accepted.Deadline - now();
  Fields.Instance = ServerId;
  Fields.Organisation = Accepted.Organisation;
  if (Accepted.Target->IsStream)
    Fields.Priority = Accepted.Priority;
  if (Flow.hasAnswerBegun())
    Fields.LastEventId = LastEventId;
  return makeRequestHead(Accepted.Message, Context.Names, Fields);
}

void Forwarding::writeRequest() {
  if (Flow.arrivals() > 0)
    Context.Dispatch.onRetry(Service, now());
  std::string Head = requestHead();
  Flow.onSent();
  if (FirstSentAt == TimePoint())
    FirstSentAt = now();
  Current->send(Head, LastEventId, Flow.hasAnswerBegun());
  armTimer();
}

void Forwarding::beginStream() {
  if (Flow.hasAnswerBegun())
    return;
  Flow.onAnswerBegun();
  Sink->beginStream(Current->head());
}

void Forwarding::onEvents(std::string_view Complete) {
  auto Self = shared_from_this();
  if (!Flow.hasAnswerBegun()) {
    TimePoint At = Current->lastProgress();
    TimeToFirstByte = At - Accepted.Arrived;
    Context.Dispatch.loadTracker().onAnswered(ServerId, At - Current->sentAt(),
                                              At);
  }
  beginStream();
  LastEventId = Current->lastEventId();
  IsPositionConfirmed = Current->isPositionConfirmed();
  HasContent |= Current->hasContent();
  IsEventMissing &= !Current->hasContent();
  AnswerBytes += Complete.size();
  Sink->continueStream(Complete);
  armTimer();
  if (Sink->unsent() > Context.Memory->unreadLimit())
    pauseServer();
}

void Forwarding::onBodyGrown(size_t Size) {
  if (Size > SmallAnswerBytes &&
      Context.Memory->level() == dispatch::MemoryLevel::Exhausted)
    pauseServer();
}

void Forwarding::pauseServer() {
  Sink->pace().onPaused(now());
  Current->pauseReading();
}

void Forwarding::resumeServer() {
  Current->resumeReading();
  armTimer();
}

void Forwarding::onSinkDrained() {
  if (isSent() && Current->isEventStream() && Current->isReadingPaused())
    resumeServer();
}

void Forwarding::whilePaused(TimePoint At) {
  bool IsExhausted =
      Context.Memory->level() == dispatch::MemoryLevel::Exhausted;
  dispatch::CallerPace &Pace = Sink->pace();
  dispatch::PausedStep Step =
      Current->isEventStream()
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
            {"instance", ServerId}});
  Context.Metrics.counter("ragwort_slow_callers_total").add();
  AnswerSink *Last = std::exchange(Sink, nullptr);
  Flow.onCallerGone();
  abandonAttempt();
  finish("slow-caller", 0);
  Last->cut();
}

std::shared_ptr<Attempt> Forwarding::leaveAttempt() {
  LastProgress = std::max(LastProgress, Current->lastProgress());
  LongestGap = std::max(LongestGap, Current->longestGap());
  IsFramed = Current->isFramed();
  Events += Current->events();
  IsEventMissing |= Current->isEventMissing();
  if (!Current->fault().empty())
    LastFault = Current->fault();
  return std::exchange(Current, nullptr);
}

void Forwarding::abandonAttempt() {
  if (Current)
    leaveAttempt()->abandon();
}

void Forwarding::onAttemptEnd(AttemptEnd End) {
  auto Self = shared_from_this();
  if (End == AttemptEnd::StreamEnded)
    beginStream(); // It may have had no events.
  std::shared_ptr<Attempt> Last = leaveAttempt();
  switch (End) {
  case AttemptEnd::NotConnected:
    Excluded.push_back(ServerId);
    carryOut(Flow.onConnectFailed(retryConditions()));
    return;
  case AttemptEnd::Declined:
    onDeclined(*Last);
    return;
  case AttemptEnd::Answered:
    onAnswered(*Last);
    return;
  case AttemptEnd::StreamEnded:
    finishStream(*Last);
    return;
  case AttemptEnd::IdleClosed:
  case AttemptEnd::Broken:
    onBroken(*Last, End);
    return;
  }
}

void Forwarding::onDeclined(const Attempt &Last) {
  const ServerStatement &Stated = Last.statement();
  Excluded.push_back(ServerId);
  Work = 0;
  if (Stated.Pause)
    RetryAfter = Context.Dispatch.spread(*Stated.Pause);
  else
    RetryAfter = Last.isServerUnavailable()
                     ? dispatch::Dispatcher::RecoveringRetryAfter
                     : DefaultRetryAfter;
  carryOut(Stated.IsReplaced ? Flow.onMisdirected(retryConditions())
                             : Flow.onDeclined(retryConditions()));
}

void Forwarding::onAnswered(const Attempt &Last) {
  unsigned Status = Last.head().Status;
  bool IsFailure = http::isServerFailure(Status);
  dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
  // A server that does not continue a stream fails, whatever else it answers.
  if (IsFailure || Flow.hasAnswerBegun())
    Tracker.onFault(ServerId, dispatch::ServerFault::Failure, now());
  else if (http::isSuccess(Status))
    Tracker.onAnswered(ServerId, now() - Last.sentAt(), now());
  Step Next = Flow.onWholeAnswer(IsFailure, retryConditions());
  if (Next == Step::RelayAnswer) {
    relayAnswer(Last);
    return;
  }
  LastFault = "status-" + std::to_string(Status);
  Excluded.push_back(ServerId);
  carryOut(Next);
}

void Forwarding::finishStream(const Attempt &Last) {
  Step Next = Flow.onStreamEnd(IsEventMissing, retryConditions());
  if (Next != Step::RelayAnswer) {
    LastFault = "event-missing";
    Excluded.push_back(ServerId);
    carryOut(Next);
    return;
  }
  AnswerSink *To = std::exchange(Sink, nullptr);
  noteDuration();
  finish("completed", Last.head().Status);
  To->endStream();
}

void Forwarding::noteDuration() {
  Context.Durations.add(Accepted.Target->Name,
                        readTokens(Accepted.Message, Context.Names).Answer,
                        now() - FirstSentAt);
}

void Forwarding::relayAnswer(const Attempt &Last) {
  const http::ResponseHead &Head = Last.head();
  if (TimeToFirstByte.count() == 0)
    TimeToFirstByte = now() - Accepted.Arrived;
  AnswerBytes += Last.body().size();
  if (http::isServerFailure(Head.Status))
    LastFault = "status-" + std::to_string(Head.Status);
  AnswerSink *To = std::exchange(Sink, nullptr);
  noteDuration();
  finish(http::isSuccess(Head.Status) ? "completed" : "server-failure",
         Head.Status);
  To->sendResponse(Head, Last.body());
}

void Forwarding::onBroken(const Attempt &Last, AttemptEnd End) {
  logFailedSend(Last);
  if (End != AttemptEnd::IdleClosed)
    Excluded.push_back(ServerId);
  carryOut(Flow.onBroken(retryConditions()));
}

void Forwarding::carryOut(Step Next) {
  switch (Next) {
  case Step::Continue:
  case Step::RelayAnswer:
  case Step::Abandon:
    return;
  case Step::TryAnother:
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
    AnswerSink *Last = std::exchange(Sink, nullptr);
    finish("cut", 0);
    Last->cut();
    return;
  }
  }
}

void Forwarding::sendLocalReply(unsigned Status, std::string_view Reason,
                                std::optional<Duration> RetryAfterTime) {
  AnswerSink *Last = std::exchange(Sink, nullptr);
  finish(Reason, Status);
  Last->sendLocalReply({Status, Reason, RetryAfterTime});
}

void Forwarding::onCallerGone() {
  if (IsDone)
    return;
  auto Self = shared_from_this();
  Sink = nullptr;
  Flow.onCallerGone();
  abandonAttempt();
  finish("caller-gone", 0);
}

void Forwarding::endNow(std::string_view Cause) {
  if (IsDone)
    return;
  auto Self = shared_from_this();
  LastFault = Cause;
  abandonAttempt();
  carryOut(Flow.onNodeStop());
}

bool Forwarding::hasOtherFreeServer(TimePoint At) {
  std::vector<std::string> Tried = Excluded;
  Tried.push_back(ServerId);
  return Context.Dispatch.hasFreeServer({Service, Tried, Accepted.regions()},
                                        At);
}

void Forwarding::onTick(TimePoint At) {
  auto Self = shared_from_this();
  if (isSent() && !Current->hasEvent() && endIfQuarantined())
    return;
  if (Ticket != 0 && endIfTooLate(At))
    return;
  if (isSent() && Current->isReadingPaused())
    whilePaused(At);
  if (isSent())
    moveFromServer(At);
}

void Forwarding::moveFromServer(TimePoint At) {
  const dispatch::LoadTracker &Tracker = Context.Dispatch.loadTracker();
  const std::string &DataCentre = Current->server().DataCentre;
  bool IsPathLost =
      !Tracker.paths().areAllGood() &&
      Tracker.paths().state(DataCentre) == dispatch::PathState::Lost &&
      At - Current->lastProgress() >= LostPathSilence;
  // A slow rank delays not only its own streams but all streams of its group.
  if ((!IsPathLost && !Tracker.isStraggler(ServerId, At)) ||
      !Flow.mayRetry(retryConditions()) || !hasOtherFreeServer(At))
    return;
  std::string_view Cause = IsPathLost ? "path-lost" : "straggler";
  logMoved(Cause);
  abandonAttempt();
  LastFault = Cause;
  Excluded.push_back(ServerId);
  carryOut(Flow.onBroken(retryConditions()));
}

TimePoint Forwarding::progressDeadline() const {
  const Route &R = *Accepted.Target;
  if (Current->isReadingPaused())
    return Accepted.Deadline;
  if (R.IsStream)
    return Current->lastProgress() + callerTimeout() / 2;
  TimePoint SentAt = Current->sentAt();
  return SentAt + std::min((Accepted.Deadline - SentAt) / 2,
                           ResponseTimeoutTargetLatencies * R.TargetLatency);
}

void Forwarding::armTimer() {
  TimePoint Due = Accepted.Deadline;
  if (isSent() && !IsProgressTimeoutOff)
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
  if (IsDone)
    return;
  TimePoint At = now();
  if (At >= Accepted.Deadline) {
    if (LastFault.empty())
      LastFault = "deadline-reached";
    abandonAttempt();
    // It would have taken longer still.
    if (Flow.sends() > 0)
      noteDuration();
    carryOut(Flow.onTimeUp());
    return;
  }
  if (isSent() && At >= progressDeadline()) {
    if (!Flow.mayRetry(retryConditions())) {
      // No retry is possible; wait until the deadline.
      IsProgressTimeoutOff = true;
    } else if (hasOtherFreeServer(At)) {
      Current->fail(dispatch::ServerFault::TimedOut, "response-timeout");
      return;
    } else {
      // No other server is free: keep waiting instead of losing this run.
      NextProgressCheck = At + ProgressCheckInterval;
    }
  }
  armTimer();
}

void Forwarding::finish(std::string_view Outcome, unsigned Status) {
  IsDone = true;
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
  logFinished(Outcome, Status, Total);
}

} // namespace ragwort::gateway
