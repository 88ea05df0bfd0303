#pragma once

#include <string>
#include <string_view>

#include "bluebellpass/config.h"
#include "bluebellpass/error.h"
#include "bluebellpass/types.h"

namespace bluebellpass {

/// A validated request of a caller.
struct Submission {
  OrganisationId organisation;
  TierName tier;
  TierRank rank;
  PoolName pool;
  Millis deadline{0};  ///< time from receipt
  bool is_idempotent = true;
  std::string idempotency_key;  ///< not empty if is_idempotent is false
  std::string prompt;
  Tokens prompt_tokens;
  Tokens max_tokens;
  Fingerprint prefix;   ///< of the pool and the first 1024 bytes of the prompt
  Fingerprint content;  ///< of the pool and the complete prompt
};

/// Maximum of deadline_ms.
constexpr Millis kMaxDeadline{24 * 3600 * 1000};

/// Parses and validates the JSON body of a submission.
/// @return the submission, or an error that names the invalid field
Result<Submission> ParseSubmission(std::string_view body, const ClusterConfig& config);

}  // namespace bluebellpass
