//===- InstanceList.cpp - Parsing of the instance list --------------------===//
#include "ragwort/platform/InstanceList.h"
#include <nlohmann/json.hpp>

namespace ragwort::platform {

asio::awaitable<absl::StatusOr<std::vector<ListedInstance>>>
fetchInstances(Address Platform, std::string DataCentre, Duration Timeout) {
  using Json = nlohmann::json;
  http::Request R;
  R.Target = "/instances?data_centre=" + DataCentre;
  absl::StatusOr<http::Response> Answer = co_await http::fetch(
      std::move(Platform), std::move(R), Timeout, http::MaxListBody);
  if (!Answer.ok())
    co_return Answer.status();
  Json Parsed = Json::parse(Answer->Body, nullptr, false);
  if (Answer->Head.Status != 200 || !Parsed.is_array())
    co_return absl::UnavailableError("platform sent no list of instances");
  std::vector<ListedInstance> Result;
  for (const Json &Item : Parsed) {
    auto Text = [&](const char *Key) {
      // A copy of a field of another type could be nested without bound.
      auto Found = Item.is_object() ? Item.find(Key) : Item.end();
      return Found != Item.end() && Found->is_string()
                 ? Found->get<std::string>()
                 : std::string();
    };
    std::optional<Address> Peer = parseAddress(Text("peer"));
    if (!Peer || Text("name").empty())
      continue; // One invalid entry does not invalidate the others.
    ListedInstance Instance;
    Instance.Name = Text("name");
    Instance.Role = Text("role");
    Instance.DataCentre = Text("data_centre");
    Instance.Service = Text("service");
    Instance.Peer = *Peer;
    Instance.IsLeaving = Text("state") == "leaving";
    Result.push_back(std::move(Instance));
  }
  co_return Result;
}

} // namespace ragwort::platform
