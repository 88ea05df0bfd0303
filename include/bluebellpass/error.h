#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

/// Error kinds, and the table of how each kind is presented to callers.

namespace bluebellpass {

/// Whether a request was run. Every request ends with one of these outcomes.
enum class Outcome {
  kCompleted,  ///< the complete answer was delivered
  kNotRun,     ///< guaranteed: the request was not run and will not be run
  kUnknown,    ///< the request may have run
};

enum class ErrorKind {
  // The request or command is invalid.
  kBadRequest,
  kBadRequestId,
  kUnknownOrganisation,
  kUnknownTier,
  kUnknownPool,
  kMissingIdempotencyKey,
  kTooLarge,
  kNotFound,
  kBadCommand,
  // The request was rejected before it ran.
  kOverloaded,
  kOrganisationLimit,
  kDeadlineExceeded,
  kDeadlineInfeasible,
  kQuarantined,
  kStopping,
  kCancelled,
  kBackendRefused,
  // The request may have run.
  kHomeUnreachable,
  kTicketExpired,
  kBackendLost,
  kKeyInUse,
  kAnswerExpired,
  // Operators' commands, the object API and internal errors.
  kConflict,
  kStoreUnavailable,
  kStoreUncertain,
  kInvalidConfig,
  kInternal,
};

/// When and where a rejected request may be retried.
enum class RetryAdvice { kNever, kLater, kElsewhere };

/// Name, HTTP status, outcome and retry advice of an error kind.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;  ///< stable name used in responses and logs
  int http_status;
  Outcome outcome;
  RetryAdvice retry;
};

/// @return the table of error kinds, one row per kind
std::span<const ErrorInfo> ErrorTable();

/// @return the table row of a kind
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// @return the kind with this stable name, or nullopt
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

/// @return "completed", "not_run" or "unknown"
std::string_view OutcomeName(Outcome outcome);

/// An error with a human-readable message.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string field;  ///< path of the invalid field or word; may be empty
};

/// A value or an error.
template <class T>
using Result = std::variant<T, Error>;

/// The value type of results without a value.
struct Ok {};

/// @return true if the result holds a value
template <class T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

/// @return the error of a failed result; must not be called on success
template <class T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace bluebellpass
