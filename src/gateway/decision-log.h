#pragma once

#include <vector>

#include "scheduler.h"

namespace bluebellpass::gateway {

/// Writes the decisions of the coordinator to the log.
class DecisionLog {
 public:
  /// Writes a line for each grant and refusal, with what it rested on, and from time to time the
  /// sums by kind and size, since single lines may be dropped under load.
  /// @param queue the scheduler after the decisions
  void Write(const Decisions& decisions, const Scheduler& queue, TimePoint now);

 private:
  TimePoint m_next_sums{};
  std::vector<SizeGroupResults> m_sums;  ///< as of the last time
  std::size_t m_first_sum = 0;           ///< where writing goes on when not all fitted
};

}  // namespace bluebellpass::gateway
