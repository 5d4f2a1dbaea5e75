//===- CarriedIds.h - Ids of the requests that a connection has carried ---===//
//
// An answer names its request by the id only. On a connection that has carried
// an id before, a late answer to the earlier request could not be told from the
// answer to the later one, so a request takes another connection. Ids are
// hashed; two that collide cost a connection.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_CARRIEDIDS_H
#define RAGWORT_GATEWAY_CARRIEDIDS_H

#include "ragwort/base/Hash.h"
#include <algorithm>
#include <vector>

namespace ragwort::gateway {

class CarriedIds {
public:
  /// A connection that has carried this many requests is not reused, since no
  /// id of an open connection may be forgotten.
  static constexpr size_t Limit = 128;

  void add(std::string_view RequestId) { Hashes.push_back(hash64(RequestId)); }
  bool contains(std::string_view RequestId) const {
    return std::find(Hashes.begin(), Hashes.end(), hash64(RequestId)) !=
           Hashes.end();
  }
  bool isFull() const { return Hashes.size() >= Limit; }

private:
  std::vector<uint64_t> Hashes;
};

} // namespace ragwort::gateway

#endif
