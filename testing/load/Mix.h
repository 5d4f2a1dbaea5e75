//===- Mix.h - What the load tool sends -----------------------------------===//
#ifndef RAGWORT_TESTING_LOAD_MIX_H
#define RAGWORT_TESTING_LOAD_MIX_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwort::load {

/// What a request of a kind looks like and how its answer is checked.
enum class Shape : uint8_t {
  /// A streamed completion whose tokens follow from its prompt.
  Chat,
  /// A GET whose answer echoes its path.
  Lookup,
  /// A POST with a fresh idempotency key; the ledger checks it.
  Issue,
};

/// One kind of request.
struct RequestKind {
  std::string Name;
  Shape What = Shape::Lookup;
  std::string Path;
  std::vector<std::string> Organisations;
  /// Relative frequency.
  double Weight = 1;
  int Tokens = 16;
  int Prefixes = 8;
  uint32_t Priority = 0;
  uint32_t DeadlineMillis = 10'000;
  /// Percentage of Issue requests that are sent twice with the same key.
  int RepeatPercent = 0;
};

/// Reads a mix from YAML: a list `kinds` of maps with the fields above in
/// lower case (name, shape, path, organisations, weight, tokens, prefixes,
/// priority, deadline_ms, repeat_percent).
absl::StatusOr<std::vector<RequestKind>> readMix(const std::string &Path);

} // namespace ragwort::load

#endif
