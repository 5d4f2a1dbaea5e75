//===- TextChange.cpp - Difference between two texts ----------------------===//
#include "ragwort/config/TextChange.h"
#include "ragwort/base/Hash.h"
#include <algorithm>

namespace ragwort::config {

wire::ConfigChange makeChange(std::string_view Old, std::string_view New) {
  size_t MinSize = std::min(Old.size(), New.size());
  size_t PrefixSize = 0;
  while (PrefixSize < MinSize && Old[PrefixSize] == New[PrefixSize])
    ++PrefixSize;
  size_t SuffixSize = 0;
  while (SuffixSize < MinSize - PrefixSize &&
         Old[Old.size() - 1 - SuffixSize] == New[New.size() - 1 - SuffixSize])
    ++SuffixSize;
  wire::ConfigChange Change;
  Change.Offset = PrefixSize;
  Change.Removed = Old.size() - PrefixSize - SuffixSize;
  Change.Inserted =
      std::string(New.substr(PrefixSize, New.size() - PrefixSize - SuffixSize));
  Change.ResultHash = hash128Hex(New);
  return Change;
}

absl::StatusOr<std::string> applyChange(std::string_view Text,
                                        const wire::ConfigChange &Change) {
  if (Change.Offset > Text.size() ||
      Change.Removed > Text.size() - Change.Offset)
    return absl::FailedPreconditionError(
        "range of the change lies outside the document");
  std::string Result(Text.substr(0, Change.Offset));
  Result += Change.Inserted;
  Result += Text.substr(Change.Offset + Change.Removed);
  if (hash128Hex(Result) != Change.ResultHash)
    return absl::FailedPreconditionError(
        "changed document does not match the change's result hash");
  return Result;
}

} // namespace ragwort::config
