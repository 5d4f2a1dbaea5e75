//===- Table.h - Rows and transactions of the platform's store ------------===//
//
// Each row of a table has a version. A transaction writes several rows if all
// its conditions on the versions of rows hold.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_PLATFORM_TABLE_H
#define RAGWORT_PLATFORM_TABLE_H

#include <cstdint>
#include <string>
#include <vector>

namespace ragwort::platform {

/// A row that was read. Version 0 means that the row does not exist.
struct Row {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
};

/// Requires that a row has this version; 0 requires that it does not exist.
struct Condition {
  std::string Key;
  uint64_t Version = 0;
};

/// Sets the value of a row.
struct Write {
  std::string Key;
  std::string Value;
};

/// Writes that are made all together or not at all.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
  /// Keys of rows to remove.
  std::vector<std::string> Removals;
};

/// Result of a transaction that the store answered.
enum class CommitResult : uint8_t { Committed, Conflict };

} // namespace ragwort::platform

#endif
