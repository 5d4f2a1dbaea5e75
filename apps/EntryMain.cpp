//===- EntryMain.cpp - Entry point of ragwort-entry -----------------------===//
//
// Daemon that accepts callers' requests.
//
//===----------------------------------------------------------------------===//
#include "ragwort/entry/EntryNode.h"
#include "ragwort/node/Program.h"

int main(int Argc, char **Argv) {
  using namespace ragwort;
  Startup CommandLine = parseCommandLine(Argc, Argv, "ragwort-entry",
                                         settings::InstanceRole::Entry);
  if (!CommandLine.Node)
    return CommandLine.ExitCode;
  configureLog(parseLogLevel(CommandLine.Node->LogLevel, LogLevel::Info),
               CommandLine.Node->Name);
  asio::io_context Io;
  NodeContext Context(std::move(*CommandLine.Node), Io);
  EntryNode Entry(Context);
  return runDaemon(Context, Entry);
}
