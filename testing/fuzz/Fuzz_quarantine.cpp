//===- Fuzz_quarantine.cpp - Fuzz target for rows of quarantined traits ---===//
//
// The input is a key and, on the next line, a value. A row that decodes must
// decode to the same trait after it is encoded.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include "platform/QuarantineTable.h"
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  using namespace ragwort::adapter;
  std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  size_t End = Input.find('\n');
  if (End == std::string_view::npos)
    return 0;
  std::chrono::system_clock::time_point Now(
      std::chrono::seconds(1'800'000'000));
  auto Row =
      decodeQuarantineRow(Input.substr(0, End), Input.substr(End + 1), Now);
  if (!Row.ok())
    return 0;
  auto Again = decodeQuarantineRow(quarantineRowKey(Row->Subject),
                                   encodeQuarantineRow(*Row, Now), Now);
  if (!Again.ok() ||
      quarantineRowKey(Again->Subject) != quarantineRowKey(Row->Subject) ||
      Again->Times != Row->Times ||
      Again->RemainingSeconds != Row->RemainingSeconds)
    std::abort();
  return 0;
}

namespace ragwort::fuzz {

std::vector<std::string> seedCorpus() {
  return {"beef\n1800000600 2", "request-00000000deadbeef\n1800000001 1",
          "request-\n-1 -1", "ffffffffffffffff\n9223372036854775807 4294967295",
          "0\n-9223372036854775808 0"};
}

} // namespace ragwort::fuzz
