//===- LoadRun.h - Open-loop load generator with response checks ----------===//
//
// Requests are sent by a Poisson process, independently of the responses to
// earlier ones, so that a slow system does not reduce its own load.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TESTING_LOAD_LOADRUN_H
#define RAGWORT_TESTING_LOAD_LOADRUN_H

#include "Mix.h"
#include "ragwort/base/Address.h"
#include "ragwort/observe/Metrics.h"
#include "ragwort/transport/Asio.h"
#include <map>
#include <random>

namespace ragwort::load {

/// Options of a load run.
struct LoadOptions {
  std::vector<Address> Targets;
  std::vector<RequestKind> Kinds;
  double RequestsPerSecond = 100;
  Duration RunTime = std::chrono::seconds(10);
  uint64_t Seed = 1;
  size_t MaxOpenRequests = 4096;
  bool ShowsProgress = true;
  /// Omits the Ragwort-* headers, to measure a backend server directly.
  bool IsDirect = false;
};

/// Outcome counts and latencies of a load run.
struct LoadReport {
  uint64_t Sent = 0;
  uint64_t NotSent = 0; ///< Skipped because MaxOpenRequests requests were open.
  uint64_t Completed = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  /// Requests that could not be sent or whose connection ended before a
  /// response head.
  uint64_t NoAnswer = 0;
  /// Responses that ended before their last chunk.
  uint64_t Truncated = 0;
  /// Complete responses whose content does not match the request.
  uint64_t Wrong = 0;
  /// Last Ragwort-Outcome received for each idempotency key.
  std::map<std::string, std::string> LastOutcome;
  /// Number of requests that failed for each reason.
  std::map<std::string, uint64_t> Reasons;
  DurationHistogram FirstToken;
  DurationHistogram BetweenTokens;
  DurationHistogram CompleteAnswer;
};

/// Sends a request mix and records the responses.
///
/// \code
///   LoadRun Run(Io, Options);
///   asio::co_spawn(Io, Run.execute(), asio::detached);
///   Io.run();
///   const LoadReport &R = Run.report();
/// \endcode
class LoadRun {
public:
  LoadRun(asio::io_context &Io, LoadOptions Options);
  ~LoadRun();
  /// Sends requests for Options.RunTime, waits for the open ones, then stops
  /// the io_context.
  asio::awaitable<void> execute();
  const LoadReport &report() const { return Report; }

private:
  struct Job;
  struct Connections;
  Job nextJob();
  asio::awaitable<void> run(Job J);
  asio::awaitable<void> send(Job J);
  void printProgress();

  asio::io_context &Io;
  const LoadOptions Options;
  std::mt19937_64 Random;
  LoadReport Report;
  std::unique_ptr<Connections> Pool;
  std::discrete_distribution<size_t> PickKind;
  uint64_t NextNumber = 1;
  size_t OpenRequests = 0;
};

} // namespace ragwort::load

#endif
