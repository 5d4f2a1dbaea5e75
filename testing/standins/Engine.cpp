//===- Engine.cpp - A model engine with continuous batching ---------------===//
//
// Every step gives each running stream one token. A step takes base_us plus
// per_stream_us for each stream; a prompt whose prefix is not cached holds its
// first token back for prefill_us. Token I of a prompt depends only on the
// prompt, so that a caller can check that an answer is whole and its own.
//
// Options and POST /faults: base_us, per_stream_us, prefill_us, max_streams,
// cache_entries, stall_ms (once), load_lag_ms, event_gap_percent,
// checks_fencing. GET /load and /events lag; POST /orders takes orders.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <deque>
#include <list>
#include <map>

namespace ragwort::standin {

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t PrefixBytes = 256;
constexpr int DefaultTokens = 32;
constexpr int MaxTokens = 4096;

/// Token number \p Index of the answer to \p Prompt.
std::string tokenOf(const std::string &Prompt, int Index) {
  return "w" +
         std::to_string(hash64(Prompt, static_cast<uint64_t>(Index)) % 100000) +
         " ";
}

/// A stream in the batch.
struct Stream {
  std::string Prompt;
  int NextToken = 0;
  int Tokens = 0;
  uint32_t Priority = 0;
  Clock::time_point ReadyAt;
  // Tokens that the step loop made and the connection has not written.
  std::deque<std::string> Made;
  bool IsCancelled = false;
  std::unique_ptr<asio::steady_timer> Signal;
};
using StreamPtr = std::shared_ptr<Stream>;

class Engine final : public Service {
public:
  Engine(asio::io_context &Io, const Json &Options) : Io(Io) {
    apply(Options);
    asio::co_spawn(Io, stepLoop(), asio::detached);
  }

  asio::awaitable<void> handle(http::Exchange &X) override {
    std::string_view Path = pathOf(X.request().Target);
    if (Path == "/v1/chat/completions") {
      co_await complete(X);
      co_return;
    }
    http::Response Answer = control(X.request(), Path);
    co_await X.respond(std::move(Answer));
  }

private:
  http::Response control(const http::Request &R, std::string_view Path) {
    if (Path == "/load")
      return jsonResponse(200, ShownLoad);
    if (Path == "/events")
      return jsonResponse(200, Events);
    Json Body = Json::parse(R.Body, nullptr, false);
    if (!Body.is_object())
      return jsonResponse(400, {{"error", "expected an object"}});
    if (Path == "/faults") {
      apply(Body);
      return jsonResponse(200, {{"ok", true}});
    }
    if (Path == "/orders")
      return order(Body);
    return jsonResponse(404, {{"error", "no such endpoint"}});
  }

  http::Response order(const Json &Body) {
    uint64_t Number = Body.value("fencing", uint64_t(0));
    if (ChecksFencing && Number < Fencing)
      return jsonResponse(409, {{"fencing", Fencing}});
    Fencing = std::max(Fencing, Number);
    Orders.push_back(Body);
    return jsonResponse(200, {{"fencing", Fencing}});
  }

  void apply(const Json &Options) {
    BaseMicros = Options.value("base_us", BaseMicros);
    PerStreamMicros = Options.value("per_stream_us", PerStreamMicros);
    PrefillMicros = Options.value("prefill_us", PrefillMicros);
    MaxStreams = Options.value("max_streams", MaxStreams);
    CacheEntries = Options.value("cache_entries", CacheEntries);
    LoadLagMillis = Options.value("load_lag_ms", LoadLagMillis);
    EventGapPercent = Options.value("event_gap_percent", EventGapPercent);
    ChecksFencing = Options.value("checks_fencing", ChecksFencing);
    if (int64_t Stall = Options.value("stall_ms", int64_t(0)); Stall > 0)
      StalledUntil = Clock::now() + std::chrono::milliseconds(Stall);
  }

  bool touchCache(const std::string &Prompt) {
    uint64_t Key = hash64(std::string_view(Prompt).substr(0, PrefixBytes));
    auto Place = std::find(Cache.begin(), Cache.end(), Key);
    bool IsHit = Place != Cache.end();
    if (IsHit)
      Cache.erase(Place);
    Cache.push_front(Key);
    if (!IsHit)
      noteEvent("cached", Key);
    if (Cache.size() > CacheEntries) {
      noteEvent("evicted", Cache.back());
      Cache.pop_back();
    }
    return IsHit;
  }

  void noteEvent(const char *What, uint64_t Key) {
    bool IsLost = int64_t(hash64(What, NextEvent++) % 100) < EventGapPercent;
    if (!IsLost)
      Events.push_back({{"what", What}, {"prefix", Key}});
  }

  static std::string promptOf(const Json &Body) {
    std::string Prompt;
    if (Body.contains("messages") && Body["messages"].is_array())
      for (const Json &M : Body["messages"])
        Prompt += M.value("content", "") + "\n";
    return Prompt;
  }

