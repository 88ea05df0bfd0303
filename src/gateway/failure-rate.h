#pragma once

#include <cmath>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Part of a backend server's recent runs that failed. It is forgotten with time, so that a backend
/// server that gets no work is tried again.
class FailureRate {
 public:
  void Record(bool is_failure, TimePoint now) {
    const double rate = At(now);
    m_rate = rate + kWeight * ((is_failure ? 1.0 : 0.0) - rate);
    m_at = now;
  }
  /// @return the rate, 0 to 1
  double At(TimePoint now) const {
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    return seconds <= 0 ? m_rate : m_rate * std::exp2(-seconds / kHalfLifeS);
  }

 private:
  // Weight of one run.
  static constexpr double kWeight = 0.25;
  // Seconds in which the rate halves when there are no runs.
  static constexpr double kHalfLifeS = 4;

  double m_rate = 0;
  TimePoint m_at{};
};

}  // namespace bluebellpass::gateway
