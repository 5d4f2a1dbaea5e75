//===- AgentMain.cpp - Entry point of ragwort-agent -----------------------===//
//
// Daemon that runs beside each backend server.
//
//===----------------------------------------------------------------------===//
#include "ragwort/agent/AgentNode.h"
#include "ragwort/node/Program.h"

int main(int Argc, char **Argv) {
  using namespace ragwort;
  Startup CommandLine = parseCommandLine(Argc, Argv, "ragwort-agent",
                                         settings::InstanceRole::Agent);
  if (!CommandLine.Node)
    return CommandLine.ExitCode;
  configureLog(parseLogLevel(CommandLine.Node->LogLevel, LogLevel::Info),
               CommandLine.Node->Name);
  asio::io_context Io;
  NodeContext Context(std::move(*CommandLine.Node), Io);
  AgentNode Agent(Context);
  return runDaemon(Context, Agent);
}
