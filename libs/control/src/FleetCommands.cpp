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
constexpr Duration TableTimeout = 5s;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;

asio::awaitable<absl::StatusOr<http::Response>>
callAdmin(CommandContext &Context, Address Admin, std::string Method,
          std::string Target) {
  http::Request R;
  R.Method = std::move(Method);
  R.Target = std::move(Target);
  R.Headers.push_back({"Authorization", "Bearer " + Context.AdminToken});
  co_return co_await http::fetch(Admin, std::move(R), AdminTimeout,
                                 http::MaxListBody);
}

asio::awaitable<absl::StatusOr<settings::FleetSettings>>
readFleet(CommandContext &Context, std::string Site) {
  platform::TableClient Table(co_await asio::this_coro::executor,
                              Context.Platform, TableTimeout);
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

/// An instance and its state dump, null if the instance did not answer.
struct InstanceStatus {
  settings::InstanceSettings Instance;
  Json State;
};

asio::awaitable<Json> readState(CommandContext &Context, Address Admin) {
  Json NoState;
  if (Admin.Port == 0)
    co_return NoState;
  absl::StatusOr<http::Response> R =
      co_await callAdmin(Context, Admin, "GET", "/state");
  if (!R.ok() || R->Head.Status != StatusOk)
    co_return NoState;
  Json State = Json::parse(R->Body, nullptr, false);
  co_return State.is_object() ? State : NoState;
}

std::string conditionOf(const InstanceStatus &Status) {
  if (Status.State.is_null())
    return "unreachable";
  if (Status.Instance.Role == settings::InstanceRole::Entry)
    return Status.State.value("ready", false) ? "ready" : "not-ready";
  return Status.State.value("leaving", false) ? "leaving" : "serving";
}

void printTable(std::ostream &Out,
                const std::vector<InstanceStatus> &Statuses) {
  auto PrintCell = [&](const std::string &Text, int Width) {
    Out << std::left << std::setw(Width) << Text << ' ';
  };
  PrintCell("INSTANCE", 24);
  PrintCell("ROLE", 6);
  PrintCell("DATA CENTRE", 14);
  PrintCell("SERVICE", 12);
  PrintCell("STATE", 12);
  PrintCell("CONFIG", 7);
  PrintCell("ACTIVE", 7);
  Out << "QUEUED\n";
  for (const InstanceStatus &Status : Statuses) {
    bool IsEntry = Status.Instance.Role == settings::InstanceRole::Entry;
    auto Number = [&](const char *Key) {
      return Status.State.is_null()
                 ? std::string("-")
                 : std::to_string(Status.State.value(Key, 0ull));
    };
    PrintCell(Status.Instance.Name, 24);
    PrintCell(IsEntry ? "entry" : "agent", 6);
    PrintCell(Status.Instance.DataCentre, 14);
    PrintCell(IsEntry ? "-" : Status.Instance.Service, 12);
    PrintCell(conditionOf(Status), 12);
    PrintCell(Number("config_version"), 7);
    PrintCell(Number(IsEntry ? "active_requests" : "active"), 7);
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
  std::vector<InstanceStatus> Statuses;
  for (const settings::InstanceSettings &Instance : Fleet->Instances) {
    Json State = co_await readState(Context, Instance.Admin);
    Statuses.push_back({Instance, std::move(State)});
  }
  if (!Context.IsJson) {
    printTable(Context.Out, Statuses);
    co_return 0;
  }
  Json Result = Json::array();
  for (const InstanceStatus &Status : Statuses)
    Result.push_back({{"instance", Status.Instance.Name},
                      {"state", conditionOf(Status)},
                      {"dump", Status.State}});
  Context.Out << Result.dump() << "\n";
  co_return 0;
}

asio::awaitable<int> dumpState(CommandContext &Context, Address Admin) {
  absl::StatusOr<http::Response> R =
      co_await callAdmin(Context, Admin, "GET", "/state");
  if (!R.ok() || R->Head.Status != StatusOk) {
    Context.Errors << "cannot read the state of " << toString(Admin) << ": "
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
    Context.Errors << "cannot start the shutdown of " << toString(Admin) << ": "
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
    Json Explanation = Json::parse(R->Body, nullptr, false);
    if (Context.IsJson) {
      Context.Out << Explanation.dump() << "\n";
      co_return 0;
    }
    Context.Out << "request " << RequestId << " of "
                << Explanation.value("organisation", "") << " to "
                << Explanation.value("service", "") << " at " << Instance.Name
                << "\n";
    for (const Json &Step : Explanation.value("steps", Json::array()))
      Context.Out << "  +" << Step.value("us", 0) << "us "
                  << Step.value("what", "") << "\n";
    co_return 0;
  }
  Context.Errors << "no entry node has a record of request " << RequestId
                 << "\n";
  co_return 1;
}

} // namespace ragwort::control
