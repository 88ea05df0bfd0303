#pragma once

#include "scheduler.h"

namespace bluebellpass::gateway {

/// Writes a line for each grant and refusal, with what it rested on.
/// @param queue the scheduler after the decisions
void LogDecisions(const Decisions& decisions, const Scheduler& queue);

}  // namespace bluebellpass::gateway
