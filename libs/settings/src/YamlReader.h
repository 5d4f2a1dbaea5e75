//===- YamlReader.h - Checked access to a YAML document -------------------===//
//
// Internal to the settings library. Loads a document, limits its size and depth
// and rejects aliases; then reads typed values from it. Each read records its
// key, and finish() reports the keys that were never read as unknown.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_SETTINGS_YAMLREADER_H
#define RAGWORT_SETTINGS_YAMLREADER_H

#include "ragwort/base/Address.h"
#include "ragwort/base/Bytes.h"
#include "ragwort/settings/Problem.h"
#include "ragwort/settings/Units.h"
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace ragwort::settings {

/// Maximum size of a document, in bytes.
inline constexpr size_t MaxDocumentBytes = 4 * MiB;
/// Maximum nesting depth of maps and lists.
inline constexpr int MaxDocumentDepth = 12;

/// Parses \p Text as one map. If it is malformed, too large, nested too deeply,
/// has aliases or is not a map, adds to \p FoundProblems and returns nothing.
std::optional<YAML::Node> loadYamlMap(std::string_view File,
                                      std::string_view Text,
                                      Problems &FoundProblems);

/// Reads typed values from one map. The readers return nothing if the key is
/// absent or its value is invalid; an invalid value is reported as a problem.
class MapReader {
public:
  MapReader(const YAML::Node &Map, std::string File, std::string Path,
            Problems &FoundProblems);

  std::optional<std::string> text(std::string_view Key);
  /// Reads a name of up to 64 lower-case letters, digits and hyphens.
  std::optional<std::string> name(std::string_view Key);
  /// Reads a whole number from \p Low to \p High.
  std::optional<uint64_t> number(std::string_view Key, uint64_t Low,
                                 uint64_t High);
  /// Reads a number from 0 to 1.
  std::optional<double> fraction(std::string_view Key);
  std::optional<bool> flag(std::string_view Key);
  std::optional<Duration> duration(std::string_view Key, Duration Low,
                                   Duration High);
  std::optional<uint64_t> bytes(std::string_view Key, uint64_t Low,
                                uint64_t High);
  std::optional<double> percent(std::string_view Key);
  std::optional<Address> address(std::string_view Key);
  /// Reads one of the words in \p Allowed.
  std::optional<std::string> choice(std::string_view Key,
                                    const std::vector<std::string> &Allowed);
  std::optional<std::vector<std::string>> names(std::string_view Key);
  std::optional<std::vector<Address>> addresses(std::string_view Key);
  /// Calls \p Read on the map under \p Key, if there is one.
  void map(std::string_view Key, const std::function<void(MapReader &)> &Read);
  /// Calls \p Read on each map in the list under \p Key.
  void list(std::string_view Key, const std::function<void(MapReader &)> &Read);

  bool has(std::string_view Key) const;
  /// Reports \p Key as missing if it is absent.
  void require(std::string_view Key);
  Origin origin(std::string_view Key = "") const;
  void report(std::string_view Key, std::string Reason);
  /// Reports keys that were never read as unknown, and repeated keys.
  void finish();

private:
  std::optional<YAML::Node> find(std::string_view Key);
  std::optional<std::string> scalar(std::string_view Key);
  std::string pathOf(std::string_view Key) const;
  template <class T, class Parse>
  std::optional<T> parseScalar(std::string_view Key, Parse Parser,
                               std::string_view Expected);

  YAML::Node Map;
  std::string File;
  std::string Path;
  Problems &FoundProblems;
  std::set<std::string, std::less<>> ReadKeys;
};

} // namespace ragwort::settings

#endif
