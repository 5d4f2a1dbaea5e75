//===- Fuzz_config.cpp - Fuzz target for the configuration document -------===//
//
// A document that decodes must have a version; errors are expected.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "platform/ConfigDecoder.h"
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace ragwort;
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  auto Config = adapter::decodeConfig(Input, {"n", "s"});
  if (Config.ok() && (*Config)->Version == 0)
    std::abort();
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  return {R"({"version":7,"routes":[{"name":"r1","host":"h.example",)"
          R"("pathPrefix":"/p/","kind":"streaming","timeoutMs":8000,)"
          R"("targetLatencyMs":400,"priority":1,"trafficSplit":[)"
          R"({"service":"s1","weight":90},{"service":"s2","weight":10}],)"
          R"("maxAttempts":2,"public":false,"resumable":true,)"
          R"("allowedRegions":["n"],"gapTargetMs":120}],"services":[)"
          R"({"name":"s1","warmupS":3,"warmupPerS":28,"engine":{)"
          R"("per_seq_ms":1.5,"context_per_k":0.02,"read_per_s":61400.0,)"
          R"("usual":{"prompt":835,"answer":97},"sets":6,"experts":64,)"
          R"("places":11,"spare":4}}],"limits":{"maxHeaderBytes":1000,)"
          R"("maxBodyBytes":9,"idleTimeoutMs":15000},"tenants":[)"
          R"({"name":"o1","apiKeys":["k1"],"priority":3}]})",
          R"({"version":4294967297,"routes":[{"timeoutMs":1e300}]})",
          R"({"version":1,"routes":[[[[[[[[[[[[]]]]]]]]]]]]})"};
}

} // namespace ragwort::fuzz
