#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "codec.h"

namespace bluebellpass {

/// Purpose of a frame; traffic is counted per purpose.
enum class TrafficKind : std::uint8_t {
  kHandshake,
  kHeartbeat,
  kConfig,
  kQuery,
  kScheduling,
  kAnswer
};
constexpr std::size_t kTrafficKindCount = 6;

/// Number of frames and their bytes, including length prefixes.
struct FrameCounts {
  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
};

/// Traffic of all links of an instance since its start, by kind.
struct LinkTraffic {
  std::array<FrameCounts, kTrafficKindCount> sent;
  std::array<FrameCounts, kTrafficKindCount> received;
};

TrafficKind TrafficKindOf(const FrameBody& body);
/// @return the name of the kind in /metrics
std::string_view TrafficKindName(TrafficKind kind);
/// Adds a frame to the counts of its kind.
/// @param bytes size of the frame including its length prefix
void CountFrame(std::array<FrameCounts, kTrafficKindCount>& counts, const FrameBody& body,
                std::size_t bytes);

}  // namespace bluebellpass
