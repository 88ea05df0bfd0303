#include "peer/codec.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "peer/frame_generated.h"

namespace bluebellpass {

/// Fuzz target: decodes arbitrary bytes and encodes the result.
/// @return 1 when the bytes are a valid frame
int FuzzFrame(const std::uint8_t* bytes, std::size_t size) {
  const std::string text(bytes, bytes + size);
  const auto decoded = DecodeFrame(text);
  DecodeFrame(text, FrameSet::kHandshake);
  if (!IsOk(decoded)) return 0;
  return IsOk(EncodeFrame(std::get<Frame>(decoded))) ? 1 : 0;
}

namespace {

constexpr int kFuzzRounds = 20'000;
constexpr unsigned kSeed = 20'260'417;

Reservation SampleReservation() {
  return {RequestId("a.1.2.n"),
          PoolName("p"),
          Region("r"),
          TierName("t"),
          OrganisationId("o"),
          Tokens(1),
          Tokens(2),
          Fingerprint(3),
          Fingerprint(4),
          5,
          Millis(6)};
}

InstanceInfo SampleInfo() {
  return {InstanceId("i"),
          Incarnation(7),
          DataCentre("dc"),
          Region("r"),
          {"10.0.0.1", 1},
          {"10.0.0.2", 65535},
          true};
}

Heartbeat SampleHeartbeat() {
  return {
      8, {ObjectVersion(9), true, Millis(10)}, {{{SampleInfo(), MemberState::kSuspect, 11}, 12}}};
}

std::vector<FrameBody> Samples() {
  const CellId cell{PoolName("p"), Region("r")};
  const RequestId id("x");
  return {
      HelloFrame{SampleInfo(), std::string("n\0n", 3)},
      AuthFrame{"proof"},
      PingFrame{SampleHeartbeat()},
      AckFrame{SampleHeartbeat()},
      PeerMessage(ReserveMessage{SampleReservation()}),
      PeerMessage(CancelMessage{cell, id}),
      PeerMessage(SyncMessage{cell,
                              {SampleReservation(), SampleReservation()},
                              {{id, 1, BackendId("b"), Tokens(2), Fingerprint(3)}}}),
      PeerMessage(GrantMessage{cell, id, 4, BackendId("b")}),
      PeerMessage(RefuseMessage{cell, id, ErrorKind::kInternal}),
      PeerMessage(ReleaseMessage{cell, id, 1, BackendId("b"), ReleaseReason::kBackendLost,
                                 Tokens(2), Tokens(3), Tokens(4), Millis(5), Millis(6),
                                 Fingerprint(7), Fingerprint(8)}),
      PeerMessage(FloorAskMessage{1, PoolName("p"), TierRank(2), Millis(3)}),
      PeerMessage(FloorAckMessage{1, PoolName("p"), TierRank(2)}),
      PeerMessage(ForwardMessage{1, id, 2, "body"}),
      PeerMessage(AnswerHeadMessage{1, 503, "b", "token"}),
      PeerMessage(AnswerDataMessage{1, 2, std::string("\0\xff", 2)}),
      PeerMessage(AnswerEndMessage{1, Outcome::kNotRun, 2, true, ErrorKind::kOverloaded, "message",
                                   "field"}),
      PeerMessage(ForwardCancelMessage{1}),
      PeerMessage(QueryMessage{1, "show waiting"}),
      PeerMessage(QueryReplyMessage{1, "{}"}),
      PeerMessage(ConfigMessage{ObjectVersion(1), "{}"}),
      PeerMessage(QuarantineMessage{{{Fingerprint(1), 2, Millis(3), 4}}}),
      PeerMessage(ResyncMessage{cell}),
  };
}

std::string Encoded(const FrameBody& body) {
  return std::get<std::string>(EncodeFrame({77, body}));
}

template <class Message>
Message Decoded(const FrameBody& body) {
  const Frame frame = std::get<Frame>(DecodeFrame(Encoded(body)));
  return std::get<Message>(std::get<PeerMessage>(frame.body));
}

void FlipBit(char& byte, unsigned bit) {
  byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << bit));
}

