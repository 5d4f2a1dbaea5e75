//===- Query.cpp - Targets and responses ----------------------------------===//
#include "Standin.h"

namespace ragwort::standin {

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  size_t Start = Target.find('?');
  while (Start != std::string_view::npos) {
    std::string_view Rest = Target.substr(Start + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with('='))
      return std::string(Pair.substr(Name.size() + 1));
    size_t Next = Rest.find('&');
    Start = Next == Rest.npos ? Next : Start + 1 + Next;
  }
  return {};
}

http::Response jsonResponse(unsigned Status, const Json &Body) {
  return http::makeResponse(Status, "application/json", Body.dump() + "\n");
}

} // namespace ragwort::standin
