//===- Records.cpp - Keys, shards and row names ---------------------------===//
#include "ragwort/journal/Records.h"
#include "ragwort/base/Hash.h"
#include <cstdio>

namespace ragwort::journal {

namespace {

/// Concatenates parts, each prefixed with its length, so that different lists
/// give different strings.
std::string joinWithLengths(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Part : Parts) {
    Text += std::to_string(Part.size());
    Text += ':';
    Text += Part;
  }
  return Text;
}

} // namespace

KeyId keyIdOf(std::string_view Organisation, std::string_view Service,
              std::string_view IdempotencyKey) {
  return {hash128Hex(joinWithLengths({Organisation, Service, IdempotencyKey}))};
}

uint32_t shardOf(const KeyId &Key, uint32_t Shards) {
  return static_cast<uint32_t>(hash64(Key.Digest) % Shards);
}

std::string fingerprintOf(std::string_view Method, std::string_view Target,
                          std::string_view Body) {
  return hash128Hex(joinWithLengths({Method, Target, Body}));
}

std::string headKey(uint32_t Shard) {
  return "journal/" + std::to_string(Shard) + "/head";
}

std::string logPrefix(uint32_t Shard) {
  return "journal/" + std::to_string(Shard) + "/log/";
}

std::string logKey(uint32_t Shard, uint64_t Sequence) {
  // Zero-padded, so that key order is log order.
  char Number[24];
  std::snprintf(Number, sizeof(Number), "%016llu",
                static_cast<unsigned long long>(Sequence));
  return logPrefix(Shard) + Number;
}

} // namespace ragwort::journal
