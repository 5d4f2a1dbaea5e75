//===- Refusals.h - Problem documents for callers -------------------------===//
#ifndef RAGWORT_ENTRY_REFUSALS_H
#define RAGWORT_ENTRY_REFUSALS_H

#include "ragwort/base/Outcome.h"
#include "ragwort/base/Time.h"
#include "ragwort/http/HttpTypes.h"
#include <string>
#include <string_view>

namespace ragwort::entry {

/// Response headers. The request id is also sent to the backend server.
inline constexpr std::string_view RequestIdHeader = "Ragwort-Request-Id";
inline constexpr std::string_view OutcomeHeader = "Ragwort-Outcome";

/// Response to a request that did not run. A Retry-After header is added if the
/// status permits a retry.
http::Response refusal(RefusalReason Reason, std::string_view Detail,
                       Duration RetryAfter);

/// Response to a request whose outcome is unknown. \p Status is 504 if the
/// deadline has passed, 503 if the journal is not available, otherwise 502.
http::Response unknownOutcome(unsigned Status, std::string_view Detail);

} // namespace ragwort::entry

#endif
