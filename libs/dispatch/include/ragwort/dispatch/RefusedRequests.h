//===- RefusedRequests.h - Recognises callers that come back --------------===//
#ifndef RAGWORT_DISPATCH_REFUSEDREQUESTS_H
#define RAGWORT_DISPATCH_REFUSEDREQUESTS_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace ragwort::dispatch {

/// The requests that this node has refused lately, by a hash of their content.
/// Their repeats have other ids, and those at other nodes are not recognised.
///
/// \code
///   Refused.add(Hash, Now);
///   R.HasComeBack = Refused.hasComeBack(Hash, Now);
/// \endcode
class RefusedRequests {
public:
  static constexpr Duration Lifetime = std::chrono::seconds(10);
  /// At the bound the oldest makes room.
  static constexpr size_t MaxEntries = 1024;
  /// A caller that comes back sooner than any Retry-After time allows has not
  /// waited as it was told.
  static constexpr Duration MinWait = std::chrono::milliseconds(200);

  void add(uint64_t Hash, TimePoint Now) {
    expire(Now);
    if (Times.size() >= MaxEntries)
      removeOldest();
    if (Times.emplace(Hash, Now).second)
      Order.push_back(Hash);
  }
  bool hasComeBack(uint64_t Hash, TimePoint Now) {
    expire(Now);
    auto Found = Times.find(Hash);
    return Found != Times.end() && Now - Found->second >= MinWait;
  }

private:
  void removeOldest() {
    Times.erase(Order.front());
    Order.pop_front();
  }
  void expire(TimePoint Now) {
    while (!Order.empty() && Now - Times.at(Order.front()) > Lifetime)
      removeOldest();
  }

  // Hash -> time of the first refusal. Invariant: has exactly the hashes in
  // Order, which has the oldest first.
  std::unordered_map<uint64_t, TimePoint> Times;
  std::deque<uint64_t> Order;
};

} // namespace ragwort::dispatch

#endif
