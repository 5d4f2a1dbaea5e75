//===- LoadRun.h - Open-loop load with checked answers --------------------===//
//
// Requests arrive by a Poisson process whether or not earlier ones have been
// answered, so that a slow system cannot slow its load down.
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

/// Options of a run.
struct LoadOptions {
  std::vector<Address> Targets;
  std::vector<RequestKind> Kinds;
  double RequestsPerSecond = 100;
  Duration Length = std::chrono::seconds(10);
  uint64_t Seed = 1;
  size_t MaxOpen = 4096;
  bool ShowsProgress = true;
  /// Sends no headers of the system, for a direct comparison.
  bool IsDirect = false;
};

/// What came of all requests.
struct LoadReport {
  uint64_t Sent = 0;
  uint64_t NotSent = 0; ///< More than MaxOpen were open.
  uint64_t Completed = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  /// The connection ended without an answer.
  uint64_t NoAnswer = 0;
  /// Streams that ended before their last chunk.
  uint64_t Cut = 0;
  /// Whole answers that were not the caller's own or not complete.
  uint64_t Wrong = 0;
  /// The last outcome that the caller of each key was told.
  std::map<std::string, std::string> LastOutcome;
  std::map<std::string, uint64_t> Reasons;
  DurationHistogram FirstToken;
  DurationHistogram BetweenTokens;
  DurationHistogram Whole;
};

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
  /// Sends everything and waits for the answers, then stops the io_context.
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
  size_t Open = 0;
};

} // namespace ragwort::load

#endif
