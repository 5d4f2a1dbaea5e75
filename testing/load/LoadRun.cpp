//===- LoadRun.cpp - Open-loop load generator with response checks --------===//
#include "LoadRun.h"
#include "ragwort/base/Hash.h"
#include "ragwort/http/HttpClient.h"
#include <iostream>
#include <nlohmann/json.hpp>

namespace ragwort::load {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr Duration ProgressInterval = 5s;
/// Added to the request's deadline for the client's own timeout.
constexpr Duration TimeoutMargin = 5s;

Duration elapsedSince(Clock::time_point Begin) {
  return std::chrono::duration_cast<Duration>(Clock::now() - Begin);
}

/// Text with which the engine stand-in completes \p Prompt; see Engine.cpp.
std::string expectedText(const std::string &Prompt, int Tokens) {
  std::string Text;
  for (int I = 0; I < Tokens; ++I)
    Text += "w" +
            std::to_string(hash64(Prompt, static_cast<uint64_t>(I)) % 100000) +
            " ";
  return Text;
}

/// Parser for the server-sent events of a streamed completion.
class EventReader {
public:
  /// Parses further bytes. \returns the number of tokens in the events that
  /// they complete.
  int parse(std::string_view Bytes) {
    Buffer += Bytes;
    int Tokens = 0;
    for (size_t End; (End = Buffer.find("\n\n")) != std::string::npos;) {
      std::string Event = Buffer.substr(0, End);
      Buffer.erase(0, End + 2);
      if (Event == "data: [DONE]") {
        IsDone = true;
      } else if (Event.starts_with("data: ")) {
        Json Parsed = Json::parse(Event.substr(6), nullptr, false);
        if (Parsed.is_object() && Parsed.contains("choices"))
          Text += Parsed["choices"][0]["delta"].value("content", "");
        ++Tokens;
      }
    }
    return Tokens;
  }
  std::string Text;
  bool IsDone = false;

private:
  std::string Buffer;
};

} // namespace

/// A generated request.
struct LoadRun::Job {
  const RequestKind *Kind = nullptr;
  std::string Organisation;
  std::string Prompt;
  std::string Key;
  std::string Path;
  Address Target;
  /// Whether it is sent a second time with the same key.
  bool IsRepeated = false;
};

/// Pool of idle keep-alive connections for each target.
struct LoadRun::Connections {
  using Ptr = std::unique_ptr<http::ClientConnection>;
  std::map<Address, std::vector<Ptr>> Idle;

  Ptr acquire(asio::io_context &Io, const Address &Target) {
    std::vector<Ptr> &IdleToTarget = Idle[Target];
    if (IdleToTarget.empty())
      return std::make_unique<http::ClientConnection>(Io.get_executor(),
                                                      Target);
    Ptr Result = std::move(IdleToTarget.back());
    IdleToTarget.pop_back();
    return Result;
  }
  void release(const Address &Target, Ptr Connection) {
    Idle[Target].push_back(std::move(Connection));
  }
};

LoadRun::LoadRun(asio::io_context &Io, LoadOptions NewOptions)
    : Io(Io), Options(std::move(NewOptions)), Random(Options.Seed),
      Pool(std::make_unique<Connections>()) {
  std::vector<double> Weights;
  for (const RequestKind &Kind : Options.Kinds)
    Weights.push_back(Kind.Weight);
  PickKind = std::discrete_distribution<size_t>(Weights.begin(), Weights.end());
}

LoadRun::~LoadRun() = default;

LoadRun::Job LoadRun::nextJob() {
  Job J;
  J.Kind = &Options.Kinds[PickKind(Random)];
  J.Organisation =
      J.Kind->Organisations[Random() % J.Kind->Organisations.size()];
  J.Target = Options.Targets[Random() % Options.Targets.size()];
  J.Path = J.Kind->Path;
  std::string Number = std::to_string(NextNumber++);
  switch (J.Kind->RequestShape) {
  case Shape::Chat:
    // The dots fill the 256 bytes that the engine stand-in takes as the prefix.
    J.Prompt = "prefix " + std::to_string(Random() % J.Kind->Prefixes) +
               std::string(250, '.') + " question " + Number + "\n";
    break;
  case Shape::Lookup:
    J.Path += Number;
    break;
  case Shape::Issue:
    J.Key = "seed" + std::to_string(Options.Seed) + "-" + Number;
    J.IsRepeated = int(Random() % 100) < J.Kind->RepeatPercent;
    break;
  }
  return J;
}

asio::awaitable<void> LoadRun::execute() {
  auto Begin = Clock::now();
  auto Next = Begin;
  auto NextProgress = Begin + ProgressInterval;
  std::exponential_distribution<double> Gap(Options.RequestsPerSecond);
  while (Next - Begin < Options.RunTime) {
    asio::steady_timer Timer(Io, Next);
    error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    if (OpenRequests >= Options.MaxOpenRequests)
      ++Report.NotSent;
    else
      asio::co_spawn(Io, run(nextJob()), asio::detached);
    Next += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Gap(Random)));
    if (Options.ShowsProgress && Clock::now() >= NextProgress) {
      NextProgress += ProgressInterval;
      printProgress();
    }
  }
  while (OpenRequests > 0)
    co_await sleepFor(5ms);
  Io.stop();
}

