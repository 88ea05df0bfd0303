#pragma once

#include <cmath>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Moving average of the share of a backend server's runs that failed. It decays with time, so that
/// a backend server that gets no requests is tried again.
class FailureRate {
 public:
  void Record(bool is_failure, TimePoint now) {
    const double rate = At(now);
    m_rate = rate + kRunWeight * ((is_failure ? 1.0 : 0.0) - rate);
    m_updated_at = now;
  }
  /// @return the failure rate, 0 to 1
  double At(TimePoint now) const {
    if (m_rate == 0) return 0;
    const double age_s = std::chrono::duration<double>(now - m_updated_at).count();
    return age_s <= 0 ? m_rate : m_rate * std::exp2(-age_s / kHalfLifeS);
  }

 private:
  // Weight of one run in the moving average.
  static constexpr double kRunWeight = 0.25;
  static constexpr double kHalfLifeS = 4;

  double m_rate = 0;
  TimePoint m_updated_at{};
};

}  // namespace bluebellpass::gateway
