//===- HeaderField.cpp - Lookup of header fields --------------------------===//
#include "ragwort/base/HeaderField.h"
#include <algorithm>

namespace ragwort {

namespace {

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

} // namespace

bool isSameHeaderName(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](char X, char Y) { return toLower(X) == toLower(Y); });
}

std::string_view findHeader(std::span<const HeaderField> Fields,
                            std::string_view Name) {
  for (const HeaderField &Field : Fields)
    if (isSameHeaderName(Field.Name, Name))
      return Field.Value;
  return {};
}

} // namespace ragwort
