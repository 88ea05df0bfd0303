#pragma once

#include <algorithm>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Limits the part of a coordinator's time that decisions take, so that it still reads reports,
/// answers heartbeats and serves its own callers when a decision covers thousands of requests.
/// While decisions are short, the pauses are below the resolution of timers.
class DecisionPace {
 public:
  void RecordDecision(TimePoint started, TimePoint ended) {
    const auto pause = std::min<TimePoint::duration>((ended - started) * kPauseFactor, kMaxPause);
    m_next = ended + pause;
  }
  /// @return time until the next decision may start; 0 or less if it may start now
  Millis TimeUntilNext(TimePoint now) const {
    return std::chrono::duration_cast<Millis>(m_next - now);
  }

 private:
  // Pause after a decision relative to its duration.
  static constexpr int kPauseFactor = 3;
  // A decision during which the process was suspended must not delay the next one for long.
  static constexpr Millis kMaxPause{100};

  TimePoint m_next{};
};

}  // namespace bluebellpass::gateway
