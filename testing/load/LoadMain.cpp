//===- LoadMain.cpp - Entry point of ragwort-load -------------------------===//
//
// Sends an open-loop load and reports outcomes, latencies and wrong responses.
// With --ledger it also compares the outcomes that callers received with the
// executions that the plain services recorded.
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

/// Result of comparing the plain services' ledgers with the outcomes that
/// callers received.
struct LedgerCheck {
  /// Number of idempotency keys whose request was executed more than once.
  uint64_t DuplicateExecutions = 0;
  /// Number of keys whose last outcome was not-run although the request was
  /// executed.
  uint64_t FalseNotRun = 0;
  /// Number of keys whose last outcome was completed although the request was
  /// not executed.
  uint64_t FalseCompleted = 0;
  /// Whether every ledger could be read.
  bool IsLedgerRead = false;
};

/// \returns null or a discarded value if the ledger cannot be read.
asio::awaitable<Json> readLedger(Address Service) {
  http::Request R;
  R.Target = "/ledger";
  absl::StatusOr<http::Response> Answer =
      co_await http::fetch(Service, std::move(R), std::chrono::seconds(5));
  Json Unreadable;
  co_return Answer.ok() ? Json::parse(Answer->Body, nullptr, false)
                        : Unreadable;
}

LedgerCheck checkLedgers(const std::vector<Address> &Services,
                         const load::LoadReport &Report) {
  LedgerCheck Check;
  std::map<std::string, uint64_t> Executions;
  Check.IsLedgerRead = true;
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
      Check.IsLedgerRead = false;
      continue;
    }
    for (auto &[Key, Count] : Ledger.items())
      Executions[Key] += Count.get<uint64_t>();
  }
  for (auto &[Key, Count] : Executions)
    Check.DuplicateExecutions += Count > 1 && Key != "unkeyed";
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
          {"cut", R.Truncated},
          {"wrong", R.Wrong},
          {"reasons", R.Reasons},
          {"first_token", percentiles(R.FirstToken)},
          {"between_tokens", percentiles(R.BetweenTokens)},
          {"whole_answer", percentiles(R.CompleteAnswer)}};
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
    const Json &Latency = R[Key];
    if (Latency["count"] == 0)
      continue;
    std::cout << "  " << Key << " p50=" << Latency["p50_ms"]
              << "ms p95=" << Latency["p95_ms"]
              << "ms p99=" << Latency["p99_ms"] << "ms\n";
  }
}

std::optional<std::vector<Address>>
parseAddresses(const std::vector<std::string> &AddressTexts) {
  std::vector<Address> Result;
  for (const std::string &Text : AddressTexts) {
    std::optional<Address> A = parseAddress(Text);
    if (!A)
      return std::nullopt;
    Result.push_back(*A);
  }
  return Result;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("ragwort-load", "Open-loop load generator");
  Options.add_options()("target", "entry node as ip:port, repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "mix", "YAML file with the request mix", cxxopts::value<std::string>())(
      "rate", "requests per second",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "duration of the run in seconds",
      cxxopts::value<double>()->default_value("10"))(
      "seed", "seed of the random generator",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "max-open", "maximum number of open requests",
      cxxopts::value<size_t>()->default_value("4096"))(
      "ledger", "plain service whose ledger is checked, as ip:port, repeated",
      cxxopts::value<std::vector<std::string>>()->default_value({}))(
      "direct",
      "omit the Ragwort-* headers, to load a backend server directly")(
      "quiet", "print no progress lines")("json", "print the report as JSON")(
      "version", "print the version")("help", "print this");
  try {
    cxxopts::ParseResult Arguments = Options.parse(Argc, Argv);
    if (Arguments.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    if (Arguments.count("version")) {
      std::cout << "ragwort-load " << Version << "\n";
      return 0;
    }
    if (!Arguments.count("target") || !Arguments.count("mix")) {
      std::cerr << "ragwort-load: --target and --mix are required\n";
      return 2;
    }
    absl::StatusOr<std::vector<load::RequestKind>> Kinds =
        load::readMix(Arguments["mix"].as<std::string>());
    if (!Kinds.ok()) {
      std::cerr << std::string(Kinds.status().message()) << "\n";
      return 1;
    }
    auto Targets =
        parseAddresses(Arguments["target"].as<std::vector<std::string>>());
    std::optional<std::vector<Address>> Ledgers = std::vector<Address>();
    if (Arguments.count("ledger"))
      Ledgers =
          parseAddresses(Arguments["ledger"].as<std::vector<std::string>>());
    if (!Targets || !Ledgers) {
      std::cerr << "ragwort-load: expected addresses as ip:port\n";
      return 2;
    }
    load::LoadOptions RunOptions;
    RunOptions.Targets = *Targets;
    RunOptions.Kinds = *Kinds;
    RunOptions.RequestsPerSecond = Arguments["rate"].as<double>();
    RunOptions.RunTime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Arguments["seconds"].as<double>()));
    RunOptions.Seed = Arguments["seed"].as<uint64_t>();
    RunOptions.MaxOpenRequests = Arguments["max-open"].as<size_t>();
    RunOptions.ShowsProgress = Arguments.count("quiet") == 0;
    RunOptions.IsDirect = Arguments.count("direct") > 0;
    asio::io_context Io(1);
    load::LoadRun Run(Io, RunOptions);
    asio::co_spawn(Io, Run.execute(), asio::detached);
    Io.run();
    Json Report = reportJson(Run.report());
    if (!Ledgers->empty()) {
      LedgerCheck Check = checkLedgers(*Ledgers, Run.report());
      Report["doubled"] = Check.DuplicateExecutions;
      Report["false_not_run"] = Check.FalseNotRun;
      Report["false_completed"] = Check.FalseCompleted;
      Report["ledger_read"] = Check.IsLedgerRead;
    }
    if (Arguments.count("json"))
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
