//===- Engine.cpp - Stand-in for a model engine ---------------------------===//
//
// Simulates continuous batching. Every step generates one token for each
// running stream and takes base_us plus per_stream_us for each stream. If a
// prompt's prefix is not cached, its first token is delayed by prefill_us.
// Token I is a function of the prompt and I only, so that a caller can check
// that a response is complete and belongs to its request.
//
// The options and POST /faults accept: base_us, per_stream_us, prefill_us,
// max_streams, cache_entries, stall_ms (a single stall), load_lag_ms,
// event_gap_percent, checks_fencing. GET /load returns the load as of up to
// load_lag_ms ago, GET /events the cache events, of which event_gap_percent are
// left out. POST /orders accepts controller orders with a fencing epoch.
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
std::string tokenAt(const std::string &Prompt, int Index) {
  return "w" +
         std::to_string(hash64(Prompt, static_cast<uint64_t>(Index)) % 100000) +
         " ";
}

/// A stream that waits for a place in the batch or runs in it.
struct Stream {
  std::string Prompt;
  int NextToken = 0;
  int Tokens = 0;
  uint32_t Priority = 0;
  /// End of the prefill.
  Clock::time_point ReadyAt;
  /// Tokens that the step loop has generated and the connection has not sent.
  std::deque<std::string> UnsentTokens;
  bool IsCancelled = false;
  /// Cancelled to wake the connection after each new token.
  std::unique_ptr<asio::steady_timer> TokenReady;
};
using StreamPtr = std::shared_ptr<Stream>;

class Engine final : public Service {
public:
  Engine(asio::io_context &Io, const Json &Options) : Io(Io) {
    applyOptions(Options);
    asio::co_spawn(Io, stepLoop(), asio::detached);
  }

  asio::awaitable<void> handle(http::Exchange &X) override {
    std::string_view Path = pathOf(X.request().Target);
    if (Path == "/v1/chat/completions") {
      co_await handleCompletion(X);
      co_return;
    }
    http::Response Answer = handleControl(X.request(), Path);
    co_await X.respond(std::move(Answer));
  }

private:
  http::Response handleControl(const http::Request &R, std::string_view Path) {
    if (Path == "/load")
      return jsonResponse(200, ReportedLoad);
    if (Path == "/events")
      return jsonResponse(200, Events);
    Json Body = Json::parse(R.Body, nullptr, false);
    if (!Body.is_object())
      return jsonResponse(400, {{"error", "expected an object"}});
    if (Path == "/faults") {
      applyOptions(Body);
      return jsonResponse(200, {{"ok", true}});
    }
    if (Path == "/orders")
      return handleOrder(Body);
    return jsonResponse(404, {{"error", "no such endpoint"}});
  }

  http::Response handleOrder(const Json &Body) {
    uint64_t RequestFencing = Body.value("fencing", uint64_t(0));
    if (ChecksFencing && RequestFencing < Fencing)
      return jsonResponse(409, {{"fencing", Fencing}});
    Fencing = std::max(Fencing, RequestFencing);
    Orders.push_back(Body);
    return jsonResponse(200, {{"fencing", Fencing}});
  }

  void applyOptions(const Json &Options) {
    BaseMicros = Options.value("base_us", BaseMicros);
    PerStreamMicros = Options.value("per_stream_us", PerStreamMicros);
    PrefillMicros = Options.value("prefill_us", PrefillMicros);
    MaxStreams = Options.value("max_streams", MaxStreams);
    CacheEntries = Options.value("cache_entries", CacheEntries);
    LoadLagMillis = Options.value("load_lag_ms", LoadLagMillis);
    EventGapPercent = Options.value("event_gap_percent", EventGapPercent);
    ChecksFencing = Options.value("checks_fencing", ChecksFencing);
    if (int64_t StallMillis = Options.value("stall_ms", int64_t(0));
        StallMillis > 0)
      StalledUntil = Clock::now() + std::chrono::milliseconds(StallMillis);
  }

