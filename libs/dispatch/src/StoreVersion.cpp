//===- StoreVersion.cpp - Version of the persistent store -----------------===//
#include "ragwort/dispatch/StoreVersion.h"

namespace ragwort::dispatch {

std::string toString(const StoreVersion &Value) {
  std::string Number = std::to_string(Value.Number);
  return Value.Era == 0 ? Number : std::to_string(Value.Era) + "/" + Number;
}

} // namespace ragwort::dispatch
