#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "bluebellpass/types.h"

/// Timers on the event loop.

namespace bluebellpass {

using TimerId = std::uint64_t;

/// Runs functions after a delay, on the thread of the event loop.
class TimerService {
 public:
  virtual ~TimerService() = default;

  /// @return the monotonic time of the current loop iteration
  virtual TimePoint Now() const = 0;

  /// Runs a function once.
  /// @param delay time from now; zero means the next loop iteration
  /// @return an id for Cancel
  virtual TimerId RunAfter(Millis delay, std::function<void()> function) = 0;

  /// Cancels a pending function. Does nothing if it has already run.
  virtual void Cancel(TimerId id) = 0;
};

/// A timer that is cancelled when it is destroyed.
class Timer {
 public:
  Timer() = default;
  explicit Timer(TimerService& service) : m_service(&service) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  Timer(Timer&& other) noexcept
      : m_service(std::exchange(other.m_service, nullptr)), m_id(std::exchange(other.m_id, 0)) {}
  Timer& operator=(Timer&& other) noexcept {
    Stop();
    m_service = std::exchange(other.m_service, nullptr);
    m_id = std::exchange(other.m_id, 0);
    return *this;
  }
  ~Timer() { Stop(); }

  /// Runs a function once after a delay. Replaces the pending function, if any.
  void Start(Millis delay, std::function<void()> function) {
    Stop();
    m_id = m_service->RunAfter(delay, std::move(function));
  }

  /// Runs a function periodically until Stop is called.
  void StartPeriodic(Millis period, std::function<void()> function) {
    Start(period, [this, period, function = std::move(function)]() mutable {
      std::function<void()> body = std::move(function);
      StartPeriodic(period, body);
      body();
    });
  }

  void Stop() {
    if (m_id != 0) m_service->Cancel(std::exchange(m_id, 0));
  }

 private:
  TimerService* m_service = nullptr;
  TimerId m_id = 0;
};

}  // namespace bluebellpass
