#include "traffic.h"

#include <type_traits>

namespace bluebellpass {
namespace {

template <class Message, class... Kinds>
constexpr bool kIsOneOf = (std::is_same_v<Message, Kinds> || ...);

struct MessageKind {
  template <class Message>
  TrafficKind operator()(const Message& /*message*/) const {
    if constexpr (kIsOneOf<Message, ConfigMessage>) {
      return TrafficKind::kConfig;
    } else if constexpr (kIsOneOf<Message, QueryMessage, QueryReplyMessage>) {
      return TrafficKind::kQuery;
    } else if constexpr (kIsOneOf<Message, ForwardMessage, AnswerHeadMessage, AnswerDataMessage,
                                  AnswerEndMessage, ForwardCancelMessage>) {
      return TrafficKind::kAnswer;
    } else {
      return TrafficKind::kScheduling;
    }
  }
};

}  // namespace

TrafficKind TrafficKindOf(const FrameBody& body) {
  if (const auto* message = std::get_if<PeerMessage>(&body))
    return std::visit(MessageKind{}, *message);
  if (std::holds_alternative<PingFrame>(body) || std::holds_alternative<AckFrame>(body))
    return TrafficKind::kHeartbeat;
  if (std::holds_alternative<FleetFrame>(body)) return TrafficKind::kScheduling;
  return TrafficKind::kHandshake;
}

std::string_view TrafficKindName(TrafficKind kind) {
  switch (kind) {
    case TrafficKind::kHandshake:
      return "handshake";
    case TrafficKind::kHeartbeat:
      return "heartbeat";
    case TrafficKind::kConfig:
      return "config";
    case TrafficKind::kQuery:
      return "query";
    case TrafficKind::kScheduling:
      return "scheduling";
    case TrafficKind::kAnswer:
      return "answer";
  }
  return "handshake";
}

void CountFrame(std::array<FrameCounts, kTrafficKindCount>& counts, const FrameBody& body,
                std::size_t bytes) {
  FrameCounts& count = counts.at(static_cast<std::size_t>(TrafficKindOf(body)));
  ++count.frames;
  count.bytes += bytes;
}

}  // namespace bluebellpass
