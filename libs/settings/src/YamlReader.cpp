//===- YamlReader.cpp - Checked access to a YAML document -----------------===//
#include "YamlReader.h"
#include <charconv>
#include <sstream>
#include <yaml-cpp/eventhandler.h>

namespace ragwort::settings {

namespace {

constexpr size_t MaxNameLength = 64;

/// Handles the parser's events and rejects aliases and deep nesting, before a
/// tree is built that would be expensive to traverse.
class LimitChecker : public YAML::EventHandler {
public:
  explicit LimitChecker(std::string_view File, Problems &FoundProblems)
      : File(File), FoundProblems(FoundProblems) {}

  void OnDocumentStart(const YAML::Mark &) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark &Mark, YAML::anchor_t) override {
    abortParse(Mark, "aliases are not allowed");
  }
  void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) override {}
  void OnSequenceStart(const YAML::Mark &Mark, const std::string &,
                       YAML::anchor_t, YAML::EmitterStyle::value) override {
    enterNested(Mark);
  }
  void OnSequenceEnd() override { --Depth; }
  void OnMapStart(const YAML::Mark &Mark, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    enterNested(Mark);
  }
  void OnMapEnd() override { --Depth; }

private:
  void enterNested(const YAML::Mark &Mark) {
    if (++Depth > MaxDocumentDepth)
      abortParse(Mark,
                 "nested deeper than " + std::to_string(MaxDocumentDepth));
  }

  [[noreturn]] void abortParse(const YAML::Mark &Mark,
                               const std::string &Reason) {
    // yaml-cpp has no other way for a handler to abort parsing.
    throw YAML::ParserException(Mark, Reason);
  }

