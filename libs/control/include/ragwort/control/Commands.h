//===- Commands.h - What ragwortctl does ----------------------------------===//
//
// Each command prints to the streams it is given and returns an exit code:
// 0 done, 1 failed or refused.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_CONTROL_COMMANDS_H
#define RAGWORT_CONTROL_COMMANDS_H

#include "ragwort/platform/TableClient.h"
#include "ragwort/transport/Asio.h"
#include <cstdint>
#include <ostream>
#include <string>

namespace ragwort::control {

/// Where commands read and print.
struct CommandContext {
  std::ostream &Out;
  std::ostream &Errors;
  Address Platform;
  std::string AdminToken;
  bool IsJson = false;
};

/// Checks a base and an overlay file against each other.
int checkFiles(CommandContext &Context, const std::string &BasePath,
               const std::string &OverlayPath);

/// Prints the version in the table service and the named document, or the
/// list of documents when \p Document is empty.
asio::awaitable<int> showDocument(CommandContext &Context,
                                  std::string Document);

/// Prints how a file differs from the document in the table service.
asio::awaitable<int> diffDocument(CommandContext &Context, std::string Document,
                                  std::string Path);

/// Writes a file as the document on the condition that the configuration is
/// still at \p ExpectedVersion. The file is first checked with every document
/// that it is merged with.
asio::awaitable<int> applyDocument(CommandContext &Context,
                                   std::string Document, std::string Path,
                                   uint64_t ExpectedVersion);

/// Prints a table of all instances that the settings of \p Site name.
asio::awaitable<int> fleetStatus(CommandContext &Context, std::string Site);

/// Prints the state dump of the process at \p Admin.
asio::awaitable<int> dumpState(CommandContext &Context, Address Admin);

/// Starts a graceful shutdown of the process at \p Admin.
asio::awaitable<int> drainNode(CommandContext &Context, Address Admin);

/// Asks every entry node of \p Site why a request went where it went.
asio::awaitable<int> explainRequest(CommandContext &Context, std::string Site,
                                    std::string RequestId);

} // namespace ragwort::control

#endif
