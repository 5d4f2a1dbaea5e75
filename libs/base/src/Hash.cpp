//===- Hash.cpp - Stable hashes and rendezvous ranking --------------------===//
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>
#include <xxhash.h>

namespace ragwort {

uint64_t hash64(std::string_view Bytes, uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::string hash128Hex(std::string_view Bytes) {
  XXH128_hash_t Value = XXH3_128bits(Bytes.data(), Bytes.size());
  std::array<char, 33> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Value.high64),
                static_cast<unsigned long long>(Value.low64));
  return std::string(Text.data());
}

std::vector<size_t> rendezvousPick(std::string_view Key,
                                   std::span<const std::string> Names,
                                   size_t Count) {
  uint64_t KeyHash = hash64(Key);
  std::vector<uint64_t> Scores(Names.size());
  for (size_t I = 0; I < Names.size(); ++I)
    Scores[I] = hash64(Names[I], KeyHash);
  std::vector<size_t> Order(Names.size());
  std::iota(Order.begin(), Order.end(), 0);
  Count = std::min(Count, Names.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<ptrdiff_t>(Count), Order.end(),
                    [&](size_t A, size_t B) {
                      if (Scores[A] != Scores[B])
                        return Scores[A] > Scores[B];
                      return Names[A] < Names[B];
                    });
  Order.resize(Count);
  return Order;
}

} // namespace ragwort