  std::string File;
  Problems &FoundProblems;
  int Depth = 0;
};

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  for (char C : Text)
    if (!((C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-'))
      return false;
  return true;
}

std::string quoted(std::string_view Text) {
  constexpr size_t MaxQuoted = 64;
  std::string Result = "'" + std::string(Text.substr(0, MaxQuoted)) + "'";
  return Result;
}

} // namespace

std::optional<YAML::Node> loadYamlMap(std::string_view File,
                                      std::string_view Text,
                                      Problems &FoundProblems) {
  Origin Start{std::string(File), 1, ""};
  if (Text.size() > MaxDocumentBytes) {
    FoundProblems.push_back({Start, "document of " +
                                        std::to_string(Text.size()) +
                                        " bytes exceeds the limit of 4MiB"});
    return std::nullopt;
  }
  try {
    std::istringstream CheckerStream{std::string(Text)};
    YAML::Parser Parser(CheckerStream);
    LimitChecker Checker(File, FoundProblems);
    while (Parser.HandleNextDocument(Checker)) {
    }
    std::vector<YAML::Node> Documents = YAML::LoadAll(std::string(Text));
    if (Documents.size() == 1 && Documents[0].IsMap())
      return Documents[0];
    FoundProblems.push_back({Start, "expected one document that is a map"});
  } catch (const YAML::Exception &Error) {
    Start.Line = Error.mark.line + 1;
    FoundProblems.push_back({Start, Error.msg});
  }
  return std::nullopt;
}

MapReader::MapReader(const YAML::Node &Map, std::string File, std::string Path,
                     Problems &FoundProblems)
    : Map(Map), File(std::move(File)), Path(std::move(Path)),
      FoundProblems(FoundProblems) {}

std::string MapReader::pathOf(std::string_view Key) const {
  if (Key.empty())
    return Path;
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

Origin MapReader::origin(std::string_view Key) const {
  Origin Location{File, Map.Mark().line + 1, pathOf(Key)};
  if (!Key.empty()) {
    YAML::Node Value = Map[std::string(Key)];
    if (Value.IsDefined())
      Location.Line = Value.Mark().line + 1;
  }
  return Location;
}

void MapReader::report(std::string_view Key, std::string Reason) {
  FoundProblems.push_back({origin(Key), std::move(Reason)});
}

bool MapReader::has(std::string_view Key) const {
  return Map[std::string(Key)].IsDefined();
}

void MapReader::require(std::string_view Key) {
  if (!has(Key))
    report(Key, "is missing");
}

std::optional<YAML::Node> MapReader::find(std::string_view Key) {
  ReadKeys.emplace(Key);
  YAML::Node Value = Map[std::string(Key)];
  if (!Value.IsDefined())
    return std::nullopt;
  return Value;
}

std::optional<std::string> MapReader::scalar(std::string_view Key) {
  std::optional<YAML::Node> Value = find(Key);
  if (!Value)
    return std::nullopt;
  if (!Value->IsScalar()) {
    report(Key, "expected a single value");
    return std::nullopt;
  }
  return Value->Scalar();
}

template <class T, class Parse>
std::optional<T> MapReader::parseScalar(std::string_view Key, Parse Parser,
                                        std::string_view Expected) {
  std::optional<std::string> Text = scalar(Key);
  if (!Text)
    return std::nullopt;
  std::optional<T> Value = Parser(*Text);
  if (!Value)
    report(Key,
           "expected " + std::string(Expected) + ", found " + quoted(*Text));
  return Value;
}

std::optional<std::string> MapReader::text(std::string_view Key) {
  return scalar(Key);
}

std::optional<std::string> MapReader::name(std::string_view Key) {
  return parseScalar<std::string>(
      Key,
      [](const std::string &Text) {
        return isName(Text) ? std::optional(Text) : std::nullopt;
      },
      "a name of up to 64 lower-case letters, digits and hyphens");
}

std::optional<uint64_t> MapReader::number(std::string_view Key, uint64_t Low,
                                          uint64_t High) {
  return parseScalar<uint64_t>(
      Key,
      [&](const std::string &Text) -> std::optional<uint64_t> {
        uint64_t Value = 0;
        const char *End = Text.data() + Text.size();
        auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
        if (Error != std::errc() || ParsedEnd != End || Value < Low ||
            Value > High)
          return std::nullopt;
        return Value;
      },
      "a whole number from " + std::to_string(Low) + " to " +
          std::to_string(High));
}

std::optional<double> MapReader::fraction(std::string_view Key) {
  return parseScalar<double>(
      Key,
      [](const std::string &Text) -> std::optional<double> {
        double Value = 0;
        const char *End = Text.data() + Text.size();
        auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
        if (Error != std::errc() || ParsedEnd != End ||
            !(Value >= 0 && Value <= 1))
          return std::nullopt;
        return Value;
      },
      "a number from 0 to 1");
}

std::optional<bool> MapReader::flag(std::string_view Key) {
  return parseScalar<bool>(
      Key,
      [](const std::string &Text) -> std::optional<bool> {
        if (Text == "true")
          return true;
        if (Text == "false")
          return false;
        return std::nullopt;
      },
      "true or false");
}

std::optional<Duration> MapReader::duration(std::string_view Key, Duration Low,
                                            Duration High) {
  std::optional<Duration> Value = parseScalar<Duration>(
      Key, parseDuration, "a duration with its unit (us, ms, s, min, h)");
  if (Value && (*Value < Low || *Value > High)) {
    report(Key, "is outside " + std::to_string(Low.count()) + "us to " +
                    std::to_string(High.count()) + "us");
    return std::nullopt;
  }
  return Value;
}

std::optional<uint64_t> MapReader::bytes(std::string_view Key, uint64_t Low,
                                         uint64_t High) {
  std::optional<uint64_t> Value = parseScalar<uint64_t>(
      Key, parseBytes, "a size with its unit (B, KiB, MiB, GiB)");
  if (Value && (*Value < Low || *Value > High)) {
    report(Key, "is outside " + std::to_string(Low) + "B to " +
                    std::to_string(High) + "B");
    return std::nullopt;
  }
  return Value;
}

std::optional<double> MapReader::percent(std::string_view Key) {
  std::optional<double> Value =
      parseScalar<double>(Key, parsePercent, "a percentage such as 12.5%");
  if (Value && *Value > 100) {
    report(Key, "exceeds 100%");
    return std::nullopt;
  }
  return Value;
}

std::optional<Address> MapReader::address(std::string_view Key) {
  return parseScalar<Address>(Key, parseAddress, "an address as ip:port");
}

std::optional<std::string>
MapReader::choice(std::string_view Key,
                  const std::vector<std::string> &Allowed) {
  std::string Expected = "one of";
  for (const std::string &Word : Allowed)
    Expected += " " + Word;
  return parseScalar<std::string>(
      Key,
      [&](const std::string &Text) -> std::optional<std::string> {
        for (const std::string &Word : Allowed)
          if (Text == Word)
            return Text;
        return std::nullopt;
      },
      Expected);
}

std::optional<std::vector<std::string>> MapReader::names(std::string_view Key) {
  std::optional<YAML::Node> Value = find(Key);
  if (!Value)
    return std::nullopt;
  std::vector<std::string> Result;
  if (!Value->IsSequence()) {
    report(Key, "expected a list of names");
    return std::nullopt;
  }
  for (const YAML::Node &Item : *Value) {
    if (!Item.IsScalar() || !isName(Item.Scalar())) {
      report(Key, "expected a list of names");
      return std::nullopt;
    }
    Result.push_back(Item.Scalar());
  }
  return Result;
}

std::optional<std::vector<Address>> MapReader::addresses(std::string_view Key) {
  std::optional<YAML::Node> Value = find(Key);
  if (!Value)
    return std::nullopt;
  std::vector<Address> Result;
  if (!Value->IsSequence()) {
    report(Key, "expected a list of addresses");
    return std::nullopt;
  }
  for (const YAML::Node &Item : *Value) {
    std::optional<Address> Parsed =
        Item.IsScalar() ? parseAddress(Item.Scalar()) : std::nullopt;
    if (!Parsed) {
      report(Key, "expected a list of addresses as ip:port");
      return std::nullopt;
    }
    Result.push_back(*Parsed);
  }
  return Result;
}

void MapReader::map(std::string_view Key,
                    const std::function<void(MapReader &)> &Read) {
  std::optional<YAML::Node> Value = find(Key);
  if (!Value)
    return;
  if (!Value->IsMap()) {
    report(Key, "expected a map");
    return;
  }
  MapReader Child(*Value, File, pathOf(Key), FoundProblems);
  Read(Child);
  Child.finish();
}

void MapReader::list(std::string_view Key,
                     const std::function<void(MapReader &)> &Read) {
  std::optional<YAML::Node> Value = find(Key);
  if (!Value)
    return;
  if (!Value->IsSequence()) {
    report(Key, "expected a list");
    return;
  }
  size_t Index = 0;
  for (const YAML::Node &Item : *Value) {
    std::string ItemPath = pathOf(Key) + "[" + std::to_string(Index++) + "]";
    if (!Item.IsMap()) {
      FoundProblems.push_back(
          {{File, Item.Mark().line + 1, ItemPath}, "expected a map"});
      continue;
    }
    MapReader Child(Item, File, ItemPath, FoundProblems);
    Read(Child);
    Child.finish();
  }
}

void MapReader::finish() {
  std::set<std::string, std::less<>> SeenKeys;
  for (const auto &Entry : Map) {
    std::string Key = Entry.first.IsScalar() ? Entry.first.Scalar() : "?";
    Origin Location{File, Entry.first.Mark().line + 1, pathOf(Key)};
    if (!ReadKeys.contains(Key))
      FoundProblems.push_back({Location, "is not a known key"});
    else if (!SeenKeys.insert(Key).second)
      FoundProblems.push_back({Location, "is given twice"});
  }
}

} // namespace ragwort::settings
