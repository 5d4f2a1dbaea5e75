//===- HeaderField.h - One HTTP header field ------------------------------===//
//
// Shared by the HTTP library and the frames that carry requests.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_BASE_HEADERFIELD_H
#define RAGWORT_BASE_HEADERFIELD_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort {

/// Name and value of a header field. Names are case-insensitive.
struct HeaderField {
  std::string Name;
  std::string Value;
};

using HeaderFields = std::vector<HeaderField>;

/// Whether two header names are equal, ignoring case.
bool isSameHeaderName(std::string_view A, std::string_view B);

/// The value of the first field called \p Name, or an empty view.
std::string_view findHeader(std::span<const HeaderField> Fields,
                            std::string_view Name);

} // namespace ragwort

#endif
