//===- Refusals.h - Problem documents for callers -------------------------===//
#ifndef RAGWORT_ENTRY_REFUSALS_H
#define RAGWORT_ENTRY_REFUSALS_H

#include "ragwort/base/Outcome.h"
#include "ragwort/base/Time.h"
#include "ragwort/http/HttpTypes.h"
#include <string>
#include <string_view>

namespace ragwort::entry {

/// Names of the headers that the system adds.
inline constexpr std::string_view RequestIdHeader = "Ragwort-Request-Id";
inline constexpr std::string_view OutcomeHeader = "Ragwort-Outcome";

/// A request that was provably not run.
http::Response refusal(RefusalReason Reason, std::string_view Detail,
                       Duration RetryAfter);

/// A request whose outcome is unknown; status 502, or 504 past the deadline.
http::Response unknownOutcome(unsigned Status, std::string_view Detail);

} // namespace ragwort::entry

#endif
