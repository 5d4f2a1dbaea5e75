//===- Units.h - Numbers with units in settings ---------------------------===//
//
// Durations, sizes and percentages are written with their unit. Numbers without
// a unit are rejected because they are ambiguous.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SETTINGS_UNITS_H
#define RAGWORT_SETTINGS_UNITS_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::settings {

/// Parses `200us`, `5ms`, `1.5s`, `10min` or `24h`.
std::optional<Duration> parseDuration(std::string_view Text);

/// Parses `100B`, `64KiB`, `4MiB` or `1GiB`.
std::optional<uint64_t> parseBytes(std::string_view Text);

/// Parses a percentage: `12.5%` gives 12.5.
std::optional<double> parsePercent(std::string_view Text);

} // namespace ragwort::settings

#endif
