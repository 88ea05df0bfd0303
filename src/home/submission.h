#pragma once

#include <string>
#include <string_view>

#include "bluebellpass/config.h"
#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// A submitted request after validation.
struct Submission {
  OrganisationId organisation;
  TierName tier;
  TierRank rank;
  PoolName pool;
  Millis deadline{0};  ///< from receipt
  bool is_idempotent = true;
  std::string idempotency_key;  ///< not empty when is_idempotent is false
  std::string prompt;
  Tokens prompt_tokens;
  Tokens max_tokens;
  Fingerprint prefix;
  Fingerprint content;
};

/// Longest deadline a caller may ask for.
constexpr Millis kMaxDeadline{24 * 3600 * 1000};

/// Validates the JSON body of a submission.
/// @return the submission, or an error whose field names the offending member
Result<Submission> ParseSubmission(std::string_view body, const ClusterConfig& config);

}  // namespace bluebellpass
