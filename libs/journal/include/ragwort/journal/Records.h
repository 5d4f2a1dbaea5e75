//===- Records.h - Records of the idempotency key journal -----------------===//
//
// Keys are distributed to shards by hash. A shard has a head row, which names
// its owner, and a log of batches. Appends are conditional on the head row, so
// the table service rejects the append of a former owner even if that node
// still considers itself the owner.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_JOURNAL_RECORDS_H
#define RAGWORT_JOURNAL_RECORDS_H

#include "ragwort/base/Address.h"
#include "ragwort/base/Ids.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwort::journal {

/// Digest of organisation, service and idempotency key.
struct KeyId {
  std::string Digest;
  friend auto operator<=>(const KeyId &, const KeyId &) = default;
};

KeyId keyIdOf(std::string_view Organisation, std::string_view Service,
              std::string_view IdempotencyKey);

/// The shard of a key, from 0 to \p Shards - 1.
uint32_t shardOf(const KeyId &Key, uint32_t Shards);

/// Digest of a request's method, target and body. A request that repeats a key
/// with a different fingerprint is a caller's error and is refused.
std::string fingerprintOf(std::string_view Method, std::string_view Target,
                          std::string_view Body);

/// The agent, in one incarnation, that an attempt is addressed to.
struct Target {
  std::string Agent;
  Incarnation AgentIncarnation;
  /// Address at the time of the attempt, for a later shard owner that does not
  /// know the agent.
  Address AgentAddress;
};

/// Record that permits one attempt for a key to start.
struct Intent {
  KeyId Key;
  std::string Fingerprint;
  AttemptId Attempt;
  Target To;
};

/// The answer that is returned for every request with the key.
struct KeyedAnswer {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// False if the request completed but its answer was not stored.
  bool IsKept = true;
};

/// Result of an attempt.
enum class AttemptResult : uint8_t {
  Completed,
  NeverStarted,
  /// The attempt may have run; this can no longer be determined.
  Unknown,
};

/// Record of how the attempt of an intent ended.
struct Conclusion {
  KeyId Key;
  AttemptId Attempt;
  AttemptResult Result = AttemptResult::Unknown;
  KeyedAnswer Answer;
};

using Record = std::variant<Intent, Conclusion>;

/// One row of a shard's log.
struct Batch {
  uint64_t Sequence = 0;
  /// Unique id of the append, by which the writer recognises its own batch in
  /// the log if the service's answer was lost.
  std::string Id;
  std::vector<Record> Records;
};

/// The head row of a shard. Epoch 0 means that the shard never had an owner.
struct Head {
  Epoch OwnerEpoch;
  std::string Owner;
  Incarnation OwnerIncarnation;
  Address OwnerAddress;
};

/// Keys of the rows of a shard.
std::string headKey(uint32_t Shard);
std::string logPrefix(uint32_t Shard);
std::string logKey(uint32_t Shard, uint64_t Sequence);

} // namespace ragwort::journal

#endif
