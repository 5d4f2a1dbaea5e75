//===- Target.h - What a fuzz target offers its driver --------------------===//
#ifndef RAGWORT_TESTING_FUZZ_TARGET_H
#define RAGWORT_TESTING_FUZZ_TARGET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// The entry point that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size);

namespace ragwort::fuzz {

/// Valid inputs, from which the driver makes mutations.
std::vector<std::string> samples();

} // namespace ragwort::fuzz

#endif