void LoadRun::printProgress() {
  std::cerr << "sent=" << Report.Sent << " completed=" << Report.Completed
            << " not-run=" << Report.NotRun << " unknown=" << Report.Unknown
            << " open=" << OpenRequests << "\n";
}

asio::awaitable<void> LoadRun::run(Job J) {
  ++OpenRequests;
  co_await send(J);
  if (J.IsRepeated) {
    J.Target = Options.Targets[Random() % Options.Targets.size()];
    co_await send(J);
  }
  --OpenRequests;
}

asio::awaitable<void> LoadRun::send(Job J) {
  ++Report.Sent;
  http::Request R;
  R.Method = J.Kind->RequestShape == Shape::Lookup ? "GET" : "POST";
  R.Target = J.Path;
  if (!Options.IsDirect) {
    R.Headers.push_back({"Ragwort-Organisation", J.Organisation});
    R.Headers.push_back(
        {"Ragwort-Deadline-Ms", std::to_string(J.Kind->DeadlineMillis)});
    R.Headers.push_back({"Ragwort-Priority", std::to_string(J.Kind->Priority)});
  }
  if (!J.Key.empty())
    R.Headers.push_back({"Idempotency-Key", J.Key});
  if (J.Kind->RequestShape == Shape::Chat)
    R.Body = Json{{"stream", true},
                  {"max_tokens", J.Kind->Tokens},
                  {"messages", {{{"role", "user"}, {"content", J.Prompt}}}}}
                 .dump();
  Duration Timeout =
      std::chrono::milliseconds(J.Kind->DeadlineMillis) + TimeoutMargin;
  auto Begin = Clock::now();
  auto Connection = Pool->acquire(Io, J.Target);
  absl::StatusOr<http::ResponseHead> Head =
      absl::UnavailableError("cannot connect");
  absl::Status Connected = co_await Connection->connect(Timeout);
  // Nothing has been sent yet, so another target can be tried safely, as the
  // platform's load balancer does.
  for (size_t I = 0; I < Options.Targets.size() && !Connected.ok(); ++I) {
    J.Target = Options.Targets[I];
    Connection = Pool->acquire(Io, J.Target);
    Connected = co_await Connection->connect(Timeout);
  }
  if (Connected.ok())
    Head = co_await Connection->sendForHead(R, Timeout);
  if (!Head.ok()) {
    ++Report.NoAnswer;
    ++Report.Reasons["no-answer: " + std::string(Head.status().message())];
    co_return;
  }
  std::string Body;
  EventReader Events;
  auto LastToken = Begin;
  bool IsComplete = false;
  for (;;) {
    absl::StatusOr<std::optional<std::string>> Chunk =
        co_await Connection->receiveChunk(Timeout);
    if (!Chunk.ok())
      break;
    if (!Chunk->has_value()) {
      IsComplete = true;
      break;
    }
    Body += **Chunk;
    if (J.Kind->RequestShape != Shape::Chat || Head->Status != 200)
      continue;
    for (int Tokens = Events.parse(**Chunk); Tokens > 0; --Tokens) {
      bool IsFirst = LastToken == Begin;
      (IsFirst ? Report.FirstToken : Report.BetweenTokens)
          .record(elapsedSince(LastToken));
      LastToken = Clock::now();
    }
  }
  if (!IsComplete) {
    ++Report.Truncated;
    co_return;
  }
  Pool->release(J.Target, std::move(Connection));
  std::string Outcome(Head->header("Ragwort-Outcome"));
  if (!J.Key.empty())
    Report.LastOutcome[J.Key] = Outcome;
  if (Outcome == "completed" || (Options.IsDirect && Head->Status == 200)) {
    ++Report.Completed;
    Report.CompleteAnswer.record(elapsedSince(Begin));
    bool IsCorrect = true;
    // The engine stand-in adds a newline to the content of each message.
    if (J.Kind->RequestShape == Shape::Chat)
      IsCorrect = Events.IsDone &&
                  Events.Text == expectedText(J.Prompt + "\n", J.Kind->Tokens);
    else if (J.Kind->RequestShape == Shape::Lookup)
      IsCorrect = Body.find("\"" + J.Path + "\"") != std::string::npos;
    else
      IsCorrect = Body.find("\"" + J.Key + "\"") != std::string::npos;
    if (!IsCorrect)
      ++Report.Wrong;
    co_return;
  }
  Json ProblemDocument = Json::parse(Body, nullptr, false);
  std::string Reason = ProblemDocument.is_object()
                           ? ProblemDocument.value("title", "?")
                           : "no-problem-document";
  ++Report.Reasons[Outcome + ": " + Reason];
  if (Outcome == "not-run") {
    ++Report.NotRun;
  } else {
    ++Report.Unknown;
  }
}

} // namespace ragwort::load
