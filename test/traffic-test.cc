#include "peer/traffic.h"

#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

// Guards against frames that are counted under another kind, which would move bytes between the
// roles of the capacity page.
BOOST_AUTO_TEST_CASE(FramesAreCountedByKind) {
  BOOST_TEST(NameOf(KindOf(HelloFrame{})) == "handshake");
  BOOST_TEST(NameOf(KindOf(AckFrame{})) == "heartbeat");
  BOOST_TEST(NameOf(KindOf(PeerMessage{ConfigMessage{}})) == "config");
  BOOST_TEST(NameOf(KindOf(PeerMessage{QueryReplyMessage{}})) == "query");
  BOOST_TEST(NameOf(KindOf(PeerMessage{ReserveMessage{}})) == "scheduling");
  BOOST_TEST(NameOf(KindOf(PeerMessage{AnswerDataMessage{}})) == "answer");
  LinkTraffic traffic;
  Count(traffic.sent, PingFrame{}, 10);
  Count(traffic.sent, AckFrame{}, 5);
  const auto& heartbeats = traffic.sent.at(static_cast<std::size_t>(TrafficKind::kHeartbeat));
  BOOST_TEST(heartbeats.frames == 2U);
  BOOST_TEST(heartbeats.bytes == 15U);
}

}  // namespace
}  // namespace bluebellpass
