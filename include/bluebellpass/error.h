#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

/// The closed list of error kinds and the table from kind to answer.

namespace bluebellpass {

/// What a caller may conclude about its request. There are no other classes.
enum class Outcome {
  kCompleted,  ///< the whole answer was delivered
  kNotRun,     ///< a promise: the request was not and will not be run
  kUnknown,    ///< the request may have run
};

enum class ErrorKind {
  // The request or command itself is at fault.
  kBadRequest,
  kBadRequestId,
  kUnknownOrganisation,
  kUnknownTier,
  kUnknownPool,
  kMissingIdempotencyKey,
  kTooLarge,
  kNotFound,
  kBadCommand,
  // The request was refused before dispatch.
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
  // Operators' commands and the platform.
  kConflict,
  kStoreUnavailable,
  kStoreUncertain,
  kInvalidConfig,
  kInternal,
};

/// Advice on sending a refused request again.
enum class RetryAdvice { kNever, kLater, kElsewhere };

/// How an error kind is presented.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;  ///< stable name used in answers and logs
  int http_status;
  Outcome outcome;
  RetryAdvice retry;
};

/// @return the table from kind to answer, one row for each kind
std::span<const ErrorInfo> ErrorTable();

/// @return the row of the table for a kind
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// @return the kind with this stable name, if there is one
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

/// @return "completed", "not_run" or "unknown"
std::string_view OutcomeName(Outcome outcome);

/// An error with a message for people.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string field;  ///< path of the offending field or word; may be empty
};

/// A value or an error.
template <class T>
using Result = std::variant<T, Error>;

/// The value type of results that carry none.
struct Ok {};

/// @return true when the result holds a value
template <class T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

/// @return the error of a result that failed; must not be called on success
template <class T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

}  // namespace bluebellpass
