//===- TextChange.h - Difference between two texts ------------------------===//
//
// A change is one replaced range. Operators edit one place at a time, so the
// range is small while the documents are large; that keeps the cost of a
// change independent of the number of organisations.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_CONFIG_TEXTCHANGE_H
#define RAGWORT_CONFIG_TEXTCHANGE_H

#include "ragwort/wire/Messages.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace ragwort::config {

/// The change that turns \p Old into \p New. Version, id and document name
/// are left to the caller.
wire::ConfigChange makeChange(std::string_view Old, std::string_view New);

/// Applies a change. FailedPrecondition when the result's hash is not the one
/// that the change names: the text is not the one that was changed.
absl::StatusOr<std::string> applyChange(std::string_view Text,
                                        const wire::ConfigChange &Change);

} // namespace ragwort::config

#endif
