//===- Driver.cpp - Mutations from a fixed seed ---------------------------===//
#include "Target.h"
#include <cstdlib>
#include <iostream>
#include <random>

namespace {

constexpr uint64_t DefaultSeed = 1;
constexpr int Rounds = 4000;

std::string mutate(std::string Bytes, std::mt19937_64 &Random) {
  for (uint64_t Edits = 1 + Random() % 6; Edits > 0 && !Bytes.empty();
       --Edits) {
    size_t At = Random() % Bytes.size();
    switch (Random() % 4) {
    case 0:
      Bytes[At] = static_cast<char>(Random());
      break;
    case 1:
      Bytes.erase(At, 1 + Random() % 8);
      break;
    case 2:
      Bytes.insert(At, Random() % 64, static_cast<char>(Random()));
      break;
    case 3:
      Bytes.insert(At, Bytes.substr(0, Random() % 64));
      break;
    }
  }
  return Bytes;
}

} // namespace

int main(int Argc, char **Argv) {
  uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : DefaultSeed;
  std::mt19937_64 Random(Seed);
  std::vector<std::string> Samples = ragwort::fuzz::samples();
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Input = mutate(Samples[Random() % Samples.size()], Random);
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t *>(Input.data()),
                           Input.size());
  }
  std::cout << Rounds << " inputs from seed " << Seed << "\n";
  return 0;
}
