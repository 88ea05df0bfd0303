#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "codec.h"

namespace bluebellpass {

/// What frames are for, as far as their cost is told apart.
enum class TrafficKind : std::uint8_t {
  kHandshake,
  kHeartbeat,
  kConfig,
  kQuery,
  kScheduling,
  kAnswer
};
constexpr std::size_t kTrafficKinds = 6;

/// Frames and their bytes, length prefixes included.
struct TrafficCount {
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// Counts of all links of an instance since its start, by kind.
struct LinkTraffic {
  std::array<TrafficCount, kTrafficKinds> sent;
  std::array<TrafficCount, kTrafficKinds> received;
};

TrafficKind KindOf(const FrameBody& body);
/// @return the kind's name in /metrics
std::string_view NameOf(TrafficKind kind);
/// Adds a frame.
/// @param bytes with the length prefix
void Count(std::array<TrafficCount, kTrafficKinds>& counts, const FrameBody& body,
           std::size_t bytes);

}  // namespace bluebellpass
