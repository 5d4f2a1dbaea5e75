//===- Plain.cpp - A plain service with a ledger --------------------------===//
//
// Any POST counts as one execution of its Idempotency-Key and answers with a
// serial number. Options and POST /faults: work_ms, cut (none, head, body,
// answer): where the next `cuts` connections are cut: before the request is
// read as executed, after the execution, or within the answer.
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
      Cut = Body.value("cut", Cut);
      Cuts = Body.value("cuts", Cuts);
      http::Response Answer = jsonResponse(200, {{"ok", true}});
      co_await X.respond(std::move(Answer));
      co_return;
    }
    ++Requests;
    bool IsCut = Cuts > 0 && R.Method == "POST" && Cut != "none";
    if (IsCut)
      --Cuts;
    if (IsCut && Cut == "head")
      co_return;
    std::string Reply = "{\"echo\":\"" + std::string(Path) + "\"}\n";
    if (R.Method == "POST") {
      std::string Key = std::string(R.header("Idempotency-Key"));
      ++Ledger[Key.empty() ? "unkeyed" : Key];
      Reply = Json{{"serial", NextSerial++}, {"key", Key}}.dump() + "\n";
    }
    if (WorkMicros > 0)
      co_await sleepFor(std::chrono::microseconds(WorkMicros));
    if (IsCut && Cut == "body")
      co_return;
    if (IsCut && Cut == "answer") {
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
  std::string Cut = "none";
  int64_t Cuts = 0;
  uint64_t NextSerial = 1;
  uint64_t Requests = 0;
  std::map<std::string, uint64_t> Ledger;
};

} // namespace

std::unique_ptr<Service> makePlain(asio::io_context &, const Json &Options) {
  return std::make_unique<Plain>(Options);
}

} // namespace ragwort::standin
