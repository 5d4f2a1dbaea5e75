//===- Records.h - What the journal of idempotency keys holds -------------===//
//
// Keys hash to shards. A shard has a head row that names its owner, and a log
// of batches. Appends are conditional on the head row, so a former owner's
// late append fails in the table service, whatever it believes.
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

/// Digest of what a request asks for. The same key with another fingerprint is
/// a caller's mistake and is refused.
std::string fingerprintOf(std::string_view Method, std::string_view Target,
                          std::string_view Body);

/// The agent that an attempt is addressed to, in one incarnation.
struct Target {
  std::string Agent;
  Incarnation AgentIncarnation;
  /// Where it was, for a successor that does not know the agent.
  Address AgentAddress;
};

/// Permission to start one attempt for a key.
struct Intent {
  KeyId Key;
  std::string Fingerprint;
  AttemptId Attempt;
  Target To;
};

/// The answer that every repeat of a key gets.
struct KeyedAnswer {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// False when the request completed but its answer was not kept.
  bool IsKept = true;
};

/// How an attempt ended.
enum class AttemptResult : uint8_t {
  Completed,
  NeverStarted,
  /// It may have run, and nobody can tell any more.
  Unknown,
};

/// End of the attempt of an intent.
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
  /// Names the writer's append, so that a lost answer can be settled.
  std::string Id;
  std::vector<Record> Records;
};

/// The head row of a shard. Epoch 0 means that nobody ever owned it.
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
