#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "fleet-codec.h"
#include "peer/codec.h"

namespace bluebellpass::gateway {

/// Most bytes of the payload of a Fleet frame. The rest of the link's bound is for the frame's own
/// fields, which take less than 100 bytes.
constexpr std::size_t kMaxPayloadBytes = kMaxFrameBytes - (4U << 10U);

/// A message that does not fit into a frame and cannot be split.
struct OversizedMessage {
  std::string type;
  std::string object;  ///< name of the object, if it is one
  std::size_t bytes = 0;
};

/// Messages as payloads of Fleet frames, in order.
struct FleetFrames {
  std::vector<std::string> payloads;  ///< none above kMaxPayloadBytes
  /// Messages that were reduced or left out. Of an object only the announcement is sent, so that
  /// its receiver asks for it; a request for state asks for all of it instead.
  std::vector<OversizedMessage> oversized;
};

/// Encodes messages, and splits those whose frame would exceed the bound of a link.
FleetFrames EncodeFleetFrames(std::vector<FleetMessage> messages, TimePoint now);

}  // namespace bluebellpass::gateway
