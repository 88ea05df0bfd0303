#include "bluebellpass/error.h"

#include <array>

namespace bluebellpass {
namespace {

using enum ErrorKind;

constexpr std::array kErrorTable = {
    ErrorInfo{kBadRequest, "bad_request", 400, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kBadRequestId, "bad_request_id", 400, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kUnknownOrganisation, "unknown_organisation", 422, Outcome::kNotRun,
              RetryAdvice::kNever},
    ErrorInfo{kUnknownTier, "unknown_tier", 422, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kUnknownPool, "unknown_pool", 422, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kMissingIdempotencyKey, "missing_idempotency_key", 422, Outcome::kNotRun,
              RetryAdvice::kNever},
    ErrorInfo{kTooLarge, "too_large", 413, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kNotFound, "not_found", 404, Outcome::kUnknown, RetryAdvice::kNever},
    ErrorInfo{kBadCommand, "bad_command", 400, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kOverloaded, "overloaded", 503, Outcome::kNotRun, RetryAdvice::kLater},
    ErrorInfo{kOrganisationLimit, "organisation_limit", 429, Outcome::kNotRun, RetryAdvice::kLater},
    ErrorInfo{kDeadlineExceeded, "deadline_exceeded", 504, Outcome::kNotRun, RetryAdvice::kLater},
    ErrorInfo{kDeadlineInfeasible, "deadline_infeasible", 504, Outcome::kNotRun,
              RetryAdvice::kLater},
    ErrorInfo{kQuarantined, "quarantined", 403, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kStopping, "stopping", 503, Outcome::kNotRun, RetryAdvice::kElsewhere},
    ErrorInfo{kCancelled, "cancelled", 499, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kBackendRefused, "backend_refused", 502, Outcome::kNotRun, RetryAdvice::kLater},
    ErrorInfo{kHomeUnreachable, "home_unreachable", 502, Outcome::kUnknown, RetryAdvice::kNever},
    ErrorInfo{kTicketExpired, "ticket_expired", 410, Outcome::kUnknown, RetryAdvice::kNever},
    ErrorInfo{kBackendLost, "backend_lost", 502, Outcome::kUnknown, RetryAdvice::kNever},
    ErrorInfo{kKeyInUse, "key_in_use", 409, Outcome::kUnknown, RetryAdvice::kLater},
    ErrorInfo{kAnswerExpired, "answer_expired", 410, Outcome::kUnknown, RetryAdvice::kNever},
    ErrorInfo{kConflict, "conflict", 409, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kStoreUnavailable, "store_unavailable", 503, Outcome::kNotRun, RetryAdvice::kLater},
    ErrorInfo{kStoreUncertain, "store_uncertain", 504, Outcome::kUnknown, RetryAdvice::kLater},
    ErrorInfo{kInvalidConfig, "invalid_config", 422, Outcome::kNotRun, RetryAdvice::kNever},
    ErrorInfo{kInternal, "internal", 500, Outcome::kUnknown, RetryAdvice::kNever},
};

constexpr bool IsInOrder() {
  for (std::size_t i = 0; i < kErrorTable.size(); ++i) {
    if (static_cast<std::size_t>(kErrorTable[i].kind) != i) return false;
  }
  return kErrorTable.size() == static_cast<std::size_t>(kInternal) + 1;
}
static_assert(IsInOrder(), "the table needs one row per kind, in the order of ErrorKind");

}  // namespace

std::span<const ErrorInfo> ErrorTable() { return kErrorTable; }

const ErrorInfo& GetErrorInfo(ErrorKind kind) {
  return kErrorTable[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  for (const ErrorInfo& row : kErrorTable) {
    if (row.name == name) return row.kind;
  }
  return std::nullopt;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace bluebellpass
