//===- Fuzz_directory.cpp - Fuzz target for entries of servers ------------===//
//
// Decodes the input as an entry and as an answer of the store. An entry that
// decodes can be passed on to peers.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "platform/DirectoryDecoder.h"
#include "platform/StoreAnswer.h"
#include "ragwort/base/Address.h"
#include "ragwort/fleet/PeerHeartbeat.h"
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace ragwort;
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  (void)adapter::decodeRowsAnswer(Input).ok();
  auto Entry = adapter::decodeInstance("i-1", Input);
  if (!Entry.ok())
    return 0;
  std::optional<Address> At = parseAddress(Entry->Address);
  if (!At || At->Port == 0 || Entry->Slots == 0)
    std::abort();
  std::string Listed = fleet::encodeDirectory({{1, 2}, {*Entry}});
  if (!fleet::decodeDirectory(Listed).ok() ||
      !fleet::decodeEngineList(fleet::encodeEngineList({{At->Ip}})).ok())
    std::abort();
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  return {R"({"service":"s1","address":"10.0.0.1:80","zone":"z",)"
          R"("version":"v1","slots":12,"state":"ready","coldMs":0,)"
          R"("models":[{"name":"m","version":1,"adapters":[]}],)"
          R"("sequence":4,"born":1770996730961})",
          R"({"service":"s1","address":"10.0.0.1:65536","zone":"z",)"
          R"("version":1,"slots":4294967297,"state":"draining",)"
          R"("coldMs":"0","sequence":-7,"born":1e30})",
          R"({"rows":[{"table":"servers","part":"","key":"i-1",)"
          R"("value":"bm9kZS0x","ver":412},{"part":"p","key":"i-2",)"
          R"("removed":true,"ver":413}],"hasMore":false,"ver":530,)"
          R"("nowMs":51230})"};
}

} // namespace ragwort::fuzz
