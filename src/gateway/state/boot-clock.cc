#include "boot-clock.h"

#include <ctime>

namespace bluebellpass::gateway {

BootTime SystemBootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return {std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)};
}

}  // namespace bluebellpass::gateway
