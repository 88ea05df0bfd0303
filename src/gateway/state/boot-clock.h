#pragma once

#include <chrono>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Time since the machine was booted, including the time in suspend.
struct BootTime {
  std::chrono::nanoseconds since_boot{0};

  auto operator<=>(const BootTime&) const = default;  // NOLINT(modernize-use-nullptr)
  friend BootTime operator+(BootTime time, Millis duration) { return {time.since_boot + duration}; }
  friend Millis operator-(BootTime a, BootTime b) {
    return std::chrono::duration_cast<Millis>(a.since_boot - b.since_boot);
  }
};

/// Source of BootTime.
class BootClock {
 public:
  virtual ~BootClock() = default;
  virtual BootTime Now() const = 0;
};

/// Reads CLOCK_BOOTTIME. Unlike the steady clock it advances while the machine is suspended, so
/// that the age of cached state is right after a resume.
class SystemBootClock : public BootClock {
 public:
  BootTime Now() const override;
};

}  // namespace bluebellpass::gateway
