//===- Mix.cpp - Parsing of the request mix -------------------------------===//
#include "Mix.h"
#include <yaml-cpp/yaml.h>

namespace ragwort::load {

absl::StatusOr<std::vector<RequestKind>> readMix(const std::string &Path) {
  std::vector<RequestKind> Kinds;
  try {
    YAML::Node Root = YAML::LoadFile(Path);
    for (const YAML::Node &Item : Root["kinds"]) {
      RequestKind Kind;
      Kind.Name = Item["name"].as<std::string>();
      std::string ShapeName = Item["shape"].as<std::string>();
      if (ShapeName == "chat")
        Kind.RequestShape = Shape::Chat;
      else if (ShapeName == "issue")
        Kind.RequestShape = Shape::Issue;
      else if (ShapeName != "lookup")
        return absl::InvalidArgumentError("unknown shape " + ShapeName);
      Kind.Path = Item["path"].as<std::string>();
      Kind.Organisations = Item["organisations"].as<std::vector<std::string>>();
      Kind.Weight = Item["weight"].as<double>(Kind.Weight);
      Kind.Tokens = Item["tokens"].as<int>(Kind.Tokens);
      Kind.Prefixes = Item["prefixes"].as<int>(Kind.Prefixes);
      Kind.Priority = Item["priority"].as<uint32_t>(Kind.Priority);
      Kind.DeadlineMillis =
          Item["deadline_ms"].as<uint32_t>(Kind.DeadlineMillis);
      Kind.RepeatPercent = Item["repeat_percent"].as<int>(Kind.RepeatPercent);
      Kinds.push_back(std::move(Kind));
    }
  } catch (const YAML::Exception &Error) {
    return absl::InvalidArgumentError(Path + ": " + Error.what());
  }
  if (Kinds.empty())
    return absl::InvalidArgumentError(Path + ": names no kinds");
  return Kinds;
}

} // namespace ragwort::load
