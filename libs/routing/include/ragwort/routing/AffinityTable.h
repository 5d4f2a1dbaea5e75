//===- AffinityTable.h - Where a prompt prefix is probably cached ---------===//
//
// Learned from this node's own choices and from cache events, which come late
// and with gaps. A belief decays, so that a missed eviction heals by itself.
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

/// Identifies a prefix; see prefixKey().
using PrefixKey = uint64_t;

/// Key of a request's prefix: its organisation and the first bytes of its
/// prompt, so that organisations never share an entry.
PrefixKey prefixKey(std::string_view Organisation, std::string_view Prompt);

/// \code
///   AffinityTable Table(std::chrono::minutes(2), 10000);
///   Table.onSent(Key, "agent-3", Now);
///   double Likelihood = Table.likelihood(Key, "agent-3", Now);
/// \endcode
class AffinityTable {
public:
  /// A belief halves every \p HalfLife; at most \p MaxEntries are kept.
  AffinityTable(Duration HalfLife, size_t MaxEntries);

  /// This node sent a request with the prefix there.
  void onSent(PrefixKey Key, std::string_view BackendServer, TimePoint Now);
  /// The backend server reported that it dropped the prefix.
  void onEvicted(PrefixKey Key, std::string_view BackendServer);
  /// The backend server restarted: nothing is cached there.
  void onRestart(std::string_view BackendServer);

  /// Likelihood from 0 to 1 that the prefix is cached there.
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
  // Insertion order, for dropping the oldest entries.
  std::deque<PrefixKey> Order;
};

} // namespace ragwort::routing

#endif
