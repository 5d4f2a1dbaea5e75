//===- TextChange.cpp - Difference between two texts ----------------------===//
#include "ragwort/config/TextChange.h"
#include "ragwort/base/Hash.h"
#include <algorithm>

namespace ragwort::config {

wire::ConfigChange makeChange(std::string_view Old, std::string_view New) {
  size_t Shorter = std::min(Old.size(), New.size());
  size_t Head = 0;
  while (Head < Shorter && Old[Head] == New[Head])
    ++Head;
  size_t Tail = 0;
  while (Tail < Shorter - Head &&
         Old[Old.size() - 1 - Tail] == New[New.size() - 1 - Tail])
    ++Tail;
  wire::ConfigChange Change;
  Change.Offset = Head;
  Change.Removed = Old.size() - Head - Tail;
  Change.Inserted = std::string(New.substr(Head, New.size() - Head - Tail));
  Change.ResultHash = hash128Hex(New);
  return Change;
}

absl::StatusOr<std::string> applyChange(std::string_view Text,
                                        const wire::ConfigChange &Change) {
  if (Change.Offset > Text.size() ||
      Change.Removed > Text.size() - Change.Offset)
    return absl::FailedPreconditionError("change lies outside the document");
  std::string Result(Text.substr(0, Change.Offset));
  Result += Change.Inserted;
  Result += Text.substr(Change.Offset + Change.Removed);
  if (hash128Hex(Result) != Change.ResultHash)
    return absl::FailedPreconditionError("change does not fit the document");
  return Result;
}

} // namespace ragwort::config
