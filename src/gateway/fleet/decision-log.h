#pragma once

#include <vector>

#include "gateway/decisions/scheduler.h"

namespace bluebellpass::gateway {

/// Logs the coordinator's decisions.
class DecisionLog {
 public:
  /// Logs each decision with its inputs and, periodically, the totals by kind and size, since
  /// single lines may be dropped under load.
  /// @param scheduler its state after the decisions
  void Write(const Decisions& decisions, const Scheduler& scheduler, TimePoint now);

 private:
  TimePoint m_next_results_at{};
  std::vector<SizeGroupResults> m_last_results;  ///< as of the last period
  std::size_t m_next_result_index = 0;  ///< where to continue if the last period hit its limit
};

}  // namespace bluebellpass::gateway
