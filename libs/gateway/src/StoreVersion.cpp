//===- StoreVersion.cpp - Version of the persistent store -----------------===//
#include "ragwort/gateway/StoreVersion.h"

namespace ragwort::gateway {

std::string toString(const StoreVersion &Value) {
  std::string Number = std::to_string(Value.Number);
  return Value.Era == 0 ? Number : std::to_string(Value.Era) + "/" + Number;
}

} // namespace ragwort::gateway
