//===- Bytes.h - Units of size --------------------------------------------===//
#ifndef RAGWORT_BASE_BYTES_H
#define RAGWORT_BASE_BYTES_H

#include <cstddef>

namespace ragwort {

/// Units for sizes in bytes, such as `64 * KiB`.
inline constexpr size_t KiB = 1024;
inline constexpr size_t MiB = 1024 * KiB;

} // namespace ragwort

#endif