int Fuzz(const std::string& bytes) {
  return FuzzFrame(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

}  // namespace

// Guards against a message that is decoded as another type or loses a field.
BOOST_AUTO_TEST_CASE(EveryMessageSurvivesARoundTrip) {
  const auto samples = Samples();
  BOOST_TEST(samples.size() == std::variant_size_v<PeerMessage> + 4);
  for (const FrameBody& sample : samples) {
    const std::string bytes = Encoded(sample);
    const auto decoded = DecodeFrame(bytes);
    BOOST_REQUIRE(IsOk(decoded));
    const Frame& frame = std::get<Frame>(decoded);
    BOOST_TEST(frame.time == 77U);
    BOOST_TEST(frame.body.index() == sample.index());
    BOOST_TEST(Encoded(frame.body) == bytes);
  }
}

// Guards against swapped fields of the same type. The round trip does not detect them if encoder
// and decoder swap the same ones.
BOOST_AUTO_TEST_CASE(FieldsAreNotSwapped) {
  const auto samples = Samples();
  const auto r = Decoded<ReserveMessage>(samples[4]).reservation;
  const Reservation s = SampleReservation();
  BOOST_TEST((std::tie(r.id, r.pool, r.region, r.tier, r.organisation, r.prompt_tokens) ==
              std::tie(s.id, s.pool, s.region, s.tier, s.organisation, s.prompt_tokens)));
  BOOST_TEST((std::tie(r.max_output_tokens, r.prefix, r.content, r.bytes, r.remaining) ==
              std::tie(s.max_output_tokens, s.prefix, s.content, s.bytes, s.remaining)));
  const auto release = Decoded<ReleaseMessage>(samples[9]);
  BOOST_TEST((release.reason == ReleaseReason::kBackendLost));
  BOOST_TEST(release.prompt_tokens.Value() == 2);
  BOOST_TEST(release.cached_tokens.Value() == 3);
  BOOST_TEST(release.output_tokens.Value() == 4);
  BOOST_TEST(release.time_to_first_token.count() == 5);
  BOOST_TEST(release.total_time.count() == 6);
  BOOST_TEST(release.content.Value() == 7U);
  BOOST_TEST(release.prefix.Value() == 8U);
  const Frame hello = std::get<Frame>(DecodeFrame(Encoded(samples[0])));
  const InstanceInfo info = std::get<HelloFrame>(hello.body).info;
  BOOST_TEST((info.caller_address == Address{"10.0.0.1", 1}));
  BOOST_TEST((info.peer_address == Address{"10.0.0.2", 65535}));
  BOOST_TEST(info.data_centre.Text() == "dc");
  BOOST_TEST(info.region.Text() == "r");
  const Frame ping = std::get<Frame>(DecodeFrame(Encoded(samples[2])));
  const Heartbeat heartbeat = std::get<PingFrame>(ping.body).heartbeat;
  BOOST_TEST(heartbeat.status.has_store_contact);
  BOOST_TEST(heartbeat.status.confirmation_age.count() == 10);
  BOOST_TEST(heartbeat.gossip.at(0).member.uptime_seconds == 11U);
  BOOST_TEST(heartbeat.gossip.at(0).sequence == 12U);
}

// Guards against decoding messages of a peer that is not authenticated.
BOOST_AUTO_TEST_CASE(HandshakeAcceptsOnlyItsOwnFrames) {
  int accepted = 0;
  for (const FrameBody& sample : Samples())
    accepted += IsOk(DecodeFrame(Encoded(sample), FrameSet::kHandshake)) ? 1 : 0;
  BOOST_TEST(accepted == 2);
}

// Guards against sending a frame that the receiver rejects, and against frames that exhaust memory.
BOOST_AUTO_TEST_CASE(OversizedFramesAreErrors) {
  const PeerMessage large = ConfigMessage{ObjectVersion(1), std::string(kMaxFrameBytes, 'x')};
  const auto encoded = EncodeFrame({1, large});
  BOOST_REQUIRE(!IsOk(encoded));
  BOOST_TEST((ErrorOf(encoded).kind == ErrorKind::kTooLarge));
  const auto decoded = DecodeFrame(std::string(kMaxFrameBytes + 1, 'x'));
  BOOST_REQUIRE(!IsOk(decoded));
  BOOST_TEST((ErrorOf(decoded).kind == ErrorKind::kTooLarge));
}

// Guards against unknown enumerators and against more updates than a frame may carry.
BOOST_AUTO_TEST_CASE(OutOfRangeFieldsAreErrors) {
  const CellId cell{PoolName("p"), Region("r")};
  const PeerMessage bad_kind = RefuseMessage{cell, RequestId("x"), static_cast<ErrorKind>(200)};
  BOOST_TEST(!IsOk(DecodeFrame(Encoded(bad_kind))));
  Heartbeat heartbeat = SampleHeartbeat();
  heartbeat.gossip.resize(kMaxGossip + 1, heartbeat.gossip.front());
  BOOST_TEST(!IsOk(DecodeFrame(Encoded(PingFrame{heartbeat}))));
}

// Guards against a small frame whose tables refer to the same bytes, so that its decoded form is
// many times larger.
BOOST_AUTO_TEST_CASE(SharedTablesAreErrors) {
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(1000, 'x'));
  const std::vector waiting(100, wire::CreateReservationT(builder, text));
  const auto sync = wire::CreateSync(builder, 0, 0, builder.CreateVector(waiting));
  builder.Finish(wire::CreateFrame(builder, 1, wire::Body_Sync, sync.Union()));
  const auto* bytes = reinterpret_cast<const char*>(builder.GetBufferPointer());
  BOOST_TEST(!IsOk(DecodeFrame(std::string(bytes, builder.GetSize()))));
}

// Guards against crashes and out-of-bounds reads on truncated, altered and random frames.
BOOST_AUTO_TEST_CASE(DamagedFramesNeverCrash) {
  std::mt19937 random(kSeed);
  const auto samples = Samples();
  int errors = 0;
  for (int round = 0; round < kFuzzRounds; ++round) {
    std::string bytes = Encoded(samples[random() % samples.size()]);
    switch (round % 3) {
      case 0:
        bytes.resize(random() % bytes.size());
        break;
      case 1:
        for (unsigned flips = 1 + random() % 4; flips > 0; --flips)
          FlipBit(bytes[random() % bytes.size()], random() % 8);
        break;
      default:
        for (char& c : bytes) c = static_cast<char>(random());
    }
    errors += Fuzz(bytes) == 0 ? 1 : 0;
  }
  BOOST_TEST(errors > kFuzzRounds / 2);
}

}  // namespace bluebellpass
