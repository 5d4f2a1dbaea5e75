//===- RequestRunner.h - From a caller's request to an answer -------------===//
//
// Chooses agents, retries what may be retried, and says truthfully what came
// of a request. Requests with a key go through the journal.
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

/// A caller's request after its headers were checked.
struct CallerRequest {
  wire::StartRequest Start;
  settings::ServiceKind Kind = settings::ServiceKind::Plain;
  TimePoint Deadline;
  RequestHistory History;
};

/// \code
///   RequestRunner Runner(Context, Channels, Keyed, Table, Mutex);
///   co_await Runner.run(Request, Exchange);
/// \endcode
class RequestRunner {
public:
  /// \p Mutex guards \p Table.
  RequestRunner(NodeContext &Context, ChannelPool &Channels, Backends &Table,
                std::mutex &Mutex);

  /// Applies limits of the settings in force.
  void configure(const settings::LimitSettings &Limits);

  /// Runs the request and answers the caller. \returns what it was told.
  asio::awaitable<Outcome> run(CallerRequest &Request, KeyedService &Keyed,
                               http::Exchange &X);

  /// What the journal needs to run attempts.
  JournalHooks journalHooks();

  /// An agent for \p Request, other than \p Excluded.
  std::optional<Choice> choose(const wire::StartRequest &Request,
                               const std::set<std::string> &Excluded);

private:
  asio::awaitable<AttemptOutcome> attempt(const Choice &To,
                                          wire::StartRequest Request,
                                          TimePoint Deadline, StreamSink *Sink);
  asio::awaitable<Outcome> runPlain(CallerRequest &Request, http::Exchange &X);
  asio::awaitable<Outcome> runKeyed(CallerRequest &Request, KeyedService &Keyed,
                                    http::Exchange &X);
  asio::awaitable<Outcome> answer(CallerRequest &Request, http::Exchange &X,
                                  AttemptOutcome Result);
  asio::awaitable<Outcome> answerVerdict(CallerRequest &Request,
                                         http::Exchange &X,
                                         journal::KeyedOutcome V);
  bool takeRetry();
  Duration nextDelay(uint32_t Retry);
  ChoiceQuery queryOf(const wire::StartRequest &Request) const;
  void note(CallerRequest &Request, std::string What);

  NodeContext &Context;
  ChannelPool &Channels;
  Backends &Table;
  std::mutex &Mutex; // Guards Table, Budget and Attempts.
  routing::RetryBudget Budget{10};
  uint32_t Attempts = 3;
  std::atomic<uint64_t> NextAttempt = 1;
  SteadyClock Clock;
  Counter &Retries;
};

} // namespace ragwort::entry

#endif
