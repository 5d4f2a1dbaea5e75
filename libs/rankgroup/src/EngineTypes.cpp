//===- EngineTypes.cpp - Reports of a rank's engine and orders to it ------===//
#include "ragwort/rankgroup/EngineTypes.h"

namespace ragwort::rankgroup {

std::string_view toString(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::Prepare:
    return "prepare";
  case OrderKind::Arm:
    return "arm";
  case OrderKind::Disarm:
    return "disarm";
  case OrderKind::Hold:
    return "hold";
  case OrderKind::Release:
    return "release";
  }
  return "invalid";
}

} // namespace ragwort::rankgroup
