#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "bluebellpass/gateway/model.h"

namespace bluebellpass::gateway {

/// The result of a run that counts for or against the version of its backend server.
struct VersionResult {
  BackendId backend;
  std::string route;
  bool is_failure = false;
  bool is_under_load = false;  ///< at the start more than half of the slots were taken
  std::optional<Millis> time_to_first_event;  ///< streams only
  std::int64_t prefill_tokens = 0;            ///< prompt tokens ahead of the first event
  std::optional<double> event_gap_ms;         ///< typical time between events; streams only
  Millis duration{0};                         ///< from dispatch to the end of the run
};

}  // namespace bluebellpass::gateway
