//===- Problem.h - Error reports for settings files -----------------------===//
//
// All problems of a file are reported together, each with file, line, key and
// reason. A file with any problem is rejected as a whole.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SETTINGS_PROBLEM_H
#define RAGWORT_SETTINGS_PROBLEM_H

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace ragwort::settings {

/// The place in a file where a setting is defined.
struct Origin {
  std::string File;
  /// Line number, starting at 1.
  int Line = 0;
  /// Path of the key, for example `services[0].deadline`.
  std::string Key;
};

/// One reason to reject a file.
struct Problem {
  Origin Location;
  std::string Reason;
};

using Problems = std::vector<Problem>;

/// Formats a problem as `file:line: key: reason`.
std::string toString(const Problem &P);

/// InvalidArgument with one problem per line, or Ok if there are none.
absl::Status toStatus(const Problems &All);

} // namespace ragwort::settings

#endif
