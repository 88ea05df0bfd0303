#include "peer/traffic.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

// Guards against frames that are counted under the wrong kind, which would falsify the traffic
// reported for each purpose.
BOOST_AUTO_TEST_CASE(FramesAreCountedByKind) {
  BOOST_TEST(TrafficKindName(TrafficKindOf(HelloFrame{})) == "handshake");
  BOOST_TEST(TrafficKindName(TrafficKindOf(AckFrame{})) == "heartbeat");
  BOOST_TEST(TrafficKindName(TrafficKindOf(PeerMessage{ConfigMessage{}})) == "config");
  BOOST_TEST(TrafficKindName(TrafficKindOf(PeerMessage{QueryReplyMessage{}})) == "query");
  BOOST_TEST(TrafficKindName(TrafficKindOf(PeerMessage{ReserveMessage{}})) == "scheduling");
  BOOST_TEST(TrafficKindName(TrafficKindOf(PeerMessage{AnswerDataMessage{}})) == "answer");
  LinkTraffic traffic;
  CountFrame(traffic.sent, PingFrame{}, 10);
  CountFrame(traffic.sent, AckFrame{}, 5);
  const auto& heartbeats = traffic.sent.at(static_cast<std::size_t>(TrafficKind::kHeartbeat));
  BOOST_TEST(heartbeats.frames == 2U);
  BOOST_TEST(heartbeats.bytes == 15U);
}

}  // namespace
}  // namespace bluebellpass
