//===- EntryMain.cpp - ragwort-entry --------------------------------------===//
//
// The process that callers speak to.
//
//===----------------------------------------------------------------------===//
#include "ragwort/entry/EntryNode.h"
#include "ragwort/node/Program.h"

int main(int Argc, char **Argv) {
  using namespace ragwort;
  Startup Given = parseCommandLine(Argc, Argv, "ragwort-entry",
                                   settings::InstanceRole::Entry);
  if (!Given.Node)
    return Given.ExitCode;
  configureLog(parseLogLevel(Given.Node->LogLevel, LogLevel::Info),
               Given.Node->Name);
  asio::io_context Io;
  NodeContext Context(std::move(*Given.Node), Io);
  EntryNode Entry(Context);
  return runDaemon(Context, Entry);
}
