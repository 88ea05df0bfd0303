#pragma once

#include <string>
#include <vector>

#include "kernel/metrics.h"
#include "rollout-controller.h"

/// Roll-outs as operators see them: replies to commands, JSON and metrics.

namespace bluebellpass::gateway {

/// Reply to an operators' command.
struct CommandReply {
  int status = 0;  ///< of HTTP
  std::string body;
};

/// Answers `show rollouts` with its conditions, and any other command with an error.
/// @param text the command
CommandReply AnswerCommand(const std::string& text, const std::vector<RolloutSummary>& rollouts);

/// @return JSON with a row for each roll-out
std::string EncodeRollouts(const std::vector<RolloutSummary>& rollouts);

/// Sets the gauges `gateway_rollout_*` to the roll-outs, and removes those of earlier ones.
void SetRolloutMetrics(Metrics& metrics, const std::vector<RolloutSummary>& rollouts);

}  // namespace bluebellpass::gateway
