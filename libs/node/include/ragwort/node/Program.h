//===- Program.h - Command line and life of a daemon ----------------------===//
//
// The part of main() that both daemons share: options, settings, signals and
// the pool of workers.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_NODE_PROGRAM_H
#define RAGWORT_NODE_PROGRAM_H

#include "ragwort/node/NodeContext.h"
#include "ragwort/observe/Log.h"
#include <absl/status/status.h>
#include <atomic>
#include <csignal>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace ragwort {

/// Exit codes of all programs.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// What the command line asked for: settings to run with, or an exit code.
struct Startup {
  std::optional<settings::NodeSettings> Node;
  int ExitCode = ExitOk;
};

/// Parses `--config FILE`, `--check`, `--version` and `--help`. \p Role is the
/// role that the settings must name.
Startup parseCommandLine(int Argc, const char *const *Argv,
                         std::string_view Program, settings::InstanceRole Role);

/// Starts \p Node's workers and runs \p Io until it is stopped.
void runWorkers(asio::io_context &Io, uint32_t Workers);

/// A daemon's work: starts, and stops without cutting a request.
template <class T>
concept Daemon = requires(T &D) {
  { D.start() } -> std::same_as<absl::Status>;
  D.drain();
};

/// Runs a daemon until SIGTERM or SIGINT, then drains it. \p D stops the
/// context's io_context when it has drained.
template <Daemon T> int runDaemon(NodeContext &Context, T &D) {
  absl::Status Started = D.start();
  if (!Started.ok()) {
    logEvent(LogLevel::Error, "start-failed",
             {{"reason", std::string(Started.message())}});
    return ExitFailed;
  }
  asio::signal_set Signals(Context.Io, SIGTERM, SIGINT);
  Signals.async_wait([&](const error_code &Error, int) {
    if (!Error)
      D.drain();
  });
  runWorkers(Context.Io, Context.Node.Workers);
  logEvent(LogLevel::Info, "stopped", {});
  return ExitOk;
}

} // namespace ragwort

#endif
