//===- Query.cpp - Request targets and JSON responses ---------------------===//
#include "Standin.h"
#include <cstdlib>

namespace ragwort::standin {

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

namespace {

std::string percentDecoded(std::string_view Text) {
  std::string Result;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + 2 >= Text.size()) {
      Result += Text[I];
      continue;
    }
    std::string Digits(Text.substr(I + 1, 2));
    Result += static_cast<char>(std::strtol(Digits.c_str(), nullptr, 16));
    I += 2;
  }
  return Result;
}

} // namespace

std::string queryValue(std::string_view Target, std::string_view Name) {
  size_t Separator = Target.find('?');
  while (Separator != std::string_view::npos) {
    std::string_view Rest = Target.substr(Separator + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with('='))
      return percentDecoded(Pair.substr(Name.size() + 1));
    size_t Next = Rest.find('&');
    Separator = Next == Rest.npos ? Next : Separator + 1 + Next;
  }
  return {};
}

http::Response jsonResponse(unsigned Status, const Json &Body) {
  return http::makeResponse(Status, "application/json", Body.dump() + "\n");
}

} // namespace ragwort::standin
