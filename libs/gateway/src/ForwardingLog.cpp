//===- ForwardingLog.cpp - Log lines of the decisions on a request --------===//
#include "ragwort/gateway/Forwarding.h"
#include "ragwort/observe/Log.h"

namespace ragwort::gateway {

namespace {

constexpr size_t MaxLoggedPartsBytes = 160;

TimePoint now() { return SteadyClock().now(); }

int64_t millis(Duration Length) { return Length.count() / 1000; }

} // namespace

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

void Forwarding::logMoved(std::string_view Cause) const {
  logEvent(LogLevel::Info, "request-moved",
           {{"request", Accepted.RequestId},
            {"cause", Cause},
            {"instance", ServerId},
            {"events", events()},
            {"sends", Flow.sends()}});
}

void Forwarding::logFailedSend(const Attempt &Last) const {
  Context.Metrics
      .counter("ragwort_failed_sends_total", "fault=\"" + Last.fault() + "\"")
      .add();
  std::string_view Parts = Accepted.Message.header(Context.Names.PromptParts);
  logEvent(
      LogLevel::Info, "send-failed",
      {{"request", Accepted.RequestId},
       {"instance", Last.server().Id},
       {"fault", Last.fault()},
       {"send", Flow.sends()},
       {"events", events()},
       {"sent_ms", millis(now() - Last.sentAt())},
       {"silent_ms", millis(now() - Last.lastProgress())},
       {"organisation", Accepted.Organisation},
       {"fingerprint", quarantine::toString(Accepted.Traits.fingerprint())},
       {"parts", Parts.substr(0, MaxLoggedPartsBytes)}});
}

void Forwarding::logFinished(std::string_view Outcome, unsigned Status,
                             Duration Total) const {
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
       {"instance", ServerId},
       {"sends", Flow.sends()},
       {"fault", LastFault},
       {"events", events()},
       {"bytes", AnswerBytes},
       {"framed", static_cast<int>(IsFramed)},
       {"first_ms", millis(TimeToFirstByte)},
       {"longest_gap_ms", millis(LongestGap)},
       {"total_ms", millis(Total)},
       {"in_flight", Context.Dispatch.loadTracker().inFlight(ServerId)},
       {"waiting", Context.Dispatch.waiting()},
       {"config", Accepted.Config->Version},
       {"directory", Context.DirectoryVersion()}});
}

} // namespace ragwort::gateway
