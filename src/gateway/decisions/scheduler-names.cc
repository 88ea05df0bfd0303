#include "scheduler.h"

namespace bluebellpass::gateway {

std::string_view NameOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kNotRun:
      return "not_run";
    case RunOutcome::kCompleted:
      return "completed";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kLost:
      return "lost";
    case RunOutcome::kCancelled:
      return "cancelled";
  }
  return "not_run";
}

std::string_view NameOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kTooLate:
      return "too_late";
    case RefusalReason::kNoBackend:
      return "no_backend";
    case RefusalReason::kQuota:
      return "quota";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kUnknownVersion:
      return "unknown_version";
    case RefusalReason::kNoSuchVersion:
      return "no_such_version";
  }
  return "overloaded";
}

std::string_view NameOf(FailureLimit limit) {
  switch (limit) {
    case FailureLimit::kNone:
      return "none";
    case FailureLimit::kOneAtATime:
      return "one_at_a_time";
    case FailureLimit::kTrialsOnly:
      return "trials_only";
  }
  return "none";
}

}  // namespace bluebellpass::gateway