  /// Marks the prompt's prefix as the most recently used and evicts the least
  /// recently used one from a full cache. \returns whether it was cached.
  bool touchCache(const std::string &Prompt) {
    uint64_t Key = hash64(std::string_view(Prompt).substr(0, PrefixBytes));
    auto Position = std::find(Cache.begin(), Cache.end(), Key);
    bool IsHit = Position != Cache.end();
    if (IsHit)
      Cache.erase(Position);
    Cache.push_front(Key);
    if (!IsHit)
      recordEvent("cached", Key);
    if (Cache.size() > CacheEntries) {
      recordEvent("evicted", Cache.back());
      Cache.pop_back();
    }
    return IsHit;
  }

  /// Records a cache event, or drops it to simulate a gap.
  void recordEvent(const char *EventKind, uint64_t Key) {
    bool IsDropped =
        int64_t(hash64(EventKind, NextEventNumber++) % 100) < EventGapPercent;
    if (!IsDropped)
      Events.push_back({{"what", EventKind}, {"prefix", Key}});
  }

  static std::string promptOf(const Json &Body) {
    std::string Prompt;
    if (Body.contains("messages") && Body["messages"].is_array())
      for (const Json &M : Body["messages"])
        Prompt += M.value("content", "") + "\n";
    return Prompt;
  }

  asio::awaitable<void> handleCompletion(http::Exchange &X) {
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
    S->TokenReady = std::make_unique<asio::steady_timer>(Io);
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

  /// Queues the stream behind all of the same or a higher priority.
  void enqueue(const StreamPtr &S) {
    auto Position = std::find_if(
        Waiting.begin(), Waiting.end(),
        [&](const StreamPtr &Other) { return Other->Priority < S->Priority; });
    Waiting.insert(Position, S);
  }

  /// Waits for the next token. \returns nullopt after the last one.
  asio::awaitable<std::optional<std::string>> nextToken(StreamPtr S,
                                                        int SentCount) {
    std::optional<std::string> Token;
    if (SentCount >= S->Tokens)
      co_return Token;
    while (S->UnsentTokens.empty()) {
      S->TokenReady->expires_at(Clock::time_point::max());
      error_code Ignored;
      co_await S->TokenReady->async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    }
    Token = std::move(S->UnsentTokens.front());
    S->UnsentTokens.pop_front();
    co_return Token;
  }

  asio::awaitable<void> writeStream(http::Exchange &X, StreamPtr S) {
    http::ResponseHead Head;
    Head.Headers.push_back({"Content-Type", "text/event-stream"});
    bool IsOpen = co_await X.startStream(std::move(Head));
    for (int SentCount = S->NextToken; IsOpen; ++SentCount) {
      std::optional<std::string> Token = co_await nextToken(S, SentCount);
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
    for (int SentCount = S->NextToken;; ++SentCount) {
      std::optional<std::string> Token = co_await nextToken(S, SentCount);
      if (!Token)
        break;
      Text += *Token;
    }
    http::Response Answer = jsonResponse(
        200, {{"choices",
               {{{"message", {{"role", "assistant"}, {"content", Text}}}}}}});
    co_await X.respond(std::move(Answer));
  }

  /// Moves streams that have been prefilled into the batch while it has room.
  void admitStreams() {
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
      S->UnsentTokens.push_back(tokenAt(S->Prompt, S->NextToken++));
      S->TokenReady->cancel();
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
      admitStreams();
      co_await sleepFor(std::chrono::microseconds(
          BaseMicros + PerStreamMicros * int64_t(Batch.size())));
      runStep();
      reportLoad();
    }
  }

  /// Updates the load that GET /load returns, at most once per load_lag_ms.
  void reportLoad() {
    auto Now = Clock::now();
    if (Now - LoadReportedAt < std::chrono::milliseconds(LoadLagMillis))
      return;
    LoadReportedAt = Now;
    ReportedLoad = {{"running", Batch.size()}, {"waiting", Waiting.size()}};
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
  uint64_t NextEventNumber = 0;
  Json Orders = Json::array();
  Json Events = Json::array();
  Json ReportedLoad = Json::object();
  Clock::time_point LoadReportedAt{};
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
