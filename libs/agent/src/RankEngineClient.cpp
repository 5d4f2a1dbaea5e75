//===- RankEngineClient.cpp - HTTP client of a rank's engine --------------===//
#include "RankEngineClient.h"

namespace ragwort::agent {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr Duration CallTimeout = 1s;
constexpr Duration StageTimeout = 60s;

http::Request post(const char *Target, const Json &Body) {
  http::Request R;
  R.Method = "POST";
  R.Target = Target;
  R.Headers.push_back({"Content-Type", "application/json"});
  R.Body = Body.dump();
  return R;
}

absl::StatusOr<RankReport> parseReport(const Json &Body) {
  RankReport Report;
  try {
    Body.at("step").get_to(Report.State.Step);
    Body.at("fencing").get_to(Report.State.Fencing.Value);
    Body.at("counts").get_to(Report.ExpertCounts);
    Body.at("ranks").get_to(Report.Ranks);
    Body.at("slots").get_to(Report.Slots);
    for (const Json &Item : Body.at("orders")) {
      experts::Grant G;
      Item.at("index").get_to(G.Index);
      Item.at("version").get_to(G.Version);
      Item.at("from").get_to(G.From);
      Item.at("through").get_to(G.Through);
      Item.at("by").get_to(G.By.Value);
      Report.State.Orders.push_back(G);
    }
  } catch (const Json::exception &Error) {
    return absl::DataLossError(std::string("malformed rank state: ") +
                               Error.what());
  }
  return Report;
}

} // namespace

RankEngineClient::RankEngineClient(asio::any_io_executor Executor,
                                   const Address &Server)
    : Executor(Executor), Server(Server) {}

asio::awaitable<absl::StatusOr<Json>> RankEngineClient::call(http::Request R,
                                                             Duration Timeout) {
  // Each call uses its own connection, since reports are read while weights are
  // being staged.
  http::ClientConnection Connection(Executor, Server);
  absl::StatusOr<http::Response> Answer =
      co_await Connection.exchange(R, Timeout);
  if (!Answer.ok())
    co_return Answer.status();
  if (Answer->Head.Status != 200)
    co_return absl::FailedPreconditionError(
        "engine answered status " + std::to_string(Answer->Head.Status));
  co_return Json::parse(Answer->Body, nullptr, false);
}

asio::awaitable<absl::StatusOr<RankReport>> RankEngineClient::report() {
  http::Request R;
  R.Target = "/rank/state";
  absl::StatusOr<Json> Body = co_await call(std::move(R), CallTimeout);
  if (!Body.ok())
    co_return Body.status();
  co_return parseReport(*Body);
}

asio::awaitable<absl::Status>
RankEngineClient::stage(uint64_t Version, Epoch Fencing,
                        std::vector<uint16_t> Placement) {
  Json Body = {{"version", Version},
               {"fencing", Fencing.Value},
               {"placement", Placement}};
  http::Request R = post("/rank/stage", Body);
  absl::StatusOr<Json> Answer = co_await call(std::move(R), StageTimeout);
  co_return Answer.status();
}

asio::awaitable<absl::Status> RankEngineClient::order(experts::Grant G,
                                                      Epoch Fencing) {
  Json Body = {{"index", G.Index}, {"version", G.Version},
               {"from", G.From},   {"through", G.Through},
               {"by", G.By.Value}, {"fencing", Fencing.Value}};
  http::Request R = post("/rank/order", Body);
  absl::StatusOr<Json> Answer = co_await call(std::move(R), CallTimeout);
  co_return Answer.status();
}

} // namespace ragwort::agent
