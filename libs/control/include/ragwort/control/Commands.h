//===- Commands.h - Commands of ragwortctl --------------------------------===//
//
// Each command prints to the streams of its context and returns an exit code:
// 0 on success, 1 if the command failed or was rejected.
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

/// Output streams, servers and credentials of a command.
struct CommandContext {
  std::ostream &Out;
  std::ostream &Errors;
  Address Platform;
  std::string AdminToken;
  bool IsJson = false;
};

/// Merges a base and an overlay file and checks the result.
int checkFiles(CommandContext &Context, const std::string &BasePath,
               const std::string &OverlayPath);

/// Prints the configuration's version in the table service and the named
/// document, or the list of documents if \p Document is empty.
asio::awaitable<int> showDocument(CommandContext &Context,
                                  std::string Document);

/// Prints the version and the lines in which the file at \p Path differs from
/// the document in the table service.
asio::awaitable<int> diffDocument(CommandContext &Context, std::string Document,
                                  std::string Path);

/// Replaces the document by a file's contents if the configuration is still at
/// \p ExpectedVersion. First checks the file together with each document that
/// it is merged with.
asio::awaitable<int> applyDocument(CommandContext &Context,
                                   std::string Document, std::string Path,
                                   uint64_t ExpectedVersion);

/// Prints the state of all instances in the settings of \p Site.
asio::awaitable<int> fleetStatus(CommandContext &Context, std::string Site);

/// Prints the state dump of the process whose admin address is \p Admin.
asio::awaitable<int> dumpState(CommandContext &Context, Address Admin);

/// Starts a graceful shutdown of the process with admin address \p Admin.
asio::awaitable<int> drainNode(CommandContext &Context, Address Admin);

/// Prints the routing decisions for a request, from the first entry node of
/// \p Site that has a record of them.
asio::awaitable<int> explainRequest(CommandContext &Context, std::string Site,
                                    std::string RequestId);

} // namespace ragwort::control

#endif
