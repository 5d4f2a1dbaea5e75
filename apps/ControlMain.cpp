//===- ControlMain.cpp - Entry point of ragwortctl ------------------------===//
//
// Command-line tool for operators.
//
//===----------------------------------------------------------------------===//
#include "ragwort/base/Version.h"
#include "ragwort/control/Commands.h"
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace {

using namespace ragwort;
using control::CommandContext;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    R"(usage: ragwortctl [options] COMMAND
  check BASE-FILE OVERLAY-FILE         check two files against each other
  show [DOCUMENT]                      print the version and a document
  diff DOCUMENT FILE                   compare a file with a document
  apply DOCUMENT FILE --expect VERSION write a document
  status --site SITE                   table of the site's instances
  dump ADMIN-ADDRESS                   state of one process
  drain ADMIN-ADDRESS                  graceful shutdown of one process
  explain REQUEST-ID --site SITE       routing decisions of a request
DOCUMENT is base or overlay/SITE.
options:
  --platform IP:PORT   the platform's services
  --token-file FILE    admin token (or RAGWORT_ADMIN_TOKEN)
  --json               print JSON
)";

/// Positional arguments and options of a command.
struct Arguments {
  std::vector<std::string> Positionals;
  std::string Site;
  std::optional<uint64_t> Expect;
};

int usageError(const std::string &Reason) {
  std::cerr << "ragwortctl: " << Reason << "\n" << Usage;
  return ExitUsage;
}

std::string readToken(const std::string &Path) {
  std::string Token;
  if (!Path.empty()) {
    std::ifstream File(Path);
    std::getline(File, Token);
  } else if (const char *Value = std::getenv("RAGWORT_ADMIN_TOKEN")) {
    Token = Value;
  }
  return Token;
}

int runAsync(asio::awaitable<int> Command, asio::io_context &Io) {
  int Code = ExitFailed;
  asio::co_spawn(Io, std::move(Command),
                 [&](std::exception_ptr Error, int Result) {
                   if (Error)
                     std::rethrow_exception(Error);
                   Code = Result;
                 });
  Io.run();
  return Code;
}

int runAdminCommand(CommandContext &Context, const Arguments &Args,
                    asio::io_context &Io) {
  std::optional<Address> Admin = parseAddress(Args.Positionals[1]);
  if (!Admin)
    return usageError("expected an address as ip:port");
  if (Args.Positionals[0] == "dump")
    return runAsync(control::dumpState(Context, *Admin), Io);
  return runAsync(control::drainNode(Context, *Admin), Io);
}

int run(CommandContext &Context, const Arguments &Args) {
  asio::io_context Io;
  const std::vector<std::string> &Positionals = Args.Positionals;
  const std::string &Name = Positionals[0];
  size_t Count = Positionals.size() - 1;
  if (Name == "check" && Count == 2)
    return control::checkFiles(Context, Positionals[1], Positionals[2]);
  if ((Name == "dump" || Name == "drain") && Count == 1)
    return runAdminCommand(Context, Args, Io);
  if (Context.Platform.Port == 0)
    return usageError("--platform IP:PORT is required");
  if (Name == "show" && Count <= 1)
    return runAsync(
        control::showDocument(Context, Count == 1 ? Positionals[1] : ""), Io);
  if (Name == "diff" && Count == 2)
    return runAsync(
        control::diffDocument(Context, Positionals[1], Positionals[2]), Io);
  if (Name == "apply" && Count == 2) {
    if (!Args.Expect)
      return usageError("apply needs --expect VERSION");
    return runAsync(control::applyDocument(Context, Positionals[1],
                                           Positionals[2], *Args.Expect),
                    Io);
  }
  if (Args.Site.empty() && (Name == "status" || Name == "explain"))
    return usageError("--site SITE is required");
  if (Name == "status" && Count == 0)
    return runAsync(control::fleetStatus(Context, Args.Site), Io);
  if (Name == "explain" && Count == 1)
    return runAsync(control::explainRequest(Context, Args.Site, Positionals[1]),
                    Io);
  return usageError("unknown command or wrong number of arguments: " + Name);
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("ragwortctl");
  Options.add_options()("platform", "", cxxopts::value<std::string>())(
      "token-file", "", cxxopts::value<std::string>()->default_value(""))(
      "site", "", cxxopts::value<std::string>()->default_value(""))(
      "expect", "", cxxopts::value<uint64_t>())("json", "")("version", "")(
      "help", "")("words", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional("words");
  try {
    cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      std::cout << Usage;
      return 0;
    }
    if (Parsed.count("version")) {
      std::cout << "ragwortctl " << Version << "\n";
      return 0;
    }
    if (!Parsed.count("words"))
      return usageError("a command is required");
    CommandContext Context{std::cout, std::cerr, {}, {}, false};
    Context.IsJson = Parsed.count("json") > 0;
    Context.AdminToken = readToken(Parsed["token-file"].as<std::string>());
    if (Parsed.count("platform")) {
      std::optional<Address> Platform =
          parseAddress(Parsed["platform"].as<std::string>());
      if (!Platform)
        return usageError("--platform: expected ip:port");
      Context.Platform = *Platform;
    }
    Arguments Args;
    Args.Positionals = Parsed["words"].as<std::vector<std::string>>();
    Args.Site = Parsed["site"].as<std::string>();
    if (Parsed.count("expect"))
      Args.Expect = Parsed["expect"].as<uint64_t>();
    return run(Context, Args);
  } catch (const cxxopts::exceptions::exception &Error) {
    return usageError(Error.what());
  } catch (const std::exception &Error) {
    std::cerr << "ragwortctl: " << Error.what() << "\n";
    return ExitFailed;
  }
}
