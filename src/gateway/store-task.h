#pragma once

#include <functional>
#include <utility>

#include "bluebellpass/timer.h"

namespace bluebellpass::gateway {

/// Longest pause before a call to a store that failed is made again.
inline constexpr Millis kStoreRetryDelay{4'000};

/// A call to the store that must succeed once. After a failure it waits until the store is known to
/// answer again, so that an outage does not multiply the calls.
class StoreTask {
 public:
  StoreTask(TimerService& timers, std::function<void()> call)
      : m_timer(timers), m_call(std::move(call)) {}

  void RetryLater() {
    m_is_waiting = true;
    m_timer.Start(kStoreRetryDelay, [this] { RetryNow(); });
  }
  /// Makes the call if it waits.
  void RetryNow() {
    if (!std::exchange(m_is_waiting, false)) return;
    m_timer.Stop();
    m_call();
  }
  void Stop() {
    m_is_waiting = false;
    m_timer.Stop();
  }

 private:
  Timer m_timer;
  std::function<void()> m_call;
  bool m_is_waiting = false;
};

}  // namespace bluebellpass::gateway
