//===- DecisionLog.cpp - Routing decisions of recent requests -------------===//
#include "DecisionLog.h"

namespace ragwort::entry {

void DecisionLog::add(RequestHistory History) {
  std::lock_guard Lock(Mutex);
  std::string Id = History.Id;
  if (!ById.insert_or_assign(Id, std::move(History)).second)
    return;
  InsertionOrder.push_back(std::move(Id));
  if (InsertionOrder.size() <= MaxRequests)
    return;
  ById.erase(InsertionOrder.front());
  InsertionOrder.pop_front();
}

std::optional<RequestHistory> DecisionLog::find(std::string_view Id) const {
  std::lock_guard Lock(Mutex);
  auto It = ById.find(std::string(Id));
  if (It == ById.end())
    return std::nullopt;
  return It->second;
}

size_t DecisionLog::size() const {
  std::lock_guard Lock(Mutex);
  return ById.size();
}

} // namespace ragwort::entry
