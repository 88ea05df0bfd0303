#pragma once

#include <cstdint>
#include <iterator>
#include <map>
#include <string>

#include "bluebellpass/types.h"

namespace bluebellpass::gateway {

/// Estimates how long ago a caller sent the first attempt of a request.
///
/// A caller states how long it will wait. On its first attempt that is a configured time, which
/// recurs exactly in many requests of a route. On a later attempt it is what remains, which hardly
/// recurs. The difference to the next longer configured time is the age of the request. If no time
/// recurs, all requests count as first attempts.
class CallerDeadlines {
 public:
  /// Records a request.
  /// @param wait time that the caller states
  /// @return time since its first attempt; 0 for a first attempt
  Millis AgeOf(const std::string& route, Millis wait) {
    if (m_routes.size() >= kMaxRoutes && !m_routes.contains(route)) m_routes.clear();
    Times& times = m_routes[route];
    ++times.total;
    ++times.counts[wait];
    if (times.total >= kMaxTotal) Decay(times);
    for (auto time = times.counts.find(wait); time != times.counts.end(); ++time)
      if (IsConfigured(times, time->second)) return time->first - wait;
    return Millis{0};
  }

 private:
  // A configured time makes up at least this part of the requests, and recurs so often.
  static constexpr double kConfiguredFraction = 0.02;
  static constexpr std::uint32_t kMinConfiguredCount = 8;
  // Counts are halved at this total, so that configured times may change.
  static constexpr std::uint32_t kMaxTotal = 2'000;
  static constexpr std::size_t kMaxRoutes = 256;

  struct Times {
    std::map<Millis, std::uint32_t> counts;
    std::uint32_t total = 0;
  };

  static bool IsConfigured(const Times& times, std::uint32_t count) {
    return count >= kMinConfiguredCount && count >= kConfiguredFraction * times.total;
  }
  static void Decay(Times& times) {
    times.total = 0;
    for (auto time = times.counts.begin(); time != times.counts.end();) {
      time->second /= 2;
      times.total += time->second;
      time = time->second == 0 ? times.counts.erase(time) : std::next(time);
    }
  }

  std::map<std::string, Times> m_routes;
};

}  // namespace bluebellpass::gateway
