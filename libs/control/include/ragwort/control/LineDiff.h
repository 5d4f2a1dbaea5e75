//===- LineDiff.h - Line-by-line difference of two texts ------------------===//
#ifndef RAGWORT_CONTROL_LINEDIFF_H
#define RAGWORT_CONTROL_LINEDIFF_H

#include <string>
#include <string_view>

namespace ragwort::control {

/// Returns the lines that differ, each with its line number: `-` marks lines
/// only in \p Old, `+` lines only in \p New. Empty if the texts are equal.
///
/// \code
///   lineDiff("a\nb\n", "a\nc\n");   // "-2 b\n+2 c\n"
/// \endcode
std::string lineDiff(std::string_view Old, std::string_view New);

} // namespace ragwort::control

#endif
