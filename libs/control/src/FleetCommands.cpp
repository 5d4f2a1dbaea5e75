//===- FleetCommands.cpp - status, dump, drain and explain ----------------===//
#include "ragwort/config/ConfigRecords.h"
#include "ragwort/config/ConfigReplica.h"
#include "ragwort/control/Commands.h"
#include "ragwort/http/HttpClient.h"
#include "ragwort/settings/FleetSettings.h"
#include <iomanip>
#include <nlohmann/json.hpp>

namespace ragwort::control {

namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr Duration AdminTimeout = 2s;
constexpr Duration StoreTimeout = 5s;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;

asio::awaitable<absl::StatusOr<http::Response>>
callAdmin(CommandContext &Context, Address Admin, std::string Method,
          std::string Target) {
  http::Request R;
  R.Method = std::move(Method);
  R.Target = std::move(Target);
  R.Headers.push_back({"Authorization", "Bearer " + Context.AdminToken});
  co_return co_await http::fetch(Admin, std::move(R), AdminTimeout);
}

asio::awaitable<absl::StatusOr<settings::FleetSettings>>
readFleet(CommandContext &Context, std::string Site) {
  platform::TableClient Table(co_await asio::this_coro::executor,
                              Context.Platform, StoreTimeout);
  absl::StatusOr<wire::ConfigReply> Reply =
      co_await config::readConfig(Table, 0);
  if (!Reply.ok())
    co_return Reply.status();
  config::ConfigReplica Replica;
  Replica.merge(*Reply);
  std::string Overlay = config::overlayDocument(Site);
  co_return settings::loadFleetSettings(
      {config::BaseDocument,
       Replica.document(config::BaseDocument).value_or("{}")},
      {Overlay, Replica.document(Overlay).value_or("{}")});
}

/// One instance with its state dump, or null when it did not answer.
struct InstanceStatus {
  settings::InstanceSettings Instance;
  Json State;
};

asio::awaitable<Json> readState(CommandContext &Context, Address Admin) {
  Json Nothing;
  if (Admin.Port == 0)
    co_return Nothing;
  absl::StatusOr<http::Response> R =
      co_await callAdmin(Context, Admin, "GET", "/state");
  if (!R.ok() || R->Head.Status != StatusOk)
    co_return Nothing;
  Json State = Json::parse(R->Body, nullptr, false);
  co_return State.is_object() ? State : Nothing;
}

std::string conditionOf(const InstanceStatus &One) {
  if (One.State.is_null())
    return "unreachable";
  if (One.Instance.Role == settings::InstanceRole::Entry)
    return One.State.value("ready", false) ? "ready" : "not-ready";
  return One.State.value("leaving", false) ? "leaving" : "serving";
}

void printTable(std::ostream &Out, const std::vector<InstanceStatus> &All) {
  auto Cell = [&](const std::string &Text, int Width) {
    Out << std::left << std::setw(Width) << Text << ' ';
  };
  Cell("INSTANCE", 24);
  Cell("ROLE", 6);
  Cell("DATA CENTRE", 14);
  Cell("SERVICE", 12);
  Cell("STATE", 12);
  Cell("CONFIG", 7);
  Cell("ACTIVE", 7);
  Out << "QUEUED\n";
  for (const InstanceStatus &One : All) {
    bool IsEntry = One.Instance.Role == settings::InstanceRole::Entry;
    auto Number = [&](const char *Key) {
      return One.State.is_null() ? std::string("-")
                                 : std::to_string(One.State.value(Key, 0ull));
    };
    Cell(One.Instance.Name, 24);
    Cell(IsEntry ? "entry" : "agent", 6);
    Cell(One.Instance.DataCentre, 14);
    Cell(IsEntry ? "-" : One.Instance.Service, 12);
    Cell(conditionOf(One), 12);
    Cell(Number("config_version"), 7);
    Cell(Number(IsEntry ? "active_requests" : "active"), 7);
    Out << (IsEntry ? "-" : Number("queued")) << "\n";
  }
}

} // namespace

asio::awaitable<int> fleetStatus(CommandContext &Context, std::string Site) {
  absl::StatusOr<settings::FleetSettings> Fleet =
      co_await readFleet(Context, Site);
  if (!Fleet.ok()) {
    Context.Errors << std::string(Fleet.status().message()) << "\n";
    co_return 1;
  }
  std::vector<InstanceStatus> All;
  for (const settings::InstanceSettings &Instance : Fleet->Instances) {
    Json State = co_await readState(Context, Instance.Admin);
    All.push_back({Instance, std::move(State)});
  }
  if (!Context.IsJson) {
    printTable(Context.Out, All);
    co_return 0;
  }
  Json Result = Json::array();
  for (const InstanceStatus &One : All)
    Result.push_back({{"instance", One.Instance.Name},
                      {"state", conditionOf(One)},
                      {"dump", One.State}});
  Context.Out << Result.dump() << "\n";
  co_return 0;
}

asio::awaitable<int> dumpState(CommandContext &Context, Address Admin) {
  absl::StatusOr<http::Response> R =
      co_await callAdmin(Context, Admin, "GET", "/state");
  if (!R.ok() || R->Head.Status != StatusOk) {
    Context.Errors << "no state from " << toString(Admin) << ": "
                   << (R.ok() ? "status " + std::to_string(R->Head.Status)
                              : std::string(R.status().message()))
                   << "\n";
    co_return 1;
  }
  Json State = Json::parse(R->Body, nullptr, false);
  Context.Out << (Context.IsJson ? State.dump() : State.dump(2)) << "\n";
  co_return 0;
}

asio::awaitable<int> drainNode(CommandContext &Context, Address Admin) {
  absl::StatusOr<http::Response> R =
      co_await callAdmin(Context, Admin, "POST", "/drain");
  if (!R.ok() || R->Head.Status != StatusAccepted) {
    Context.Errors << "not drained: " << toString(Admin) << ": "
                   << (R.ok() ? "status " + std::to_string(R->Head.Status)
                              : std::string(R.status().message()))
                   << "\n";
    co_return 1;
  }
  Context.Out << "draining\n";
  co_return 0;
}

asio::awaitable<int> explainRequest(CommandContext &Context, std::string Site,
                                    std::string RequestId) {
  absl::StatusOr<settings::FleetSettings> Fleet =
      co_await readFleet(Context, Site);
  if (!Fleet.ok()) {
    Context.Errors << std::string(Fleet.status().message()) << "\n";
    co_return 1;
  }
  for (const settings::InstanceSettings &Instance : Fleet->Instances) {
    if (Instance.Role != settings::InstanceRole::Entry ||
        Instance.Admin.Port == 0)
      continue;
    absl::StatusOr<http::Response> R = co_await callAdmin(
        Context, Instance.Admin, "GET", "/explain/" + RequestId);
    if (!R.ok() || R->Head.Status != StatusOk)
      continue;
    Json Found = Json::parse(R->Body, nullptr, false);
    if (Context.IsJson) {
      Context.Out << Found.dump() << "\n";
      co_return 0;
    }
    Context.Out << "request " << RequestId << " of "
                << Found.value("organisation", "") << " to "
                << Found.value("service", "") << " at " << Instance.Name
                << "\n";
    for (const Json &Step : Found.value("steps", Json::array()))
      Context.Out << "  +" << Step.value("us", 0) << "us "
                  << Step.value("what", "") << "\n";
    co_return 0;
  }
  Context.Errors << "no entry node remembers request " << RequestId << "\n";
  co_return 1;
}

} // namespace ragwort::control
