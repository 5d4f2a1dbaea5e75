//===- Units.cpp - Parsing of numbers with units --------------------------===//
#include "ragwort/settings/Units.h"
#include <charconv>
#include <cmath>
#include <span>

namespace ragwort::settings {

namespace {

struct Unit {
  std::string_view Suffix;
  /// Value of one unit, in microseconds, bytes or percent.
  double Factor;
};

constexpr Unit DurationUnits[] = {
    {"us", 1}, {"ms", 1e3}, {"min", 60e6}, {"h", 3600e6}, {"s", 1e6},
};
constexpr Unit ByteUnits[] = {
    {"KiB", 1024.0},
    {"MiB", 1024.0 * 1024},
    {"GiB", 1024.0 * 1024 * 1024},
    {"B", 1},
};
constexpr Unit PercentUnits[] = {{"%", 1}};

// 2^53: above this a double cannot represent every integer.
constexpr double MaxExactInteger = 9007199254740992.0;

std::optional<double> parseWithUnit(std::string_view Text,
                                    std::span<const Unit> Units) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  auto [SuffixBegin, Error] =
      std::from_chars(Text.data(), End, Number, std::chars_format::fixed);
  if (Error != std::errc() || !(Number >= 0))
    return std::nullopt;
  std::string_view Suffix(SuffixBegin, static_cast<size_t>(End - SuffixBegin));
  for (const Unit &U : Units) {
    if (Suffix != U.Suffix)
      continue;
    double Value = Number * U.Factor;
    return Value <= MaxExactInteger ? std::optional(Value) : std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  std::optional<double> Micros = parseWithUnit(Text, DurationUnits);
  if (!Micros)
    return std::nullopt;
  return Duration(static_cast<int64_t>(std::llround(*Micros)));
}

std::optional<uint64_t> parseBytes(std::string_view Text) {
  std::optional<double> Bytes = parseWithUnit(Text, ByteUnits);
  if (!Bytes)
    return std::nullopt;
  return static_cast<uint64_t>(*Bytes);
}

std::optional<double> parsePercent(std::string_view Text) {
  return parseWithUnit(Text, PercentUnits);
}

} // namespace ragwort::settings
