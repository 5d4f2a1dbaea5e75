//===- TextChange.h - Difference between two texts ------------------------===//
//
// A change replaces one contiguous range of bytes. Operators edit one place at
// a time, so the range is small even in large documents, and the size of a
// change does not depend on the number of organisations.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_CONFIG_TEXTCHANGE_H
#define RAGWORT_CONFIG_TEXTCHANGE_H

#include "ragwort/wire/Messages.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace ragwort::config {

/// Returns the change that turns \p Old into \p New. The caller sets its
/// version, change id and document name.
wire::ConfigChange makeChange(std::string_view Old, std::string_view New);

/// Applies a change to \p Text. FailedPrecondition if the range lies outside
/// the text, or if the hash of the result differs from the change's result
/// hash, because the change was made from another text.
absl::StatusOr<std::string> applyChange(std::string_view Text,
                                        const wire::ConfigChange &Change);

} // namespace ragwort::config

#endif
