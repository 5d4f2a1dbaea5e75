//===- RequestRunner.h - Runs callers' requests ---------------------------===//
//
// Chooses an agent for each request, retries failed attempts where this is
// safe, and reports to the caller whether the request ran. Non-idempotent
// requests with an idempotency key are run through the journal.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_REQUESTRUNNER_H
#define RAGWORT_ENTRY_REQUESTRUNNER_H

#include "AgentCall.h"
#include "DecisionLog.h"
#include "KeyedService.h"
#include "ragwort/http/HttpServer.h"
#include "ragwort/routing/Retry.h"

namespace ragwort::entry {

/// A caller's request, with values parsed from its headers.
struct CallerRequest {
  wire::StartRequest Start;
  settings::ServiceKind Kind = settings::ServiceKind::Plain;
  TimePoint Deadline;
  RequestHistory History;
};

/// \code
///   RequestRunner Runner(Context, Channels, Table, Mutex);
///   Outcome Result = co_await Runner.run(Request, Keyed, Exchange);
/// \endcode
class RequestRunner {
public:
  /// \p Mutex guards \p Table.
  RequestRunner(NodeContext &Context, ChannelPool &Channels, Backends &Table,
                std::mutex &Mutex);

  /// Applies the limits of a new configuration.
  void configure(const settings::LimitSettings &Limits);

  /// Runs the request and responds to the caller. \returns the outcome that was
  /// reported to the caller.
  asio::awaitable<Outcome> run(CallerRequest &Request, KeyedService &Keyed,
                               http::Exchange &X);

  /// The functions that shard drivers call to run and query attempts.
  JournalHooks journalHooks();

  /// Chooses an agent for \p Request that is not in \p Excluded. Empty if none
  /// is available.
  std::optional<Choice> choose(const wire::StartRequest &Request,
                               const std::set<std::string> &Excluded);

private:
  asio::awaitable<AttemptOutcome> attempt(const Choice &To,
                                          wire::StartRequest Request,
                                          TimePoint Deadline, StreamSink *Sink);
  asio::awaitable<Outcome> runPlain(CallerRequest &Request, http::Exchange &X);
  asio::awaitable<Outcome> runKeyed(CallerRequest &Request, KeyedService &Keyed,
                                    http::Exchange &X);
  asio::awaitable<Outcome> respond(CallerRequest &Request, http::Exchange &X,
                                   AttemptOutcome Result);
  asio::awaitable<Outcome> respondKeyed(CallerRequest &Request,
                                        http::Exchange &X,
                                        journal::KeyedOutcome KeyedResult);
  bool takeRetry();
  Duration nextDelay(uint32_t Retry);
  ChoiceQuery queryOf(const wire::StartRequest &Request) const;
  /// Adds a step to the request's history.
  void addStep(CallerRequest &Request, std::string Description);

  NodeContext &Context;
  ChannelPool &Channels;
  Backends &Table;
  // Guards Table, Budget and the writes of MaxAttempts, which runPlain() reads
  // without it.
  std::mutex &Mutex;
  routing::RetryBudget Budget{10};
  uint32_t MaxAttempts = 3;
  std::atomic<uint64_t> NextAttempt = 1;
  SteadyClock Clock;
  Counter &Retries;
};

} // namespace ragwort::entry

#endif
