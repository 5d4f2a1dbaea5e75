//===- AffinityTable.h - Estimates where a prompt prefix is cached --------===//
//
// The table learns from the requests that this node sent and from cache events,
// which may be late or lost. The estimated likelihood decays with time, so that
// the effect of a lost eviction event is temporary.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_AFFINITYTABLE_H
#define RAGWORT_ROUTING_AFFINITYTABLE_H

#include "ragwort/base/Time.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ragwort::routing {

/// Hash that identifies a prompt prefix; see prefixKey().
using PrefixKey = uint64_t;

/// Hashes the organisation and the first 256 bytes of the prompt. The
/// organisation is included so that two organisations never share an entry.
PrefixKey prefixKey(std::string_view Organisation, std::string_view Prompt);

/// Maps each prompt prefix to the backend server that used it last.
///
/// \code
///   AffinityTable Table(std::chrono::minutes(2), 10000);
///   Table.onSent(Key, "agent-3", Now);
///   double Likelihood = Table.likelihood(Key, "agent-3", Now);
/// \endcode
class AffinityTable {
public:
  /// The likelihood of an entry halves every \p HalfLife. The table keeps at
  /// most \p MaxEntries entries.
  AffinityTable(Duration HalfLife, size_t MaxEntries);

  /// Records that this node sent a request with the prefix to the backend
  /// server.
  void onSent(PrefixKey Key, std::string_view BackendServer, TimePoint Now);
  /// Records that the backend server evicted the prefix from its cache.
  void onEvicted(PrefixKey Key, std::string_view BackendServer);
  /// Records that the backend server restarted with an empty cache.
  void onRestart(std::string_view BackendServer);

  /// Estimated likelihood, from 0 to 1, that the backend server has the prefix
  /// in its cache.
  double likelihood(PrefixKey Key, std::string_view BackendServer,
                    TimePoint Now) const;
  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    std::string BackendServer;
    TimePoint LastUsed;
  };
  const Duration HalfLife;
  const size_t MaxEntries;
  std::unordered_map<PrefixKey, Entry> Entries;
  // Keys in insertion order; the oldest entry is evicted first.
  std::deque<PrefixKey> InsertionOrder;
};

} // namespace ragwort::routing

#endif
