#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "bluebellpass/timer.h"

namespace bluebellpass::gateway {

/// First and longest pause before a failed call to the store is retried.
inline constexpr Millis kMinStoreRetryDelay{250};
inline constexpr Millis kStoreRetryDelay{4'000};

/// A call to the store that is retried until it succeeds. The first retries come soon, since single
/// responses may be lost; later ones wait until the store is known to answer again, so that an
/// outage does not multiply the calls.
class StoreTask {
 public:
  StoreTask(TimerService& timers, std::function<void()> call)
      : m_timer(timers), m_call(std::move(call)) {}

  /// Schedules a retry for RetryNow, or for the end of the pause at the latest. Pauses double up to
  /// kStoreRetryDelay.
  void RetryLater() {
    m_is_retry_pending = true;
    m_timer.Start(m_delay, [this] { RetryNow(); });
    m_delay = std::min(2 * m_delay, kStoreRetryDelay);
  }
  /// Makes the call if a retry is pending.
  void RetryNow() {
    if (!std::exchange(m_is_retry_pending, false)) return;
    m_timer.Stop();
    m_call();
  }
  /// Cancels a pending retry, after a success or for good.
  void Stop() {
    m_is_retry_pending = false;
    m_delay = kMinStoreRetryDelay;
    m_timer.Stop();
  }

 private:
  Timer m_timer;
  std::function<void()> m_call;
  bool m_is_retry_pending = false;
  Millis m_delay = kMinStoreRetryDelay;
};

}  // namespace bluebellpass::gateway
