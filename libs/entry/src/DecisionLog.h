//===- DecisionLog.h - Routing decisions of recent requests ---------------===//
//
// Stores the routing decisions of the latest requests for `ragwortctl explain`.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ENTRY_DECISIONLOG_H
#define RAGWORT_ENTRY_DECISIONLOG_H

#include "ragwort/base/Time.h"
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwort::entry {

/// One step in the processing of a request.
struct DecisionStep {
  /// Time since the request was received, in microseconds.
  int64_t ElapsedMicros = 0;
  std::string Description;
};

/// The processing steps of a request.
struct RequestHistory {
  std::string Id;
  std::string Organisation;
  std::string Service;
  TimePoint Begin;
  std::vector<DecisionStep> Steps;
};

/// Bounded log of request histories; the oldest is evicted first. Thread-safe.
///
/// \code
///   DecisionLog Log(4096);
///   Log.add(std::move(History));
///   std::optional<RequestHistory> Found = Log.find("r-1");
/// \endcode
class DecisionLog {
public:
  explicit DecisionLog(size_t MaxRequests) : MaxRequests(MaxRequests) {}
  void add(RequestHistory History);
  std::optional<RequestHistory> find(std::string_view Id) const;
  size_t size() const;

private:
  const size_t MaxRequests;
  mutable std::mutex Mutex; // Leaf lock. Guards the fields below.
  std::unordered_map<std::string, RequestHistory> ById;
  std::deque<std::string> InsertionOrder;
};

} // namespace ragwort::entry

#endif
