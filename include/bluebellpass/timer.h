#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "bluebellpass/types.h"

/// The timer service that parts subscribe to.

namespace bluebellpass {

using TimerId = std::uint64_t;

/// Runs functions later, on the thread of the event loop.
class TimerService {
 public:
  virtual ~TimerService() = default;

  /// @return the time of the current turn of the loop, monotonic
  virtual TimePoint Now() const = 0;

  /// Runs a function once.
  /// @param delay time from now; zero means the next turn of the loop
  /// @return an id for Cancel
  virtual TimerId RunAfter(Millis delay, std::function<void()> function) = 0;

  /// Withdraws a function that has not run; does nothing for an id that has.
  virtual void Cancel(TimerId id) = 0;
};

/// A subscription that ends with its owner.
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

  /// Runs a function once after a delay; replaces an earlier subscription.
  void Start(Millis delay, std::function<void()> function) {
    Stop();
    m_id = m_service->RunAfter(delay, std::move(function));
  }

  /// Runs a function again and again until Stop.
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
