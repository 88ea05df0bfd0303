#pragma once

#include <chrono>
#include <cmath>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// @return the duration in milliseconds
inline double MillisOf(TimePoint::duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// @return the duration, rounded up
inline Millis ToMillis(double ms) { return Millis(static_cast<std::int64_t>(std::ceil(ms))); }

}  // namespace bluebellpass::gateway
