//===- LoadMain.cpp - ragwort-load ----------------------------------------===//
//
// Sends an open-loop load and reports outcomes, latencies and wrong answers.
// With --ledger it also compares what callers were told with what ran.
//
//===----------------------------------------------------------------------===//
#include "LoadRun.h"
#include "ragwort/base/Version.h"
#include "ragwort/http/HttpClient.h"
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace ragwort;
using Json = nlohmann::json;

/// Comparison of the plain service's ledger with the callers' answers.
struct LedgerCheck {
  uint64_t Doubled = 0;
  /// Told not-run by the last answer, but executed.
  uint64_t FalseNotRun = 0;
  /// Told completed, but not executed.
  uint64_t FalseCompleted = 0;
  bool IsRead = false;
};

asio::awaitable<Json> readLedger(Address Service) {
  http::Request R;
  R.Target = "/ledger";
  absl::StatusOr<http::Response> Answer =
      co_await http::fetch(Service, std::move(R), std::chrono::seconds(5));
  Json Nothing;
  co_return Answer.ok() ? Json::parse(Answer->Body, nullptr, false) : Nothing;
}

LedgerCheck checkLedgers(const std::vector<Address> &Services,
                         const load::LoadReport &Report) {
  LedgerCheck Check;
  std::map<std::string, uint64_t> Executions;
  Check.IsRead = true;
  for (const Address &Service : Services) {
    asio::io_context Io;
    Json Ledger;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          Ledger = co_await readLedger(Service);
        },
        asio::detached);
    Io.run();
    if (!Ledger.is_object()) {
      Check.IsRead = false;
      continue;
    }
    for (auto &[Key, Count] : Ledger.items())
      Executions[Key] += Count.get<uint64_t>();
  }
  for (auto &[Key, Count] : Executions)
    Check.Doubled += Count > 1 && Key != "unkeyed";
  for (const auto &[Key, Outcome] : Report.LastOutcome) {
    uint64_t Count = Executions[Key];
    Check.FalseCompleted += Outcome == "completed" && Count == 0;
    Check.FalseNotRun += Outcome == "not-run" && Count > 0;
  }
  return Check;
}

double millis(Duration D) { return static_cast<double>(D.count()) / 1000; }

Json percentiles(const DurationHistogram &H) {
  return {{"count", H.count()},
          {"p50_ms", millis(H.quantile(0.50))},
          {"p95_ms", millis(H.quantile(0.95))},
          {"p99_ms", millis(H.quantile(0.99))}};
}

Json reportJson(const load::LoadReport &R) {
  return {{"sent", R.Sent},
          {"not_sent", R.NotSent},
          {"completed", R.Completed},
          {"not_run", R.NotRun},
          {"unknown", R.Unknown},
          {"no_answer", R.NoAnswer},
          {"cut", R.Cut},
          {"wrong", R.Wrong},
          {"reasons", R.Reasons},
          {"first_token", percentiles(R.FirstToken)},
          {"between_tokens", percentiles(R.BetweenTokens)},
          {"whole_answer", percentiles(R.Whole)}};
}

void printReport(const Json &R) {
  for (const char *Key :
       {"sent", "not_sent", "completed", "not_run", "unknown", "no_answer",
        "cut", "wrong", "doubled", "false_not_run", "false_completed"})
    if (R.contains(Key))
      std::cout << Key << "=" << R[Key] << " ";
  std::cout << "\n";
  for (auto &[Reason, Count] : R["reasons"].items())
    std::cout << "  " << Reason << ": " << Count << "\n";
  for (const char *Key : {"first_token", "between_tokens", "whole_answer"}) {
    const Json &P = R[Key];
    if (P["count"] == 0)
      continue;
    std::cout << "  " << Key << " p50=" << P["p50_ms"]
              << "ms p95=" << P["p95_ms"] << "ms p99=" << P["p99_ms"] << "ms\n";
  }
}

std::optional<std::vector<Address>>
parseAddresses(const std::vector<std::string> &Texts) {
  std::vector<Address> Result;
  for (const std::string &Text : Texts) {
    std::optional<Address> A = parseAddress(Text);
    if (!A)
      return std::nullopt;
    Result.push_back(*A);
  }
  return Result;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("ragwort-load", "Open-loop load with a seed");
  Options.add_options()("target", "entry node as ip:port, repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "mix", "YAML file", cxxopts::value<std::string>())(
      "rate", "requests per second",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "length of the run",
      cxxopts::value<double>()->default_value("10"))(
      "seed", "seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "max-open", "most requests open at once",
      cxxopts::value<size_t>()->default_value("4096"))(
      "ledger", "plain service whose ledger is checked, repeated",
      cxxopts::value<std::vector<std::string>>()->default_value({}))(
      "direct", "send to a backend server, without the system's headers")(
      "quiet", "no progress lines")("json", "report as JSON")(
      "version", "print the version")("help", "print this");
  try {
    cxxopts::ParseResult Given = Options.parse(Argc, Argv);
    if (Given.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    if (Given.count("version")) {
      std::cout << "ragwort-load " << Version << "\n";
      return 0;
    }
    if (!Given.count("target") || !Given.count("mix")) {
      std::cerr << "ragwort-load: --target and --mix are required\n";
      return 2;
    }
    absl::StatusOr<std::vector<load::RequestKind>> Kinds =
        load::readMix(Given["mix"].as<std::string>());
    if (!Kinds.ok()) {
      std::cerr << std::string(Kinds.status().message()) << "\n";
      return 1;
    }
    auto Targets =
        parseAddresses(Given["target"].as<std::vector<std::string>>());
    std::optional<std::vector<Address>> Ledgers = std::vector<Address>();
    if (Given.count("ledger"))
      Ledgers = parseAddresses(Given["ledger"].as<std::vector<std::string>>());
    if (!Targets || !Ledgers) {
      std::cerr << "ragwort-load: expected addresses as ip:port\n";
      return 2;
    }
    load::LoadOptions Run;
    Run.Targets = *Targets;
    Run.Kinds = *Kinds;
    Run.RequestsPerSecond = Given["rate"].as<double>();
    Run.Length = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Given["seconds"].as<double>()));
    Run.Seed = Given["seed"].as<uint64_t>();
    Run.MaxOpen = Given["max-open"].as<size_t>();
    Run.ShowsProgress = Given.count("quiet") == 0;
    Run.IsDirect = Given.count("direct") > 0;
    asio::io_context Io(1);
    load::LoadRun Subject(Io, Run);
    asio::co_spawn(Io, Subject.execute(), asio::detached);
    Io.run();
    Json Report = reportJson(Subject.report());
    if (!Ledgers->empty()) {
      LedgerCheck Check = checkLedgers(*Ledgers, Subject.report());
      Report["doubled"] = Check.Doubled;
      Report["false_not_run"] = Check.FalseNotRun;
      Report["false_completed"] = Check.FalseCompleted;
      Report["ledger_read"] = Check.IsRead;
    }
    if (Given.count("json"))
      std::cout << Report.dump() << "\n";
    else
      printReport(Report);
    bool IsClean = Report["wrong"] == 0 && Report.value("doubled", 0) == 0 &&
                   Report.value("false_not_run", 0) == 0 &&
                   Report.value("false_completed", 0) == 0 &&
                   Report.value("ledger_read", true);
    return IsClean ? 0 : 1;
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "ragwort-load: " << Error.what() << "\n";
    return 2;
  }
}
