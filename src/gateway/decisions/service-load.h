#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string>

#include "bluebellpass/types.h"
#include "duration.h"

namespace bluebellpass::gateway {

/// Load of a service: how much work arrives, and for plain services, whose requests state no size,
/// how long a request occupies a slot.
class ServiceLoad {
 public:
  /// Records that a request has arrived.
  /// @param slot_time_ms expected time in a slot
  void RecordArrival(double slot_time_ms, TimePoint now) {
    const TimePoint at = std::max(now, m_updated_at);
    m_offered = OfferedSlots(at) + slot_time_ms / kTimeConstantMs;
    m_updated_at = at;
  }
  /// @return number of slots that the requests which arrive lately would occupy
  double OfferedSlots(TimePoint now) const {
    return m_offered * std::exp(-std::max(MillisOf(now - m_updated_at), 0.0) / kTimeConstantMs);
  }

  /// Records how long a request of a plain service occupied a slot.
  void RecordSlotTime(const std::string& route, double ms) {
    Update(m_slot_time_ms, ms);
    Update(m_deviation_ms, std::abs(ms - SlotTimeMs(route)));
    const auto [found, is_new] = m_slot_time_by_route.try_emplace(route, ms);
    if (!is_new) Update(found->second, ms);
  }
  /// @return mean time that a request of the plain service occupies a slot
  double SlotTimeMs() const { return m_slot_time_ms; }
  /// @return the same of one route
  double SlotTimeMs(const std::string& route) const {
    const auto found = m_slot_time_by_route.find(route);
    return found == m_slot_time_by_route.end() ? m_slot_time_ms : found->second;
  }
  /// @return time that most requests of a route occupy a slot at most
  double MostSlotTimeMs(const std::string& route) const {
    return SlotTimeMs(route) + kMostDeviations * m_deviation_ms;
  }

 private:
  // Bursts last for seconds; a shorter time would take a few arrivals for one.
  static constexpr double kTimeConstantMs = 1'000;
  // Assumed until the first requests of the service have completed.
  static constexpr double kInitialSlotTimeMs = 40;
  static constexpr double kSmoothing = 0.05;
  // Mean deviations above the mean that nine of ten requests stay below.
  static constexpr double kMostDeviations = 2;

  static void Update(double& mean, double sample) { mean += kSmoothing * (sample - mean); }

  double m_offered = 0;
  TimePoint m_updated_at{};
  double m_slot_time_ms = kInitialSlotTimeMs;
  double m_deviation_ms = 0;  ///< mean absolute deviation, over all routes
  std::map<std::string, double> m_slot_time_by_route;
};

/// Work and capacity ahead of a waiting request.
struct QueueAhead {
  double work_ms = 0;  ///< slot time of the requests that go first
  double slots = 1;
  double offered_slots = 0;  ///< see ServiceLoad
};

/// A service is saturated when arriving work occupies more than this part of its slots.
inline constexpr double kSaturatedFraction = 0.95;

/// @return true when work that is late already, which yields to new work, finds no free slot
inline bool IsSaturated(const QueueAhead& ahead) {
  return ahead.offered_slots >= ahead.slots * kSaturatedFraction;
}

/// @param yields_to_new the request is served with the capacity that new requests leave
/// @return expected time in ms until the request gets a slot; infinite when that is not foreseeable
inline double PredictWaitMs(const QueueAhead& ahead, bool yields_to_new) {
  if (!yields_to_new) return ahead.work_ms / ahead.slots;
  if (IsSaturated(ahead)) return std::numeric_limits<double>::infinity();
  return ahead.work_ms / (ahead.slots - ahead.offered_slots);
}

}  // namespace bluebellpass::gateway