  asio::awaitable<void> complete(http::Exchange &X) {
    Json Body = Json::parse(X.request().Body, nullptr, false);
    if (!Body.is_object()) {
      http::Response Bad = jsonResponse(400, {{"error", "expected an object"}});
      co_await X.respond(std::move(Bad));
      co_return;
    }
    auto S = std::make_shared<Stream>();
    S->Prompt = promptOf(Body);
    S->Tokens =
        std::clamp(Body.value("max_tokens", DefaultTokens), 1, MaxTokens);
    S->NextToken = Body.value("resume_from", 0);
    S->Priority = Body.value("priority", 0u);
    S->Signal = std::make_unique<asio::steady_timer>(Io);
    bool IsHit = touchCache(S->Prompt);
    S->ReadyAt =
        Clock::now() + std::chrono::microseconds(IsHit ? 0 : PrefillMicros);
    enqueue(S);
    if (Body.value("stream", false))
      co_await writeStream(X, S);
    else
      co_await writeWhole(X, S);
    S->IsCancelled = true;
  }

  void enqueue(const StreamPtr &S) {
    auto Place = std::find_if(
        Waiting.begin(), Waiting.end(),
        [&](const StreamPtr &Other) { return Other->Priority < S->Priority; });
    Waiting.insert(Place, S);
  }

  /// The next token, or nothing at the end.
  asio::awaitable<std::optional<std::string>> nextToken(StreamPtr S,
                                                        int Given) {
    std::optional<std::string> Token;
    if (Given >= S->Tokens)
      co_return Token;
    while (S->Made.empty()) {
      S->Signal->expires_at(Clock::time_point::max());
      error_code Ignored;
      co_await S->Signal->async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    }
    Token = std::move(S->Made.front());
    S->Made.pop_front();
    co_return Token;
  }

  asio::awaitable<void> writeStream(http::Exchange &X, StreamPtr S) {
    http::ResponseHead Head;
    Head.Headers.push_back({"Content-Type", "text/event-stream"});
    bool IsOpen = co_await X.startStream(std::move(Head));
    for (int Given = S->NextToken; IsOpen; ++Given) {
      std::optional<std::string> Token = co_await nextToken(S, Given);
      if (!Token) {
        co_await X.writeChunk("data: [DONE]\n\n");
        co_await X.finishStream();
        co_return;
      }
      Json Delta = {{"choices", {{{"delta", {{"content", *Token}}}}}}};
      IsOpen = co_await X.writeChunk("data: " + Delta.dump() + "\n\n");
    }
  }

  asio::awaitable<void> writeWhole(http::Exchange &X, StreamPtr S) {
    std::string Text;
    for (int Given = S->NextToken;; ++Given) {
      std::optional<std::string> Token = co_await nextToken(S, Given);
      if (!Token)
        break;
      Text += *Token;
    }
    http::Response Answer = jsonResponse(
        200, {{"choices",
               {{{"message", {{"role", "assistant"}, {"content", Text}}}}}}});
    co_await X.respond(std::move(Answer));
  }

  void fillBatch() {
    auto Now = Clock::now();
    for (auto It = Waiting.begin();
         It != Waiting.end() && Batch.size() < MaxStreams;) {
      if ((*It)->IsCancelled) {
        It = Waiting.erase(It);
      } else if ((*It)->ReadyAt <= Now) {
        Batch.push_back(*It);
        It = Waiting.erase(It);
      } else {
        ++It;
      }
    }
  }

  void runStep() {
    for (const StreamPtr &S : Batch) {
      S->Made.push_back(tokenOf(S->Prompt, S->NextToken++));
      S->Signal->cancel();
    }
    std::erase_if(Batch, [](const StreamPtr &S) {
      return S->IsCancelled || S->NextToken >= S->Tokens;
    });
  }

  asio::awaitable<void> stepLoop() {
    for (;;) {
      if (Clock::now() < StalledUntil) {
        co_await sleepFor(std::chrono::milliseconds(5));
        continue;
      }
      fillBatch();
      co_await sleepFor(std::chrono::microseconds(
          BaseMicros + PerStreamMicros * int64_t(Batch.size())));
      runStep();
      showLoad();
    }
  }

  void showLoad() {
    auto Now = Clock::now();
    if (Now - LoadShownAt < std::chrono::milliseconds(LoadLagMillis))
      return;
    LoadShownAt = Now;
    ShownLoad = {{"running", Batch.size()}, {"waiting", Waiting.size()}};
  }

  asio::io_context &Io;
  int64_t BaseMicros = 2000;
  int64_t PerStreamMicros = 50;
  int64_t PrefillMicros = 5000;
  size_t MaxStreams = 32;
  size_t CacheEntries = 64;
  int64_t LoadLagMillis = 500;
  int64_t EventGapPercent = 10;
  bool ChecksFencing = true;
  uint64_t Fencing = 0;
  uint64_t NextEvent = 0;
  Json Orders = Json::array();
  Json Events = Json::array();
  Json ShownLoad = Json::object();
  Clock::time_point LoadShownAt{};
  Clock::time_point StalledUntil{};
  std::list<uint64_t> Cache;
  std::list<StreamPtr> Waiting;
  std::list<StreamPtr> Batch;
};

} // namespace

std::unique_ptr<Service> makeEngine(asio::io_context &Io, const Json &Options) {
  return std::make_unique<Engine>(Io, Options);
}

} // namespace ragwort::standin
