//===- Plain.cpp - Stand-in for a plain service ---------------------------===//
//
// Every POST counts as one execution of its Idempotency-Key (without one, of
// "unkeyed") in the ledger and returns a serial number. GET /ledger returns the
// executions by key, GET /requests the number of requests.
//
// The option work_us sets the time a request takes. POST /faults accepts
// work_us, cut and cuts: the next `cuts` POST requests have their connection
// closed before the execution (cut: head), after the execution but before the
// response (body) or within the response (answer); none closes no connection.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include <map>

namespace ragwort::standin {

namespace {

class Plain final : public Service {
public:
  explicit Plain(const Json &Options)
      : WorkMicros(Options.value("work_us", 0)) {}

  asio::awaitable<void> handle(http::Exchange &X) override {
    const http::Request &R = X.request();
    std::string_view Path = pathOf(R.Target);
    if (Path == "/ledger") {
      http::Response Answer = jsonResponse(200, Ledger);
      co_await X.respond(std::move(Answer));
      co_return;
    }
    if (Path == "/requests") {
      http::Response Answer = jsonResponse(200, {{"requests", Requests}});
      co_await X.respond(std::move(Answer));
      co_return;
    }
    if (Path == "/faults") {
      Json Body = Json::parse(R.Body, nullptr, false);
      WorkMicros = Body.value("work_us", WorkMicros);
      CutPoint = Body.value("cut", CutPoint);
      CutsLeft = Body.value("cuts", CutsLeft);
      http::Response Answer = jsonResponse(200, {{"ok", true}});
      co_await X.respond(std::move(Answer));
      co_return;
    }
    ++Requests;
    bool IsCut = CutsLeft > 0 && R.Method == "POST" && CutPoint != "none";
    if (IsCut)
      --CutsLeft;
    if (IsCut && CutPoint == "head")
      co_return;
    std::string Reply = "{\"echo\":\"" + std::string(Path) + "\"}\n";
    if (R.Method == "POST") {
      std::string Key = std::string(R.header("Idempotency-Key"));
      ++Ledger[Key.empty() ? "unkeyed" : Key];
      Reply = Json{{"serial", NextSerial++}, {"key", Key}}.dump() + "\n";
    }
    if (WorkMicros > 0)
      co_await sleepFor(std::chrono::microseconds(WorkMicros));
    if (IsCut && CutPoint == "body")
      co_return;
    if (IsCut && CutPoint == "answer") {
      http::ResponseHead Head;
      co_await X.startStream(Head);
      co_await X.writeChunk(Reply.substr(0, Reply.size() / 2));
      co_return;
    }
    http::Response Answer =
        http::makeResponse(200, "application/json", std::move(Reply));
    co_await X.respond(std::move(Answer));
  }

private:
  int64_t WorkMicros = 0;
  std::string CutPoint = "none";
  int64_t CutsLeft = 0;
  uint64_t NextSerial = 1;
  uint64_t Requests = 0;
  std::map<std::string, uint64_t> Ledger;
};

} // namespace

std::unique_ptr<Service> makePlain(asio::io_context &, const Json &Options) {
  return std::make_unique<Plain>(Options);
}

} // namespace ragwort::standin
