//===- Messages.cpp - Helpers over the message variant --------------------===//
#include "ragwort/wire/Messages.h"
#include <type_traits>

namespace ragwort::wire {

uint64_t streamOf(const Message &M) {
  return std::visit(
      [](const auto &Body) -> uint64_t {
        if constexpr (std::is_same_v<std::decay_t<decltype(Body)>, Hello>)
          return 0;
        else
          return Body.Stream;
      },
      M);
}

} // namespace ragwort::wire
