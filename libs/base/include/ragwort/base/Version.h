//===- Version.h - Version of the programs --------------------------------===//
#ifndef RAGWORT_BASE_VERSION_H
#define RAGWORT_BASE_VERSION_H

#include <string_view>

namespace ragwort {

/// Printed by --version.
inline constexpr std::string_view Version = "0.1.0";

} // namespace ragwort

#endif
