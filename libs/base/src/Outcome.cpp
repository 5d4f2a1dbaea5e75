//===- Outcome.cpp - Names and statuses of outcomes -----------------------===//
#include "ragwort/base/Outcome.h"

namespace ragwort {

std::string_view toString(Outcome Value) {
  switch (Value) {
  case Outcome::Completed:
    return "completed";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view toString(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::BadRequest:
    return "bad-request";
  case RefusalReason::UnknownOrganisation:
    return "unknown-organisation";
  case RefusalReason::NoRoute:
    return "no-route";
  case RefusalReason::NoBackendServer:
    return "no-backend-server";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::ShareExceeded:
    return "share-exceeded";
  case RefusalReason::DeadlineExceeded:
    return "deadline-exceeded";
  case RefusalReason::Leaving:
    return "leaving";
  case RefusalReason::WrongIncarnation:
    return "wrong-incarnation";
  case RefusalReason::BackendUnreachable:
    return "backend-unreachable";
  case RefusalReason::StoreUnavailable:
    return "store-unavailable";
  case RefusalReason::KeyInProgress:
    return "key-in-progress";
  case RefusalReason::KeyReused:
    return "key-reused";
  case RefusalReason::NotOwner:
    return "not-owner";
  case RefusalReason::Cancelled:
    return "cancelled";
  case RefusalReason::InternalError:
    return "internal-error";
  }
  return "internal-error";
}

unsigned httpStatus(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::BadRequest:
    return 400;
  case RefusalReason::UnknownOrganisation:
    return 403;
  case RefusalReason::NoRoute:
    return 404;
  case RefusalReason::KeyInProgress:
    return 409;
  case RefusalReason::KeyReused:
    return 422;
  case RefusalReason::ShareExceeded:
    return 429;
  case RefusalReason::DeadlineExceeded:
    return 504;
  case RefusalReason::InternalError:
    return 500;
  default:
    return 503;
  }
}

bool isRetryable(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::Overloaded:
  case RefusalReason::Leaving:
  case RefusalReason::WrongIncarnation:
  case RefusalReason::BackendUnreachable:
    return true;
  default:
    return false;
  }
}

} // namespace ragwort
