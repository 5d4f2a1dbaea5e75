//===- LineDiff.h - Difference of two documents for operators -------------===//
#ifndef RAGWORT_CONTROL_LINEDIFF_H
#define RAGWORT_CONTROL_LINEDIFF_H

#include <string>
#include <string_view>

namespace ragwort::control {

/// The lines that differ, each with its line number: `-` for lines of \p Old
/// only, `+` for lines of \p New only. Empty when the texts are equal.
///
/// \code
///   lineDiff("a\nb\n", "a\nc\n");   // "-2 b\n+2 c\n"
/// \endcode
std::string lineDiff(std::string_view Old, std::string_view New);

} // namespace ragwort::control

#endif
