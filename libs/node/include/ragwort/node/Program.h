//===- Program.h - Command line and main loop of a daemon -----------------===//
//
// The common part of main() of the daemons: command line options, settings,
// signals and worker threads.
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

/// Result of parseCommandLine(): the settings to run with, or an exit code if
/// the program is to exit.
struct Startup {
  std::optional<settings::NodeSettings> Node;
  int ExitCode = ExitOk;
};

/// Parses `--config FILE`, `--check`, `--version` and `--help`, and loads the
/// settings, whose role must be \p Role. Errors are printed to stderr.
Startup parseCommandLine(int Argc, const char *const *Argv,
                         std::string_view Program, settings::InstanceRole Role);

/// Runs \p Io on \p Workers threads, one of which is the calling thread, until
/// it is stopped.
void runWorkers(asio::io_context &Io, uint32_t Workers);

/// A daemon that can be started, and drained before the process exits.
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
