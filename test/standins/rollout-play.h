#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/rollout/rollout-controller.h"

namespace bluebellpass::test {

/// How the target version misbehaves, if it does.
struct VersionFault {
  double failure_rate = 0;  ///< of its responses
  double slow_factor = 1;   ///< of the durations of `slow_share` of its responses
  double slow_share = 1;
  double from_s = 0;    ///< since the order
  std::string route;    ///< only on this route; empty for all
  int min_running = 0;  ///< only on backend servers with so many runs
};

/// A fault of backend servers of both versions.
struct CommonFault {
  double failure_rate = 0;
  double slow_factor = 1;
  double backend_share = 0;  ///< part of the backend servers that is affected
  double from_s = 0;
  double to_s = 0;
};

struct RolloutPlayOptions {
  double requests_per_s = 200;
  std::size_t backends = 20;  ///< of each version
  double deadline_s = 12;
  std::uint64_t seed = 1;
  VersionFault fault;
  std::vector<CommonFault> common_faults;
  double target_start_s = 0.5;  ///< when the backend servers of the target are registered
  double length_s = 0;          ///< 0: until 3 s after the deadline
  /// Time at which each further coordinator replaces the one before, which knows nothing of it.
  std::vector<double> takeovers_s;
  /// The replaced coordinators go on beside their successors.
  bool has_split_brain = false;
  bool loses_results = false;  ///< so that the target is never judged
  double store_down_from_s = 0;
  double store_down_to_s = 0;
  double lost_response_rate = 0;  ///< writes that are executed without a response
};

struct RolloutPlayResult {
  gateway::RolloutState state = gateway::RolloutState::kRunning;  ///< in the store
  double ended_s = 0;  ///< when the final state was stored
  std::string reason;
  std::uint64_t target_requests = 0;  ///< until the deadline
  std::uint64_t total_requests = 0;   ///< until the deadline
  /// Requests sent to the target later than the time to react after its 50th bad response.
  std::uint64_t late_target_requests = 0;
  std::uint64_t old_requests_after_done = 0;
  std::size_t old_runs_at_done = 0;
  std::uint64_t refused = 0;  ///< no version could be used
};

/// Plays a roll-out without a network: requests of two routes, backend servers of two versions that
/// differ fourfold in speed, a store with faults, and coordinators that replace each other.
RolloutPlayResult PlayRollout(const RolloutPlayOptions& options);

}  // namespace bluebellpass::test
