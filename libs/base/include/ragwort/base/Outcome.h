//===- Outcome.h - Result of a request as reported to the caller ----------===//
//
// Every answer carries exactly one outcome.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_BASE_OUTCOME_H
#define RAGWORT_BASE_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace ragwort {

/// Whether the backend server ran a request.
///
/// \code
///   Response.set("Ragwort-Outcome", toString(Outcome::NotRun));
/// \endcode
enum class Outcome : uint8_t {
  /// The backend server answered and the answer is complete.
  Completed,
  /// No byte of the request reached a backend server, and none will.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// Why a request was refused before it started.
enum class RefusalReason : uint8_t {
  BadRequest,
  UnknownOrganisation,
  NoRoute,
  NoBackendServer,
  Overloaded,
  ShareExceeded,
  DeadlineExceeded,
  Leaving,
  WrongIncarnation,
  BackendUnreachable,
  StoreUnavailable,
  KeyInProgress,
  KeyReused,
  NotOwner,
  Cancelled,
  InternalError,
};

/// The value of the Ragwort-Outcome header: completed, not-run or unknown.
std::string_view toString(Outcome Value);

/// A stable kebab-case name, used in problem documents, logs and metrics.
std::string_view toString(RefusalReason Value);

/// The HTTP status code for a refusal.
unsigned httpStatus(RefusalReason Value);

/// Whether the same request may be sent to another backend server.
bool isRetryable(RefusalReason Value);

} // namespace ragwort

#endif
