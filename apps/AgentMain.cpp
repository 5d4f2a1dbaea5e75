//===- AgentMain.cpp - ragwort-agent --------------------------------------===//
//
// The process beside each backend server.
//
//===----------------------------------------------------------------------===//
#include "ragwort/agent/AgentNode.h"
#include "ragwort/node/Program.h"

int main(int Argc, char **Argv) {
  using namespace ragwort;
  Startup Given = parseCommandLine(Argc, Argv, "ragwort-agent",
                                   settings::InstanceRole::Agent);
  if (!Given.Node)
    return Given.ExitCode;
  configureLog(parseLogLevel(Given.Node->LogLevel, LogLevel::Info),
               Given.Node->Name);
  asio::io_context Io;
  NodeContext Context(std::move(*Given.Node), Io);
  AgentNode Agent(Context);
  return runDaemon(Context, Agent);
}
