#pragma once

#include <algorithm>
#include <cstdint>

namespace bluebellpass::gateway {

// Speed of a mid-range accelerator, assumed until the events of a backend server show its speed.
inline constexpr double kInitialDecodeMsPerToken = 4.5;
// Time to prefill a prompt token relative to the time to decode an output token, beside other runs.
// Shared by all engines, since it depends on the model more than on the machine.
inline constexpr double kInitialPrefillRatio = 0.005;

// Weight of a new sample in an engine's exponential moving average.
inline constexpr double kDecodeSpeedSmoothing = 0.2;
// Engines prefill in chunks, one per decoding step, so that an event is delayed by at most this
// many prompt tokens for each of its steps.
inline constexpr std::int64_t kPrefillChunkTokens = 1'024;

/// Estimates the speed of a backend server from the events of its responses.
struct SpeedModel {
  double decode_ms_per_token = kInitialDecodeMsPerToken;
  double prefill_ratio = kInitialPrefillRatio;
  int tokens_per_event = 1;

  /// Updates the decoding speed with the typical time between the events of a response.
  void RecordEventGap(double event_gap_ms) {
    const double sample_ms = event_gap_ms / tokens_per_event;
    decode_ms_per_token += kDecodeSpeedSmoothing * (sample_ms - decode_ms_per_token);
  }
  /// @return time to prefill prompt tokens
  double PrefillMs(std::int64_t tokens) const {
    return static_cast<double>(tokens) * decode_ms_per_token * prefill_ratio;
  }
  /// @return time to decode output tokens
  double DecodeMs(std::int64_t tokens) const {
    return static_cast<double>(tokens) * decode_ms_per_token;
  }
  /// @param prefill_tokens prompt tokens that are prefilled beside the running streams
  /// @return longest time between events of the running streams
  double MaxEventGapMs(std::int64_t prefill_tokens) const {
    const std::int64_t chunk_tokens =
        std::min(prefill_tokens, kPrefillChunkTokens * tokens_per_event);
    return DecodeMs(tokens_per_event) + PrefillMs(chunk_tokens);
  }
};

}  // namespace bluebellpass::gateway
