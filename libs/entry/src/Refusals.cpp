//===- Refusals.cpp - Problem documents for callers -----------------------===//
#include "Refusals.h"
#include <nlohmann/json.hpp>

namespace ragwort::entry {

namespace {

http::Response problemResponse(unsigned Status, std::string_view Title,
                               std::string_view Detail, Outcome Value) {
  nlohmann::json Body = {{"type", "about:blank"},
                         {"title", Title},
                         {"status", Status},
                         {"detail", Detail},
                         {"outcome", toString(Value)}};
  http::Response R = http::makeResponse(
      Status, "application/problem+json",
      Body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) +
          "\n");
  R.Head.Headers.push_back(
      {std::string(OutcomeHeader), std::string(toString(Value))});
  return R;
}

} // namespace

http::Response refusal(RefusalReason Reason, std::string_view Detail,
                       Duration RetryAfter) {
  unsigned Status = httpStatus(Reason);
  http::Response R =
      problemResponse(Status, toString(Reason), Detail, Outcome::NotRun);
  // Whole seconds, rounded up; at least one, so that callers do not retry at
  // once.
  int64_t Seconds = std::max<int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(RetryAfter).count());
  bool MayRetry = Status == 503 || Status == 429 || Status == 504;
  if (MayRetry)
    R.Head.Headers.push_back({"Retry-After", std::to_string(Seconds)});
  return R;
}

http::Response unknownOutcome(unsigned Status, std::string_view Detail) {
  return problemResponse(Status, "outcome-unknown", Detail, Outcome::Unknown);
}

} // namespace ragwort::entry
