//===- Problem.h - What is wrong with a settings file ---------------------===//
//
// A rejected file is reported with file, line, key and reason, all problems at
// once. Nothing of a rejected file takes effect.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SETTINGS_PROBLEM_H
#define RAGWORT_SETTINGS_PROBLEM_H

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace ragwort::settings {

/// Where a setting was written.
struct Origin {
  std::string File;
  /// Counted from one.
  int Line = 0;
  /// Path of the key, such as `services[0].deadline`.
  std::string Key;
};

/// One reason to reject a file.
struct Problem {
  Origin Location;
  std::string Reason;
};

using Problems = std::vector<Problem>;

/// `file:line: key: reason`.
std::string toString(const Problem &P);

/// All problems, one a line, as InvalidArgument; Ok when there is none.
absl::Status toStatus(const Problems &All);

} // namespace ragwort::settings

#endif
