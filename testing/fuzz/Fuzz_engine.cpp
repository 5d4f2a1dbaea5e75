//===- Fuzz_engine.cpp - Fuzz target for what engines say -----------------===//
//
// Decodes the input as a report, as counts and as lists of experts. What
// decodes can be passed on to other agents.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "platform/EngineClient.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace ragwort;
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  rankgroup::AgentMessage Message;
  std::vector<std::vector<uint64_t>> Selections;
  rankgroup::RankExperts Experts;
  if (auto Report = adapter::decodeReport(Input); Report.ok())
    Message.Report = *Report;
  if (auto Counts = adapter::decodeCounts(Input, 2, 3); Counts.ok())
    Selections = Counts->Counts;
  if (auto Lists = adapter::decodeExperts(Input); Lists.ok())
    Experts = *Lists;
  if (rankgroup::encodeHeartbeats(Message, Experts, Selections).empty())
    std::abort();
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  return {R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},)"
          R"("size":8,"queued":1,"running":12,"pace":1.0,"step":5,"map":0,)"
          R"("prepared":6,"armed":{"version":6,"step":1000},"held":null,)"
          R"("models":[{"name":"m","version":1,"adapters":[]}],)"
          R"("born":1792178439937})",
          R"({"running":4294967297,"queued":-1,"pace":1e300,"held":1.5})",
          R"({"step":812,"epoch":1,"counts":[5120,88,940,1,2,3]})",
          R"({"counts":[[1,2,3],[4,5,18446744073709551615]]})",
          R"({"epoch":0,"map":{"version":0,"experts":[[1,9],[65535,0]]}})"};
}

} // namespace ragwort::fuzz
