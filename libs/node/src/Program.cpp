//===- Program.cpp - Command line and main loop of a daemon ---------------===//
#include "ragwort/node/Program.h"
#include "ragwort/base/Version.h"
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace ragwort {

namespace {

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

Startup exitWith(int Code) {
  Startup Result;
  Result.ExitCode = Code;
  return Result;
}

Startup loadSettings(const std::string &Path, bool IsCheck,
                     settings::InstanceRole Role) {
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot be read\n";
    return exitWith(ExitFailed);
  }
  absl::StatusOr<settings::NodeSettings> Node =
      settings::loadNodeSettings(Path, *Text);
  if (!Node.ok()) {
    std::cerr << std::string(Node.status().message()) << "\n";
    return exitWith(ExitFailed);
  }
  if (Node->Role != Role) {
    std::cerr << Path << ": role: is for another program\n";
    return exitWith(ExitFailed);
  }
  if (IsCheck) {
    std::cout << Path << ": ok\n";
    return exitWith(ExitOk);
  }
  Startup Result;
  Result.Node = std::move(*Node);
  return Result;
}

} // namespace

Startup parseCommandLine(int Argc, const char *const *Argv,
                         std::string_view Program,
                         settings::InstanceRole Role) {
  cxxopts::Options Options{std::string(Program)};
  Options.add_options()("config", "node settings",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "validate the settings and exit")(
      "version", "print the version and exit")("help", "print this and exit");
  try {
    cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return exitWith(ExitOk);
    }
    if (Parsed.count("version")) {
      std::cout << Program << " " << Version << "\n";
      return exitWith(ExitOk);
    }
    if (Parsed.count("config") == 1 && Parsed.unmatched().empty())
      return loadSettings(Parsed["config"].as<std::string>(),
                          Parsed.count("check") > 0, Role);
    std::cerr << Program << ": --config FILE is required\n";
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << Program << ": " << Error.what() << "\n";
  }
  std::cerr << "usage: " << Program << " --config FILE [--check]\n";
  return exitWith(ExitUsage);
}

void runWorkers(asio::io_context &Io, uint32_t Workers) {
  std::vector<std::jthread> Pool;
  for (uint32_t I = 1; I < Workers; ++I)
    Pool.emplace_back([&Io] { Io.run(); });
  Io.run();
}

} // namespace ragwort
