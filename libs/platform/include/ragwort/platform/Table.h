//===- Table.h - Values of the platform's transactional table service -----===//
//
// A table of rows with versions. A transaction writes several rows if every
// condition on a row's version holds.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_PLATFORM_TABLE_H
#define RAGWORT_PLATFORM_TABLE_H

#include <cstdint>
#include <string>
#include <vector>

namespace ragwort::platform {

/// A row as read. Version 0 means that the row does not exist.
struct Row {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
};

/// Requires that a row still has a version; 0 requires its absence.
struct Condition {
  std::string Key;
  uint64_t Version = 0;
};

/// Sets a row.
struct Write {
  std::string Key;
  std::string Value;
};

/// All writes or none.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
};

/// How a transaction ended when the service answered.
enum class CommitResult : uint8_t { Committed, Conflict };

} // namespace ragwort::platform

#endif
