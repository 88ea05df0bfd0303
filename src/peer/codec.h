#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebellpass/event.h"
#include "bluebellpass/peer.h"
#include "membership.h"

/// Frames on the links between instances and their encoding (frame.fbs).

namespace bluebellpass {

/// Largest encoded frame, without its length prefix.
constexpr std::size_t kMaxFrameBytes = 2U << 20U;

/// First frame of each side of a link.
struct HelloFrame {
  InstanceInfo info;
  std::string nonce;
};
/// Proof that the sender holds one of the peer keys.
struct AuthFrame {
  std::string proof;
};
/// Payload of Ping and Ack.
struct Heartbeat {
  std::uint64_t uptime_seconds = 0;
  PeerStatus status;
  std::vector<MemberUpdate> gossip;  ///< at most kMaxGossip updates
};
struct PingFrame {
  Heartbeat heartbeat;
};
struct AckFrame {
  Heartbeat heartbeat;
};

/// Messages between gateways, encoded by their own schema (gateway/fleet.fbs).
struct FleetFrame {
  std::string payload;
};

using FrameBody = std::variant<PeerMessage, HelloFrame, AuthFrame, PingFrame, AckFrame, FleetFrame>;

struct Frame {
  HybridTime time = 0;
  FrameBody body;
};

/// Which frames DecodeFrame accepts.
enum class FrameSet { kHandshake, kAll };

/// @return the encoded frame without length prefix, or kTooLarge above kMaxFrameBytes
Result<std::string> EncodeFrame(const Frame& frame);

/// Decodes one frame of a sender that is not trusted.
/// @param bytes the frame without its length prefix
/// @param accepted with kHandshake only Hello and Auth are decoded
/// @return the frame, kTooLarge above kMaxFrameBytes, or kBadRequest for a malformed frame
Result<Frame> DecodeFrame(std::string_view bytes, FrameSet accepted = FrameSet::kAll);

}  // namespace bluebellpass
