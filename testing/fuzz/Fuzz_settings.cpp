//===- Fuzz_settings.cpp - Fuzz target for settings documents -------------===//
//
// Loads the input as base document, as overlay and as node settings. Errors
// are expected; only a crash is a failure.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "ragwort/settings/NodeSettings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace ragwort::settings;
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  (void)loadFleetSettings({"base", Input}, {"overlay", "site: x"}).ok();
  (void)loadFleetSettings({"base", "{}"}, {"overlay", Input}).ok();
  (void)loadNodeSettings("node", Input).ok();
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  return {R"(site: north
data_centres: [{name: dc-a, region: r}]
organisations:
  - {name: large, share: 60%, max_concurrent: 9}
services:
  - name: portal
    kind: plain
    deadline: 5s
    routes: [{prefix: /portal/, method: POST, non_idempotent: true}]
instances:
  - {name: a, role: agent, data_centre: dc-a, peer: "127.0.0.1:1", service: portal, group: g, rank: 0}
limits: {max_body: 1MiB, retry_budget: 10%, subset: 16}
timing: {heartbeat_interval: 500ms, suspect_after: 2s}
objective: {skew_weight: 0.8, rebalancing_weight: 0.2}
)",
          R"(name: entry-1
role: entry
site: north
data_centre: dc-a
admin_token: 0123456789abcdef
peers: 127.0.0.1:7001
platform: 127.0.0.1:7000
seeds: ["127.0.0.1:7002"]
keys: [{id: 1, secret: 0123456789abcdef}]
)"};
}

} // namespace ragwort::fuzz
