#pragma once

#include <algorithm>
#include <deque>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Bounds the requests that a backend server may have to turn away, where it fails if there are
/// more than a stated number in a second. Each request that has not been accepted yet may be turned
/// away, since what the backend server holds is known late and its room may shrink at any time.
class RejectionGuard {
 public:
  /// How long a request that was sent counts as not accepted, unless its response has begun. Longer
  /// than a refusal takes to become known.
  static constexpr Millis kConfirmTime{250};

  void SetLimit(int per_second) { m_limit = per_second; }
  /// @return the stated number
  int Limit() const { return m_limit; }

  void RecordRejection(TimePoint now) {
    RemoveExpired(now);
    m_rejections.push_back(now);
  }
  /// @param limit this scheduler's part of the stated number
  /// @param unconfirmed requests that were sent within kConfirmTime and have no response yet
  /// @return how many more may be sent now
  int Allowance(int limit, int unconfirmed, TimePoint now) {
    RemoveExpired(now);
    return std::max(limit - unconfirmed - static_cast<int>(m_rejections.size()), 0);
  }

 private:
  // A second, and the time after which a rejection is known.
  static constexpr Millis kWindow = Millis{1'000} + kConfirmTime;

  void RemoveExpired(TimePoint now) {
    while (!m_rejections.empty() && now - m_rejections.front() > kWindow) m_rejections.pop_front();
  }

  int m_limit = 0;
  std::deque<TimePoint> m_rejections;
};

}  // namespace bluebellpass::gateway
