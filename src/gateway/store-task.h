#pragma once

#include <functional>
#include <utility>

#include "bluebellpass/timer.h"

namespace bluebellpass::gateway {

/// Longest pause before a failed call to the store is retried.
inline constexpr Millis kStoreRetryDelay{4'000};

/// A call to the store that is retried until it succeeds. A retry waits until the store is known to
/// answer again, so that an outage does not multiply the calls.
class StoreTask {
 public:
  StoreTask(TimerService& timers, std::function<void()> call)
      : m_timer(timers), m_call(std::move(call)) {}

  /// Schedules a retry for RetryNow, or for the end of kStoreRetryDelay at the latest.
  void RetryLater() {
    m_is_retry_pending = true;
    m_timer.Start(kStoreRetryDelay, [this] { RetryNow(); });
  }
  /// Makes the call if a retry is pending.
  void RetryNow() {
    if (!std::exchange(m_is_retry_pending, false)) return;
    m_timer.Stop();
    m_call();
  }
  /// Cancels a pending retry.
  void Stop() {
    m_is_retry_pending = false;
    m_timer.Stop();
  }

 private:
  Timer m_timer;
  std::function<void()> m_call;
  bool m_is_retry_pending = false;
};

}  // namespace bluebellpass::gateway
