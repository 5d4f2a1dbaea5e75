//===- Target.h - Interface between fuzz targets and driver ---------------===//
#ifndef RAGWORT_TESTING_FUZZ_TARGET_H
#define RAGWORT_TESTING_FUZZ_TARGET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Entry point with the name and signature that libFuzzer requires.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size);

namespace ragwort::fuzz {

/// Valid inputs that the driver mutates.
std::vector<std::string> seedCorpus();

} // namespace ragwort::fuzz

#endif
