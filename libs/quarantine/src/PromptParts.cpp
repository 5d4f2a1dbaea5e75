//===- PromptParts.cpp - The parts of a request's prompt ------------------===//
#include "ragwort/quarantine/PromptParts.h"
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <charconv>

namespace ragwort::quarantine {

namespace {

constexpr int Hexadecimal = 16;

PartKey keyOf(std::string_view Id) {
  uint64_t Number = 0;
  const char *End = Id.data() + Id.size();
  auto Parsed = std::from_chars(Id.data(), End, Number, Hexadecimal);
  return Parsed.ec == std::errc() && Parsed.ptr == End ? Number : hash64(Id);
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  while (!Text.empty() && Text.back() == ' ')
    Text.remove_suffix(1);
  return Text;
}

} // namespace

std::vector<PartKey> sharedPartsOf(std::string_view List) {
  std::vector<PartKey> Result;
  for (size_t Comma = List.find(',');
       Comma != std::string_view::npos && Result.size() < MaxPromptParts;
       Comma = List.find(',')) {
    std::string_view Entry = List.substr(0, Comma);
    List.remove_prefix(Comma + 1);
    std::string_view Id = trimmed(Entry.substr(0, Entry.find(':')));
    if (Id.empty())
      continue;
    PartKey Key = keyOf(Id);
    if (std::find(Result.begin(), Result.end(), Key) == Result.end())
      Result.push_back(Key);
  }
  return Result;
}

std::string toString(PartKey Part) {
  char Digits[2 * sizeof(Part)];
  auto End = std::to_chars(Digits, Digits + sizeof(Digits), Part, Hexadecimal);
  return {Digits, End.ptr};
}

} // namespace ragwort::quarantine
