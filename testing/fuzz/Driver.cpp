//===- Driver.cpp - Fuzz driver without libFuzzer -------------------------===//
//
// Calls the fuzz target with random mutations of its seed corpus. The seed is
// the first argument or a fixed default, so that runs are reproducible.
//
//===----------------------------------------------------------------------===//
#include "Target.h"
#include <cstdlib>
#include <iostream>
#include <random>

namespace {

constexpr uint64_t DefaultSeed = 1;
constexpr int Iterations = 4000;

/// Applies up to six random edits to \p Bytes.
std::string mutate(std::string Bytes, std::mt19937_64 &Random) {
  for (uint64_t Edits = 1 + Random() % 6; Edits > 0 && !Bytes.empty();
       --Edits) {
    size_t Offset = Random() % Bytes.size();
    switch (Random() % 4) {
    case 0:
      Bytes[Offset] = static_cast<char>(Random());
      break;
    case 1:
      Bytes.erase(Offset, 1 + Random() % 8);
      break;
    case 2:
      Bytes.insert(Offset, Random() % 64, static_cast<char>(Random()));
      break;
    case 3:
      Bytes.insert(Offset, Bytes.substr(0, Random() % 64));
      break;
    }
  }
  return Bytes;
}

} // namespace

int main(int Argc, char **Argv) {
  uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : DefaultSeed;
  std::mt19937_64 Random(Seed);
  std::vector<std::string> Corpus = ragwort::fuzz::seedCorpus();
  for (int Iteration = 0; Iteration < Iterations; ++Iteration) {
    std::string Input = mutate(Corpus[Random() % Corpus.size()], Random);
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t *>(Input.data()),
                           Input.size());
  }
  std::cout << Iterations << " inputs from seed " << Seed << "\n";
  return 0;
}
