//===- Mix.h - Request mix of the load tool -------------------------------===//
#ifndef RAGWORT_TESTING_LOAD_MIX_H
#define RAGWORT_TESTING_LOAD_MIX_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwort::load {

/// Form of a request, which determines how its response is checked.
enum class Shape : uint8_t {
  /// A streamed completion. The engine stand-in derives its tokens from the
  /// prompt, so that the text can be checked.
  Chat,
  /// A GET whose response echoes the path.
  Lookup,
  /// A POST with a new idempotency key, which the response echoes. The ledger
  /// counts its executions.
  Issue,
};

/// One kind of request.
struct RequestKind {
  std::string Name;
  Shape RequestShape = Shape::Lookup;
  std::string Path;
  std::vector<std::string> Organisations;
  /// Relative frequency.
  double Weight = 1;
  /// Value of max_tokens in Chat requests.
  int Tokens = 16;
  /// Number of distinct prompt prefixes in Chat requests.
  int Prefixes = 8;
  uint32_t Priority = 0;
  uint32_t DeadlineMillis = 10'000;
  /// Percentage of Issue requests that are sent twice with the same key.
  int RepeatPercent = 0;
};

/// Reads a request mix from a YAML file: a list `kinds` of maps with the fields
/// above in lower case (name, shape, path, organisations, weight, tokens,
/// prefixes, priority, deadline_ms, repeat_percent).
absl::StatusOr<std::vector<RequestKind>> readMix(const std::string &Path);

} // namespace ragwort::load

#endif
