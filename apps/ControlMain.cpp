//===- ControlMain.cpp - ragwortctl ---------------------------------------===//
//
// The operators' command line.
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
  explain REQUEST-ID --site SITE       why a request went where it went
DOCUMENT is base or overlay/SITE.
options:
  --platform IP:PORT   the platform's services
  --token-file FILE    admin token (or RAGWORT_ADMIN_TOKEN)
  --json               output for programs
)";

/// Words and options of a command line.
struct Arguments {
  std::vector<std::string> Words;
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

int runAddressed(CommandContext &Context, const Arguments &Given,
                 asio::io_context &Io) {
  std::optional<Address> Admin = parseAddress(Given.Words[1]);
  if (!Admin)
    return usageError("expected an address as ip:port");
  if (Given.Words[0] == "dump")
    return runAsync(control::dumpState(Context, *Admin), Io);
  return runAsync(control::drainNode(Context, *Admin), Io);
}

int run(CommandContext &Context, const Arguments &Given) {
  asio::io_context Io;
  const std::vector<std::string> &Words = Given.Words;
  const std::string &Name = Words[0];
  size_t Count = Words.size() - 1;
  if (Name == "check" && Count == 2)
    return control::checkFiles(Context, Words[1], Words[2]);
  if ((Name == "dump" || Name == "drain") && Count == 1)
    return runAddressed(Context, Given, Io);
  if (Context.Platform.Port == 0)
    return usageError("--platform IP:PORT is required");
  if (Name == "show" && Count <= 1)
    return runAsync(control::showDocument(Context, Count == 1 ? Words[1] : ""),
                    Io);
  if (Name == "diff" && Count == 2)
    return runAsync(control::diffDocument(Context, Words[1], Words[2]), Io);
  if (Name == "apply" && Count == 2) {
    if (!Given.Expect)
      return usageError("apply needs --expect VERSION");
    return runAsync(
        control::applyDocument(Context, Words[1], Words[2], *Given.Expect), Io);
  }
  if (Given.Site.empty() && (Name == "status" || Name == "explain"))
    return usageError("--site SITE is required");
  if (Name == "status" && Count == 0)
    return runAsync(control::fleetStatus(Context, Given.Site), Io);
  if (Name == "explain" && Count == 1)
    return runAsync(control::explainRequest(Context, Given.Site, Words[1]), Io);
  return usageError("unknown command or wrong number of words: " + Name);
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
    cxxopts::ParseResult Given = Options.parse(Argc, Argv);
    if (Given.count("help")) {
      std::cout << Usage;
      return 0;
    }
    if (Given.count("version")) {
      std::cout << "ragwortctl " << Version << "\n";
      return 0;
    }
    if (!Given.count("words"))
      return usageError("a command is required");
    CommandContext Context{std::cout, std::cerr, {}, {}, false};
    Context.IsJson = Given.count("json") > 0;
    Context.AdminToken = readToken(Given["token-file"].as<std::string>());
    if (Given.count("platform")) {
      std::optional<Address> At =
          parseAddress(Given["platform"].as<std::string>());
      if (!At)
        return usageError("--platform: expected ip:port");
      Context.Platform = *At;
    }
    Arguments Args;
    Args.Words = Given["words"].as<std::vector<std::string>>();
    Args.Site = Given["site"].as<std::string>();
    if (Given.count("expect"))
      Args.Expect = Given["expect"].as<uint64_t>();
    return run(Context, Args);
  } catch (const cxxopts::exceptions::exception &Error) {
    return usageError(Error.what());
  } catch (const std::exception &Error) {
    std::cerr << "ragwortctl: " << Error.what() << "\n";
    return ExitFailed;
  }
}
